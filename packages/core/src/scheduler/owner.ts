/**
 * The owner of one service: its jobs, its executors and what may be started.
 * All of it can be rebuilt from the store and the executors by the next
 * owner; see docs/design/platform-programs.md.
 */
import type {SchedulerConfig} from './config.js';
import {noArrivals, recordArrival} from './service-load.js';
import {
	createExecutor,
	removeRun,
	haveLeasesExpired,
	type Executor,
} from './executor.js';
import type {Owner} from './owner-state.js';
import {initialStartWindow} from './start-window.js';
import {
	addDueOccurrences,
	createJob,
	isLongRunningJob,
	isJobComplete,
	listTasks,
	type Job,
	type JobEnd,
	type Run,
	type Task,
} from './task.js';
import type {AcceptedJob, JobState, ListedExecutor} from './types.js';

/** A job that changed and why, for the log. */
export type EndedJob = {
	readonly job: string;
	readonly end: JobEnd;
	readonly reason: string;
};

/** Creates the state of a service just taken over. */
export const createOwner = (
	service: string,
	token: number,
	cfg: SchedulerConfig,
	now: number,
): Owner => ({
	cfg,
	service,
	token,
	takenOverAt: now,
	jobs: new Map(),
	openJobs: new Set(),
	executors: new Map(),
	unresolvedExecutors: new Map(),
	dirtyJobs: new Set(),
	isRosterDirty: false,
	flushNumber: 1,
	advice: new Map(),
	terminatedExecutors: new Set(),
	arrivals: noArrivals,
	startWindow: initialStartWindow,
	meanWork: new Map(),
});

const noteWork = (owner: Owner, job: Job): void => {
	const {queue} = job.accepted.policy;
	const mean = owner.meanWork.get(queue) ?? {count: 0, sum: 0};
	mean.count += 1;
	mean.sum += job.totalWork;
	owner.meanWork.set(queue, mean);
};

/** Takes in a job; a second time it changes nothing. */
export const addJob = (
	owner: Owner,
	accepted: AcceptedJob,
	isInherited: boolean,
	now: number = owner.takenOverAt,
): Job => {
	const known = owner.jobs.get(accepted.id);
	if (known) {
		return known;
	}

	const job = createJob(accepted, isInherited);
	owner.jobs.set(accepted.id, job);
	owner.openJobs.add(job);
	noteWork(owner, job);
	if (!isInherited && !isLongRunningJob(job)) {
		owner.arrivals = recordArrival(owner.arrivals, job.totalWork, now);
	}

	return job;
};

/** Ends a job; what still runs of it is stopped by the next plan. */
export const endJob = (
	owner: Owner,
	job: Job,
	end: JobEnd,
	now: number,
): void => {
	if (job.end) {
		return;
	}

	job.end = end;
	job.endedAt = now;
	for (const stepId of owner.advice.keys()) {
		if (stepId.startsWith(`${job.accepted.id}.`)) {
			owner.advice.delete(stepId);
		}
	}

	owner.openJobs.delete(job);
	owner.dirtyJobs.add(job);
};

/**
 * Cancels a job. The cancellation is a row of its own and lasting already, so
 * it may be shown at once.
 */
export const cancelJob = (owner: Owner, job: Job, now: number): void => {
	if (job.end) {
		return;
	}

	endJob(owner, job, 'cancelled', now);
	job.storedEnd = 'cancelled';
};

/** The state that a caller is shown; an end only once it is stored. */
export const getJobState = (job: Job): JobState => {
	if (job.storedEnd) {
		return job.storedEnd;
	}

	return job.hasStarted ? 'running' : 'queued';
};

/** Jobs of a queue for which no task has started. */
export const countPending = (owner: Owner, queue: string): number =>
	[...owner.openJobs].filter(
		(job) => job.accepted.policy.queue === queue && !job.hasStarted,
	).length;

/** Notes a done task's job: it may be wholly done. */
export const completeIfDone = (owner: Owner, job: Job, now: number): void => {
	owner.dirtyJobs.add(job);
	if (!job.end && isJobComplete(job)) {
		endJob(owner, job, 'completed', now);
	}
};

/** Adds the occurrences whose time of day has come. */
export const advanceSchedules = (owner: Owner, epochNow: number): void => {
	for (const job of owner.openJobs) {
		const before = job.nextOccurrence;
		addDueOccurrences(job, epochNow);
		if (job.nextOccurrence !== before && job.accepted.spec.schedule) {
			owner.dirtyJobs.add(job);
		}
	}
};

/**
 * One that waits for acknowledgements is kept, and stays in the roster: what
 * it lists may not be stored yet, and the next owner would not look at it.
 */
const canForget = (executor: Executor): boolean =>
	!executor.isListed && executor.runs.size === 0 && !executor.hasListedEnds;

const forgetIfGone = (owner: Owner, executor: Executor): void => {
	if (canForget(executor) && !owner.unresolvedExecutors.has(executor.id)) {
		owner.executors.delete(executor.id);
		owner.isRosterDirty ||= executor.isRostered;
	}
};

