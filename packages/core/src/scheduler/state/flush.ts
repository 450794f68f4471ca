/**
 * Flushes of job progress and the roster to the store. Executors discard run
 * ends that are acknowledged, so only stored ends are acknowledged: an end once
 * its own job is stored, whether or not other jobs are.
 */
import {
	isUsableAsStored,
	prepareRoster,
	type RosterEntry,
} from './suspected-executors.js';
import type {Executor, UnackedEnd} from './executor.js';
import type {Owner} from './owner-state.js';
import {
	recordStoredRows,
	restoreJobRows,
	takeJobRows,
	type JobRows,
} from './progress-rows.js';
import type {Job, JobEnd} from './task.js';

/** Progress of a job as one flush stores it. */
export type FlushedJob = JobRows & {
	readonly job: Job;
	/** An end that is stored with it for the first time. */
	readonly end: JobEnd | undefined;
};

/** A job whose progress could not be encoded. */
export type EncodingFault = {readonly job: Job; readonly err: unknown};

/** Changes that one flush stores. */
export type Flush = {
	readonly number: number;
	readonly jobs: readonly FlushedJob[];
	/** The whole roster; absent if unchanged. */
	readonly roster: readonly RosterEntry[] | undefined;
	readonly faults: readonly EncodingFault[];
};

/** Bounds of a flush. */
export type FlushLimits = {
	/** Bytes of the value of a row. */
	readonly maxRowBytes: number;
	/** Bytes of all values. */
	readonly maxBytes: number;
	readonly maxJobs: number;
	readonly withRoster: boolean;
};

/**
 * Bounds that any store takes which takes 65,536 bytes a value and 1 MB a
 * transaction, both in base64.
 */
export const defaultFlushLimits: FlushLimits = {
	maxRowBytes: 40_000,
	maxBytes: 400_000,
	maxJobs: Number.POSITIVE_INFINITY,
	withRoster: true,
};

const hasJobsToStore = ({dirtyJobs}: Owner): boolean => {
	for (const {hold} of dirtyJobs) {
		if (!hold) {
			return true;
		}
	}

	return false;
};

/**
 * Whether there are changes to store, but for jobs that are held back; `false`
 * for the roster if it is not to be stored now.
 */
export const needsFlush = (owner: Owner, withRoster = true): boolean =>
	(owner.isRosterDirty && withRoster) || hasJobsToStore(owner);

const takeJobs = (
	owner: Owner,
	maxEntries: number,
	{maxRowBytes, maxBytes, maxJobs}: FlushLimits,
): Pick<Flush, 'jobs' | 'faults'> => {
	const jobs: FlushedJob[] = [];
	const faults: EncodingFault[] = [];
	let room = {maxRowBytes, bytes: maxBytes, entries: maxEntries};
	for (const job of owner.dirtyJobs) {
		if (room.entries <= 0 || jobs.length >= maxJobs) {
			break;
		}

		if (job.hold) {
			continue;
		}

		try {
			const taken = takeJobRows(job, owner.flushNumber, room);
			if (taken.rows.length === 0) {
				break;
			}

			const bytes = taken.rows.reduce((sum, row) => sum + row.bytes, 0);
			const entries = taken.rows.length + taken.removes.length;
			room = {
				maxRowBytes,
				bytes: room.bytes - bytes,
				entries: room.entries - entries,
			};
			const isOwnRow = taken.rows.some(({first}) => first === undefined);
			const isNewEnd = isOwnRow && job.storedEnd === undefined;
			jobs.push({job, end: isNewEnd ? job.end : undefined, ...taken});
		} catch (err) {
			faults.push({job, err});
		}

		owner.dirtyJobs.delete(job);
	}

	return {jobs, faults};
};

/** Collects the changes to store next, with at most `maxEntries` rows of jobs. */
export const beginFlush = (
	owner: Owner,
	maxEntries: number,
	limits: FlushLimits = defaultFlushLimits,
): Flush => {
	const {jobs, faults} = takeJobs(owner, maxEntries, limits);
	const hasRoster = owner.isRosterDirty && limits.withRoster;
	const roster = hasRoster ? prepareRoster(owner) : undefined;
	owner.isRosterDirty &&= !hasRoster;
	const number = owner.flushNumber;
	// Ends applied from now on are acknowledged after a later flush.
	owner.flushNumber += 1;
	owner.flushingJobs = new Set(jobs.map(({job}) => job));
	return {number, jobs, roster, faults};
};

