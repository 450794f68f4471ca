/** Takes rows of the job table into an owner's state. */
import {scheduler} from '@gullstand/core';
import type {ChangedRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {decodeRow, jobSchema, parseJobKey} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import type {OwnerLog} from './owner-log.js';

/** What the intake needs. */
export type ApplyJobRowsDeps = {
	readonly held: HeldShard;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly log: OwnerLog;
};

const takeJob = (
	owner: scheduler.Owner,
	row: ChangedRow,
	{held, clock, logger}: ApplyJobRowsDeps,
): void => {
	const decoded = decodeRow(jobSchema, row.value ?? '');
	if (!decoded.ok) {
		const {table, key} = row;
		logger.warn('row skipped', {table, key, ...decoded.error});
		return;
	}

	// Older than the lease: an earlier owner may have started its tasks.
	const isInherited = row.version < held.version;
	const job = scheduler.addJob(owner, decoded.value, isInherited, clock.now());
	const {accepted} = job;
	logger.info('job taken in', {
		job: row.key,
		queue: accepted.policy.queue,
		version: row.version,
		ageMs: Math.round(clock.epochNow() - accepted.acceptedAtEpochMs),
		steps: accepted.spec.steps.length,
		chainMs: Math.round(scheduler.getWholeChainMs(accepted)),
		stretch: accepted.policy.stretch,
		targetLatencyMs: accepted.policy.targetLatencyMs,
		work: Math.round(job.totalWork),
		isLasting: scheduler.isLasting(job),
	});
};

const takeCancel = (
	owner: scheduler.Owner,
	id: string,
	{clock, log}: ApplyJobRowsDeps,
): void => {
	const job = owner.jobs.get(id);
	if (job && job.end === undefined) {
		scheduler.cancelJob(owner, job, clock.now());
		log.logJobEnd(id, 'cancelled', 'the caller cancelled it');
	}
};

/** Takes rows in, from a peer or the store; known ones change nothing. */
export const applyJobRows = (
	owner: scheduler.Owner,
	rows: readonly ChangedRow[],
	deps: ApplyJobRowsDeps,
): void => {
	const present = rows.filter(({value}) => value !== undefined);
	for (const row of present) {
		const {id, isCancel} = parseJobKey(row.key);
		if (!isCancel && !owner.jobs.has(id)) {
			takeJob(owner, row, deps);
		}
	}

	// Jobs first: a cancellation may come in the same batch as its job.
	for (const row of present) {
		const {id, isCancel} = parseJobKey(row.key);
		if (isCancel) {
			takeCancel(owner, id, deps);
		}
	}
};
