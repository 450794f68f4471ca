/** Executors as the registry lists them. */
import type {scheduler} from '@gullstand/core';
import type {FeedBatch} from '@gullstand/ports';

/** The list. */
export type ExecutorList = {
	readonly applyWhole: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly applyChanges: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly list: () => readonly scheduler.ListedExecutor[];
};

/** Creates an empty list. */
export const createExecutorList = (): ExecutorList => {
	const known = new Map<string, scheduler.ListedExecutor>();
	const applyChanges: ExecutorList['applyChanges'] = ({entries}) => {
		for (const {key, value} of entries) {
			if (value) {
				known.set(key, value);
			} else {
				known.delete(key);
			}
		}
	};

	return {
		applyChanges,
		applyWhole(batch) {
			known.clear();
			applyChanges(batch);
		},
		list: () => [...known.values()],
	};
};