/**
 * Marks the changes of a flush that failed or timed out as dirty again, in the
 * same order and before all others.
 */
export const abandonFlush = (owner: Owner, flush: Flush): void => {
	const others = [...owner.dirtyJobs];
	owner.dirtyJobs.clear();
	for (const flushed of flush.jobs) {
		restoreJobRows(flushed.job, flushed);
		owner.dirtyJobs.add(flushed.job);
	}

	for (const job of others) {
		owner.dirtyJobs.add(job);
	}

	owner.flushingJobs = new Set();
	owner.isRosterDirty ||= flush.roster !== undefined;
};

/** Whether all that an end has changed is stored. */
const isStored = (owner: Owner, {job, flushNumber}: UnackedEnd): boolean =>
	job === undefined ||
	job.isUnstorable ||
	flushNumber <= job.storedFlush ||
	!(owner.dirtyJobs.has(job) || owner.flushingJobs.has(job));

/** Acknowledgements cover all earlier ends of an executor. */
const advanceAck = (owner: Owner, executor: Executor): boolean => {
	const previous = executor.acknowledgedUpto;
	const firstUnstored = executor.unackedEnds.findIndex(
		(end) => !isStored(owner, end),
	);
	const count =
		firstUnstored === -1 ? executor.unackedEnds.length : firstUnstored;
	const last = executor.unackedEnds[count - 1];
	if (last) {
		executor.acknowledgedUpto = last.number;
		executor.unackedEnds = executor.unackedEnds.slice(count);
	}

	return executor.acknowledgedUpto !== previous;
};

/**
 * Nothing is acknowledged while the previous owner may still start tasks on an
 * executor that has not answered this one. The previous owner does not know the
 * run ends that this owner has seen, and executors discard acknowledged ends.
 */
const acknowledge = (owner: Owner): readonly Executor[] =>
	owner.unresolvedExecutors.size > 0
		? []
		: [...owner.executors.values()].filter((executor) =>
				advanceAck(owner, executor),
			);

/**
 * Applies the success of a flush. Returns the executors that have new run ends
 * to acknowledge.
 */
export const completeFlush = (
	owner: Owner,
	flush: Flush,
): readonly Executor[] => {
	owner.flushingJobs = new Set();
	for (const flushed of flush.jobs) {
		const {job, end} = flushed;
		// A cancellation may have been stored while the flush was in flight.
		job.storedEnd = end ?? job.storedEnd;
		job.lastHold = undefined;
		job.isUnstorable = false;
		if (recordStoredRows(job, flushed)) {
			owner.dirtyJobs.add(job);
		}

		if (flushed.storedFlush !== undefined) {
			job.unstoredSince = undefined;
		}
	}

	for (const entry of flush.roster ?? []) {
		const executor = owner.executors.get(entry.listed.id);
		if (executor) {
			executor.isRostered ||= isUsableAsStored(executor, entry);
		}
	}

	return acknowledge(owner);
};

/** Acknowledges the run ends that are stored, or that changed nothing. */
export const acknowledgeAll = (owner: Owner): readonly Executor[] =>
	acknowledge(owner);

/** Records for jobs that are to be stored that they are so by now. */
export const noteUnstored = ({dirtyJobs}: Owner, now: number): void => {
	for (const job of dirtyJobs) {
		job.unstoredSince ??= now;
	}
};

/** Returns since when the oldest change waits to be stored, if any does. */
export const getOldestUnstored = ({
	dirtyJobs,
	flushingJobs,
}: Owner): number | undefined => {
	let oldest: number | undefined;
	for (const {unstoredSince} of [...dirtyJobs, ...flushingJobs]) {
		oldest =
			unstoredSince === undefined
				? oldest
				: Math.min(oldest ?? unstoredSince, unstoredSince);
	}

	return oldest;
};

/** Returns when the oldest end that is not acknowledged was first seen. */
export const getOldestUnacked = ({executors}: Owner): number | undefined => {
	let oldest: number | undefined;
	for (const {unackedEnds} of executors.values()) {
		const seenAt = unackedEnds[0]?.seenAt;
		oldest = seenAt === undefined ? oldest : Math.min(oldest ?? seenAt, seenAt);
	}

	return oldest;
};
