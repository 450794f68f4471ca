/** The links of one owner, one per executor. */
import type {scheduler} from '@gullstand/core';
import type {ExecutorLink} from './executor-link.js';

type Link = Pick<ExecutorLink, 'close'>;

export type ExecutorLinks<Opened extends Link> = {
	readonly get: (executorId: string) => Opened | undefined;
	/**
	 * Opens links to new executors and closes those to removed ones; returns the
	 * ids whose links were closed.
	 */
	readonly reconcile: (
		executors: ReadonlyMap<string, scheduler.Executor>,
	) => readonly string[];
	readonly closeAll: () => void;
};

export const createExecutorLinks = <Opened extends Link>(
	open: (executor: scheduler.Executor) => Opened,
): ExecutorLinks<Opened> => {
	const links = new Map<string, {executor: scheduler.Executor; link: Opened}>();

	const closeOutdated = (
		executors: ReadonlyMap<string, scheduler.Executor>,
	): readonly string[] => {
		const closed: string[] = [];
		for (const [id, {executor, link}] of links) {
			// An executor that was removed and listed again is a new object: the old
			// link would apply answers to the removed one, and nothing would start.
			if (executors.get(id) !== executor) {
				link.close();
				links.delete(id);
				closed.push(id);
			}
		}

		return closed;
	};

	return {
		get: (executorId) => links.get(executorId)?.link,
		reconcile(executors) {
			const closed = closeOutdated(executors);
			for (const [id, executor] of executors) {
				if (!links.has(id)) {
					links.set(id, {executor, link: open(executor)});
				}
			}

			return closed;
		},
		closeAll() {
			for (const {link} of links.values()) {
				link.close();
			}

			links.clear();
		},
	};
};