/** Notes that an executor is listed as this. */
export const recordListedExecutor = (
	owner: Owner,
	listed: ListedExecutor,
): void => {
	const known = owner.executors.get(listed.id);
	if (known) {
		known.listed = listed;
		known.isListed = true;
		known.wasUnlisted = false;
		return;
	}

	if (owner.terminatedExecutors.has(listed.id)) {
		return;
	}

	owner.executors.set(listed.id, createExecutor(listed));
	owner.isRosterDirty = true;
};

/**
 * Notes that the registry has dropped an executor. That says nothing of what
 * runs there: only its answer, its next life or the end of its leases does.
 */
export const recordUnlistedExecutor = (owner: Owner, id: string): void => {
	const executor = owner.executors.get(id);
	if (executor) {
		executor.isListed = false;
		executor.wasUnlisted = true;
		forgetIfGone(owner, executor);
	}
};

/** All runs of an executor are certainly over; answers those freed. */
const releaseAll = (owner: Owner, executor: Executor): readonly Run[] => {
	const runs = [...executor.runs.values()];
	for (const run of runs) {
		removeRun(executor, run);
	}

	forgetIfGone(owner, executor);
	return runs;
};

/** This life of an executor is certainly gone, with all that it ran. */
export const markTerminated = (owner: Owner, id: string): readonly Run[] => {
	owner.unresolvedExecutors.delete(id);
	owner.terminatedExecutors.add(id);
	const executor = owner.executors.get(id);
	if (!executor) {
		return [];
	}

	executor.isListed = false;
	executor.unackedEnds = [];
	executor.hasListedEnds = false;
	return releaseAll(owner, executor);
};

/** A call to an executor had no answer. */
export const markUnresponsive = (
	owner: Owner,
	id: string,
	now: number,
): void => {
	const executor = owner.executors.get(id);
	if (executor) {
		executor.unresponsiveSince ??= now;
	}
};

/**
 * An executor on which an earlier owner may have started tasks. Until it
 * answers, is replaced or `overAt` has passed, those may run there. One that
 * was dark for an earlier owner is so since `darkSince`.
 */
export const inheritExecutor = (
	owner: Owner,
	listed: ListedExecutor,
	overAt: number,
	darkSince?: number,
): void => {
	const executor = createExecutor(listed);
	executor.suspectedSince = darkSince;
	executor.isSuspicionSent = darkSince !== undefined;
	// The next owner goes by the word of this one only.
	owner.isRosterDirty ||= darkSince !== undefined;
	// The roster that names it is the one in the store.
	executor.isRostered = true;
	executor.isListed = false;
	owner.executors.set(listed.id, executor);
	owner.unresolvedExecutors.set(listed.id, overAt);
};

/**
 * The owner before has let go: what it granted ends at `overAt` at the latest.
 */
export const limitInheritedLeases = (owner: Owner, overAt: number): void => {
	for (const [id, known] of owner.unresolvedExecutors) {
		owner.unresolvedExecutors.set(id, Math.min(known, overAt));
	}
};

/**
 * A task accepted under an earlier owner may run on an executor that has not
 * answered yet; one that this owner has seen is where it was seen.
 */
export const isLocationKnown = (owner: Owner, task: Task): boolean =>
	!task.step.occurrence.job.isInherited ||
	owner.unresolvedExecutors.size === 0 ||
	task.lastRun > 0;

const unlistIfUnknown = (owner: Owner, id: string): void => {
	const executor = owner.executors.get(id);
	if (executor) {
		forgetIfGone(owner, executor);
	}
};

/**
 * Frees what lapsed on silent executors, and forgets those that are off the
 * list and empty. Answers the runs freed.
 */
export const expireLeases = (owner: Owner, now: number): readonly Run[] => {
	for (const [id, overAt] of owner.unresolvedExecutors) {
		if (now >= overAt) {
			owner.unresolvedExecutors.delete(id);
			unlistIfUnknown(owner, id);
		}
	}

	const freed: Run[] = [];
	for (const executor of owner.executors.values()) {
		if (
			executor.unresponsiveSince !== undefined &&
			haveLeasesExpired(executor, now)
		) {
			// Nothing is assumed of it until it has answered a look again.
			executor.isAdopted = false;
			executor.hasListedEnds = false;
			freed.push(...releaseAll(owner, executor));
		} else if (executor.wasUnlisted) {
			// Kept for what it ran: in the roster, the next owner would wait for it.
			forgetIfGone(owner, executor);
		}
	}

	return freed;
};

/** Removes jobs that ended so long ago that nobody may ask for them. */
export const listExpiredJobs = (
	owner: Owner,
	now: number,
	most: number,
): readonly string[] => {
	const old: string[] = [];
	for (const [id, job] of owner.jobs) {
		if (old.length >= most) {
			break;
		}

		const isOld =
			job.storedEnd !== undefined &&
			job.endedAt !== undefined &&
			now - job.endedAt > owner.cfg.keepEndedMs;
		if (isOld && ![...listTasks(job)].some(({runs}) => runs.length > 0)) {
			old.push(id);
		}
	}

	return old;
};
