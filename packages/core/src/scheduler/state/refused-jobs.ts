/**
 * Jobs of which the store refuses a row for good. Such a job is held back while
 * the others are stored. Its rows are made smaller; if it is refused all the
 * same while the store takes rows of other jobs, the job fails. While the store
 * takes nothing at all, that is no fault of a job.
 */
import {endJob, type EndedJob} from './job-ends.js';
import type {Owner} from './owner-state.js';
import type {Job} from './task.js';

/** Counts of flushes that the store has taken. */
export type TakenFlushes = {
	readonly all: number;
	/** Those with rows of jobs. */
	readonly withJobs: number;
};

/** A job whose rows are held back. */
export type HeldJob = {
	/** Size of the refused row. */
	readonly bytes: number;
	/** Whether its rows can be smaller than that. */
	readonly canShrink: boolean;
	/** What the store had taken by then. */
	readonly taken: TakenFlushes;
	readonly heldAt: number;
	/** When the row is tried again in any case. */
	readonly retryAt: number;
	readonly pauseMs: number;
	/** A row was refused before and after the store took another flush. */
	readonly isConfirmed: boolean;
	/** The store took another flush since the refusal before. */
	readonly hasEvidence: boolean;
	/** It took rows of other jobs since the smallest row was refused before. */
	readonly hasJobEvidence: boolean;
};

/** Shortest pause before a refused row is tried again. */
const shortestPauseMs = 200;

/** First pause while there is no evidence; it doubles each time. */
const firstPauseMs = 1000;

const longestPauseMs = 10_000;

/** Holds a job back, one row of which was refused. */
export const holdJob = (
	job: Job,
	bytes: number,
	taken: TakenFlushes,
	now: number,
): HeldJob => {
	const {lastHold} = job;
	const hasEvidence = lastHold !== undefined && taken.all > lastHold.taken.all;
	const isSmallest = lastHold?.canShrink === false;
	const pauseMs =
		lastHold && (isSmallest || !hasEvidence)
			? Math.min(longestPauseMs, 2 * lastHold.pauseMs)
			: firstPauseMs;
	job.hold = {
		bytes,
		canShrink:
			!job.end && bytes < (job.refusedRowBytes ?? Number.POSITIVE_INFINITY),
		taken,
		heldAt: now,
		retryAt: now + pauseMs,
		pauseMs,
		isConfirmed: hasEvidence || lastHold?.isConfirmed === true,
		hasEvidence,
		hasJobEvidence: isSmallest && taken.withJobs > lastHold.taken.withJobs,
	};
	job.lastHold = job.hold;
	if (job.end && hasEvidence) {
		// Its end is shown though a later owner will not know it.
		job.storedEnd ??= job.end;
		job.isUnstorable = true;
	}

	return job.hold;
};

/** What becomes of a job that is held back. */
export type HeldDecision = 'wait' | 'shrink' | 'retry' | 'fail';

/** Decides what becomes of a job that is held back. */
export const decideHeldJob = (
	{end}: Pick<Job, 'end'>,
	hold: HeldJob,
	taken: TakenFlushes,
	now: number,
): HeldDecision => {
	const isTakenSince = taken.all > hold.taken.all;
	if (!end && hold.isConfirmed) {
		if (hold.canShrink && (hold.hasEvidence || isTakenSince)) {
			return 'shrink';
		}

		if (!hold.canShrink && hold.hasJobEvidence) {
			return 'fail';
		}
	}

	const isDue = hold.canShrink && isTakenSince;
	return now >= (isDue ? hold.heldAt + shortestPauseMs : hold.retryAt)
		? 'retry'
		: 'wait';
};

/** Lets a job be stored again, before all others. */
const release = ({dirtyJobs}: Owner, job: Job): void => {
	job.hold = undefined;
	const others = [...dirtyJobs].filter((each) => each !== job);
	dirtyJobs.clear();
	for (const each of [job, ...others]) {
		dirtyJobs.add(each);
	}
};

/** Applies a decision; returns the job if it ends thereby. */
export const applyHeldDecision = (
	owner: Owner,
	job: Job,
	decision: HeldDecision,
	now: number,
): EndedJob | undefined => {
	const {hold} = job;
	if (!hold || decision === 'wait') {
		return undefined;
	}

	if (decision === 'shrink') {
		job.refusedRowBytes = hold.bytes;
	}

	release(owner, job);
	if (decision !== 'fail') {
		return undefined;
	}

	job.refusedRowBytes = undefined;
	endJob(owner, job, 'failed', now);
	const reason = `the store refuses its progress, also in ${hold.bytes} bytes`;
	return {job: job.accepted.id, end: 'failed', reason};
};
