/** Log lines of flushes. */
import {scheduler} from '@gullstand/core';
import type {RowStoreError} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {describeStoreError} from '../rows/store-error.js';

export type FlushLogDeps = {
	readonly owner: scheduler.Owner;
	readonly clock: Pick<Clock, 'now'>;
	readonly logger: Pick<Logger, 'warn'>;
};

export type FlushLog = {
	/** Logs what a flush that was stored has left out. */
	readonly logStored: (flush: scheduler.Flush) => void;
	readonly logNotStored: (flush: scheduler.Flush, error: RowStoreError) => void;
};

export const createFlushLog = (
	{owner, clock, logger}: FlushLogDeps,
	shard: string,
): FlushLog => ({
	logStored({jobs}) {
		for (const each of jobs.flatMap(({oversized}) => oversized)) {
			logger.warn('checkpoint not stored: too large', {
				shard,
				task: each.taskId,
				bytes: each.bytes,
				maxBytes: each.maxBytes,
			});
		}
	},
	logNotStored({number, jobs, roster}, error) {
		const since = scheduler.getOldestUnstored(owner);
		const [only] = jobs;
		logger.warn('progress not stored', {
			shard,
			flush: number,
			jobs: jobs.length,
			// The fault may be that of the only job.
			job: jobs.length === 1 ? only?.job.accepted.id : undefined,
			rows: jobs.reduce((sum, {rows}) => sum + rows.length, 0),
			hasRoster: roster !== undefined,
			ageMs: since === undefined ? undefined : Math.round(clock.now() - since),
			...describeStoreError(error),
		});
	},
});
