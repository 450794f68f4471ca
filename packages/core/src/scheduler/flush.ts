/**
 * What may be acknowledged to executors: ends are forgotten there once they
 * are acknowledged, so only those that the store has are.
 */
import {prepareRoster, type RosterEntry} from './suspected-executors.js';
import type {Executor} from './executor.js';
import type {Owner} from './owner-state.js';
import {encodeProgress, type JobProgress} from './progress.js';
import type {Job, JobEnd} from './task.js';

/** A job's progress that is on its way to the store. */
export type FlushedJob = {
	readonly job: Job;
	readonly end: JobEnd | undefined;
	readonly progress: JobProgress;
};

/** What one flush stores. */
export type Flush = {
	readonly number: number;
	readonly jobs: readonly FlushedJob[];
	/** All executors that may run tasks; absent if unchanged. */
	readonly roster: readonly RosterEntry[] | undefined;
};

/** Below the number of any flush: a part of the changes proves no end stored. */
const noFlush = 0;

/** Whether there is anything to store. */
export const needsFlush = (owner: Owner): boolean =>
	owner.dirtyJobs.size > 0 || owner.isRosterDirty;

/** Takes what is to be stored next, at most so many jobs. */
export const beginFlush = (owner: Owner, maxJobs: number): Flush => {
	const taken = [...owner.dirtyJobs].slice(0, maxJobs);
	const isWhole = taken.length === owner.dirtyJobs.size;
	const jobs = taken.map((job) => ({
		job,
		end: job.end,
		progress: encodeProgress(job),
	}));
	for (const job of taken) {
		owner.dirtyJobs.delete(job);
	}

	const roster = owner.isRosterDirty ? prepareRoster(owner) : undefined;
	owner.isRosterDirty = false;
	const number = owner.flushNumber;
	// Ends taken in from now on wait for a later flush.
	owner.flushNumber += isWhole ? 1 : 0;
	return {number: isWhole ? number : noFlush, jobs, roster};
};

/** The flush failed or its outcome is unknown: all of it is stored again. */
export const abandonFlush = (owner: Owner, flush: Flush): void => {
	for (const {job} of flush.jobs) {
		owner.dirtyJobs.add(job);
	}

	owner.isRosterDirty ||= flush.roster !== undefined;
};

/**
 * Nothing is acknowledged while the owner before may start tasks on an
 * executor that has not answered this one: it knows of no end that this owner
 * has seen, and the executor that listed it would have forgotten it.
 */
const acknowledge = (owner: Owner, stored: number): readonly Executor[] =>
	owner.unresolvedExecutors.size > 0
		? []
		: [...owner.executors.values()].filter((executor) =>
				advanceAck(executor, stored),
			);

const advanceAck = (executor: Executor, stored: number): boolean => {
	const before = executor.acknowledgedUpto;
	let [first] = executor.unackedEnds;
	while (first && first.flushNumber <= stored) {
		executor.acknowledgedUpto = first.number;
		executor.unackedEnds.shift();
		[first] = executor.unackedEnds;
	}

	return executor.acknowledgedUpto !== before;
};

/**
 * The flush is stored. Answers the executors that have new ends to be
 * acknowledged to them.
 */
export const completeFlush = (
	owner: Owner,
	flush: Flush,
): readonly Executor[] => {
	for (const {job, end} of flush.jobs) {
		// A cancellation may have been stored while this was on its way.
		job.storedEnd = end ?? job.storedEnd;
	}

	const rostered = new Set(
		flush.roster
			?.filter(({suspectedSince}) => suspectedSince === undefined)
			.map(({listed}) => listed.id),
	);
	const executors = [...owner.executors.values()];
	for (const executor of executors) {
		executor.isRostered ||= rostered.has(executor.id);
	}

	return acknowledge(owner, flush.number);
};

/**
 * Nothing is unsaved and no flush is under way, so that all ends taken in may
 * be acknowledged: those that changed nothing need no flush of their own.
 */
export const acknowledgeAll = (owner: Owner): readonly Executor[] =>
	acknowledge(owner, Number.POSITIVE_INFINITY);
