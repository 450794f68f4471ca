/** Executors as the registry lists them. */
import type {scheduler} from '@gullstand/core';
import type {FeedBatch, FeedEntry} from '@gullstand/ports';
import type {RowFaults} from './rows/row-faults.js';

/** The list. */
export type ExecutorList = {
	readonly applyWhole: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly applyChanges: (batch: FeedBatch<scheduler.ListedExecutor>) => void;
	readonly list: () => readonly scheduler.ListedExecutor[];
};

/** What the list needs. */
export type ExecutorListDeps = {
	readonly rowFaults: RowFaults;
	/** Whether the configuration in force names the service. */
	readonly hasService: (service: string) => boolean;
};

/** Name of the registry in lines and counters. */
const registry = 'executors';

/**
 * Creates an empty list. An entry that cannot be read is off the list, as one
 * that is gone: it gets nothing new, and what runs there is looked after at
 * the address that was read last. One of an unknown service stays listed, for
 * the configuration that names it may come later.
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
