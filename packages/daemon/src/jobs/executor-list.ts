/** Executors that the registry lists. */
import type {scheduler} from '@gullstand/core';
import type {FeedBatch, FeedEntry} from '@gullstand/ports';
import type {RowFaults} from './rows/row-faults.js';

export type ExecutorList = {
	readonly applyWhole: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly applyChanges: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly list: () => readonly scheduler.ListedExecutor[];
};

export type ExecutorListDeps = {
	readonly rowFaults: RowFaults;
	/** Whether the current configuration names the service. */
	readonly hasService: (service: string) => boolean;
};

/** Name of the registry in log lines and metrics. */
const registry = 'executors';

/**
 * Creates an empty list. An unreadable entry is treated as removed: its executor
 * gets no new runs, and its present ones are followed at the last known address.
 * An entry of an unknown service stays listed, since a later configuration may
 * name the service.
 */
export const createExecutorList = ({
	rowFaults,
	hasService,
}: ExecutorListDeps): ExecutorList => {
	const known = new Map<string, scheduler.ListedExecutor>();

	const findProblem = ({
		value,
		problem,
	}: FeedEntry<scheduler.ListedExecutor>): string | undefined =>
		value && !hasService(value.service) ? 'unknown service' : problem;

	const applyEntry = (entry: FeedEntry<scheduler.ListedExecutor>) => {
		const {key, value} = entry;
		const problem = findProblem(entry);
		if (problem === undefined) {
			rowFaults.clear(registry, key);
		} else {
			rowFaults.report({table: registry, key, problem});
		}

		if (value) {
			known.set(key, value);
		} else {
			known.delete(key);
		}
	};

	const applyChanges: ExecutorList['applyChanges'] = ({entries}) => {
		for (const entry of entries) {
			applyEntry(entry);
		}
	};

	return {
		applyChanges,
		applyWhole(batch) {
			known.clear();
			rowFaults.keepOnly(registry, new Set(batch.entries.map(({key}) => key)));
			applyChanges(batch);
		},
		list: () => [...known.values()],
	};
};
