/** Applies rows of the job table to an owner's state. */
import {scheduler} from '@gullstand/core';
import type {ChangedRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {decodeRow, jobSchema, parseJobKey} from '../rows/tables.js';
import {decodeTombstone} from '../rows/tombstone.js';
import type {HeldShard} from '../shards/held-shard.js';
import type {OwnerLog} from './owner-log.js';

export type ApplyJobRowsDeps = {
	readonly held: HeldShard;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly log: OwnerLog;
};

const applyJob = (
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

	// An earlier owner may have started tasks of a job older than the lease.
	const isInherited = row.version < held.version;
	const job = scheduler.addJob(owner, decoded.value, isInherited, clock.now());
	const {accepted} = job;
	logger.info('job taken in', {
		job: row.key,
		queue: accepted.policy.queue,
		version: row.version,
		ageMs: Math.round(clock.epochNow() - accepted.acceptedAtEpochMs),
		steps: accepted.spec.steps.length,
		chainMs: Math.round(scheduler.getCriticalPathMs(accepted)),
		stretch: accepted.policy.stretch,
		targetLatencyMs: accepted.policy.targetLatencyMs,
		work: Math.round(job.totalWork),
		isLasting: scheduler.isLongRunningJob(job),
	});
};

const applyCancellation = (
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

/** Applies rows from a peer or the store; known ones change nothing. */
export const applyJobRows = (
	owner: scheduler.Owner,
	rows: readonly ChangedRow[],
	deps: ApplyJobRowsDeps,
): void => {
	const present = rows.filter(({value}) => value !== undefined);
	for (const row of present) {
		const {id, isCancel} = parseJobKey(row.key);
		const isKnown = isCancel || owner.jobs.has(id);
		if (!isKnown && decodeTombstone(row.value ?? '') === undefined) {
			applyJob(owner, row, deps);
		}
	}

	// After the jobs, since a batch may hold a job and its cancellation.
	for (const row of present) {
		const {id, isCancel} = parseJobKey(row.key);
		if (isCancel) {
			applyCancellation(owner, id, deps);
		}
	}
};
