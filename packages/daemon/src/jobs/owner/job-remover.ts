/** Removes the rows of jobs that ended so long ago that nobody may ask. */
import {scheduler} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {getCancelKey, getLeaseCheck, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

/** Jobs removed at a time, three rows each; origin: 100 entries a transaction. */
const removalBatch = 30;

/** Between two removals while all that is due fits into one. */
const removalPeriodMs = 5000;

/**
 * While more is due, in milliseconds: 60 jobs a second, twice what the busiest
 * queues hand in. What is kept is read at each takeover.
 */
const backlogPeriodMs = 500;

/** What the remover needs. */
export type JobRemoverDeps = {
	readonly store: RowStore;
	readonly held: HeldShard;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

/** Removes what is due, at most once in a period. */
export type JobRemover = {
	readonly removeDueJobs: (owner: scheduler.Owner) => Promise<void>;
};

/** Creates a remover. */
export const createJobRemover = (deps: JobRemoverDeps): JobRemover => {
	const {store, held, now, logger} = deps;
	const part = held.shard;
	let ranAt = now();
	let periodMs = removalPeriodMs;

	const removeRows = async (ids: readonly string[]): Promise<boolean> => {
		const {job, progress} = tables;
		const result = await store.transact(
			{
				checks: [getLeaseCheck(held)],
				puts: [],
				removes: ids.flatMap((id) => [
					{table: job, part, key: id},
					{table: job, part, key: getCancelKey(id)},
					{table: progress, part, key: id},
				]),
			},
			periods.storeTimeoutMs,
		);
		logger.info('ended jobs removed', {
			jobs: ids.length,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		return result.ok;
	};

	return {
		async removeDueJobs(owner) {
			if (now() - ranAt < periodMs) {
				return;
			}

			ranAt = now();
			const ids = scheduler.forgetEndedJobs(owner, now(), removalBatch);
			periodMs = ids.length < removalBatch ? removalPeriodMs : backlogPeriodMs;
			if (ids.length > 0 && (await removeRows(ids))) {
				for (const id of ids) {
					owner.jobs.delete(id);
				}
			}
		},
	};
};
