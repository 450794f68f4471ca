/** What an executor's list of its runs and ends says, taken in by the owner. */
import {match} from 'ts-pattern';
import {countFailure} from './attempts.js';
import {clearSuspicion} from './suspected-executors.js';
import {
	addRun,
	removeRun,
	getRunKey,
	recordClockReading,
	type Executor,
} from './executor.js';
import {completeIfDone, endJob, type EndedJob} from './owner.js';
import type {Owner} from './owner-state.js';
import {
	addOccurrencesUpTo,
	createDetachedTask,
	createRun,
	listCoscheduledTasks,
	markDone,
	parseTaskId,
	applyCheckpoint,
	type Run,
	type Task,
} from './task.js';

/** How a run ended. */
export const runEnds = {
	done: 'done',
	failed: 'failed',
	stopped: 'stopped',
	/** Its lease was over. */
	lapsed: 'lapsed',
	/** Another member of its gang ended. */
	broken: 'broken',
	/** It waited in vain for the other members of its gang. */
	alone: 'alone',
} as const;

/** How a run ended. */
export type RunEnd = (typeof runEnds)[keyof typeof runEnds];

/** A run that an executor lists as running. */
export type ListedRun = {
	readonly taskId: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail in milliseconds for a task with a target, else cpu in use. */
	readonly load: number;
};

/** An end that an executor lists until it is acknowledged. */
export type ListedEnd = {
	/** Grows with each end of one life, from 1. */
	readonly number: number;
	readonly taskId: string;
	readonly run: number;
	readonly how: RunEnd;
	readonly checkpoint: string;
};

/** One look at an executor. */
export type ExecutorPoll = {
	readonly sentAt: number;
	readonly receivedAt: number;
	readonly clockMs: number;
	readonly running: readonly ListedRun[];
	readonly ends: readonly ListedEnd[];
};

/** What a look changed, for the log. */
export type PollChanges = {
	readonly isFirst: boolean;
	readonly ends: ReadonlyArray<ListedEnd & {readonly failures: number}>;
	readonly adopted: readonly string[];
	readonly vanished: readonly string[];
	/** Runs of no task at hand, to be stopped. */
	readonly orphanedRuns: readonly ListedRun[];
	readonly jobEnds: readonly EndedJob[];
};

type Changes = {
	ends: Array<ListedEnd & {failures: number}>;
	adopted: string[];
	vanished: string[];
	orphanedRuns: ListedRun[];
	jobEnds: EndedJob[];
};

/** The task of that id, if its job and occurrence are at hand. */
export const findTask = (owner: Owner, taskId: string): Task | undefined => {
	const parts = parseTaskId(taskId);
	const job = parts && owner.jobs.get(parts.jobId);
	if (!parts || !job) {
		return undefined;
	}

	addOccurrencesUpTo(job, parts.occurrence);
	return job.occurrences.get(parts.occurrence)?.steps[parts.step]?.tasks[
		parts.index
	];
};

/** The task of a run that an executor lists, also one that is over. */
const findRunTask = (owner: Owner, taskId: string): Task | undefined => {
	const task = findTask(owner, taskId);
	if (task) {
		return task;
	}

	const parts = parseTaskId(taskId);
	const job = parts && owner.jobs.get(parts.jobId);
	return parts && job
		? createDetachedTask(job, parts.occurrence, parts.step, parts.index)
		: undefined;
};

const noteDone = (owner: Owner, task: Task, now: number): void => {
	const {job} = task.step.occurrence;
	// One `done` stands for all members of a gang.
	for (const each of listCoscheduledTasks(task)) {
		markDone(each);
	}

	completeIfDone(owner, job, now);
};

const restIfFailing = (owner: Owner, executor: Executor, now: number): void => {
	const {failuresUntilQuarantine, quarantineMs, maxQuarantinedShare} =
		owner.cfg;
	const all = [...owner.executors.values()];
	const resting = all.filter(
		({quarantinedUntil}) => quarantinedUntil > now,
	).length;
	const mayRest = (resting + 1) / all.length <= maxQuarantinedShare;
	if (executor.consecutiveFailures >= failuresUntilQuarantine && mayRest) {
		executor.quarantinedUntil = now + quarantineMs;
		executor.consecutiveFailures = 0;
	}
};

const noteFailed = (
	owner: Owner,
	task: Task,
	{executor, run}: {readonly executor: Executor; readonly run: number},
	now: number,
): EndedJob | undefined => {
	if (!countFailure(task, run)) {
		return undefined;
	}

	const {step} = task;
	const {job} = step.occurrence;
	task.failedOn = executor.id;
	executor.consecutiveFailures += 1;
	restIfFailing(owner, executor, now);
	owner.dirtyJobs.add(job);
	const {maxAttempts} = job.accepted.policy;
	if (step.spec.isLongRunning || task.failures < maxAttempts || job.end) {
		return undefined;
	}

	endJob(owner, job, 'failed', now);
	const reason = `task ${task.id} failed ${task.failures} times`;
	return {job: job.accepted.id, end: 'failed', reason};
};

const settleEnd = (
	owner: Owner,
	executor: Executor,
	end: ListedEnd,
	now: number,
): EndedJob | undefined => {
	const task = findTask(owner, end.taskId);
	const run = executor.runs.get(getRunKey(end.taskId, end.run));
	if (run) {
		removeRun(executor, run);
	}

	if (!task || task.isDone) {
		return undefined;
	}

	task.step.occurrence.job.hasStarted = true;
	if (applyCheckpoint(task, end.run, end.checkpoint)) {
		// It may be known from the run itself and is not stored for all that.
		owner.dirtyJobs.add(task.step.occurrence.job);
	}

	return match(end.how)
		.returnType<EndedJob | undefined>()
		.with('done', () => {
			executor.consecutiveFailures = 0;
			noteDone(owner, task, now);
			return undefined;
		})
		.with('failed', () =>
			noteFailed(owner, task, {executor, run: end.run}, now),
		)
		.with('stopped', 'lapsed', 'broken', 'alone', () => undefined)
		.exhaustive();
};

const takeEnds = (
	owner: Owner,
	executor: Executor,
	look: ExecutorPoll,
	changes: Changes,
): void => {
	const fresh = look.ends
		.filter(({number}) => number > executor.lastEndNumber)
		.toSorted((one, two) => one.number - two.number);
	for (const end of fresh) {
		executor.lastEndNumber = end.number;
		const change = settleEnd(owner, executor, end, look.receivedAt);
		const failures = findTask(owner, end.taskId)?.failures ?? 0;
		changes.ends.push({...end, failures});
		if (change) {
			changes.jobEnds.push(change);
		}

		executor.unackedEnds.push({
			number: end.number,
			flushNumber: owner.flushNumber,
		});
	}
};

const noteProgress = (run: Run, listed: ListedRun, now: number): void => {
	if (listed.percent > run.percent || run.confirmedAt === undefined) {
		run.progressedAt = now;
	}

	run.percent = listed.percent;
	run.load = listed.load;
	run.mayHaveStopped = false;
	run.confirmedAt ??= now;
	if (run.state === 'asked' || run.state === 'unsettled') {
		run.state = 'running';
	}
};

const adoptRun = (
	owner: Owner,
	executor: Executor,
	listed: ListedRun,
	now: number,
): Run | undefined => {
	const task = findRunTask(owner, listed.taskId);
	if (!task) {
		return undefined;
	}

	const run = createRun(task, listed.run, executor.id, now);
	run.state = 'running';
	run.confirmedAt = now;
	run.percent = listed.percent;
	run.load = listed.load;
	task.lastRun = Math.max(task.lastRun, listed.run);
	task.step.occurrence.job.hasStarted = true;
	addRun(executor, run);
	return run;
};

const takeRunning = (
	owner: Owner,
	executor: Executor,
	look: ExecutorPoll,
	changes: Changes,
): void => {
	for (const listed of look.running) {
		const key = getRunKey(listed.taskId, listed.run);
		const known = executor.runs.get(key);
		const run = known ?? adoptRun(owner, executor, listed, look.receivedAt);
		if (!run) {
			changes.orphanedRuns.push(listed);
			continue;
		}

		if (!known) {
			changes.adopted.push(key);
		}

		noteProgress(run, listed, look.receivedAt);
		// Not stored while it runs: a lost one costs work, never a promise.
		applyCheckpoint(run.task, run.number, listed.checkpoint);
	}
};

/** Runs that were proved before the look was sent and are not listed. */
const dropVanished = (
	executor: Executor,
	look: ExecutorPoll,
	changes: Changes,
): void => {
	const listed = new Set(
		look.running.map(({taskId, run}) => getRunKey(taskId, run)),
	);
	for (const [key, run] of executor.runs) {
		const wasThere =
			run.confirmedAt !== undefined && run.confirmedAt < look.sentAt;
		if (wasThere && !listed.has(key)) {
			removeRun(executor, run);
			changes.vanished.push(key);
		}
	}
};

/**
 * Takes in a look at an executor. Looks of one executor are made one after
 * another, so that none is overtaken by an earlier one.
 */
export const applyPoll = (
	owner: Owner,
	executor: Executor,
	look: ExecutorPoll,
): PollChanges => {
	const isFirst = !executor.isAdopted;
	const changes: Changes = {
		ends: [],
		adopted: [],
		vanished: [],
		orphanedRuns: [],
		jobEnds: [],
	};
	recordClockReading(executor, look.clockMs, look.receivedAt);
	executor.unresponsiveSince = undefined;
	clearSuspicion(owner, executor);
	executor.hasListedEnds = look.ends.length > 0;
	takeEnds(owner, executor, look, changes);
	takeRunning(owner, executor, look, changes);
	executor.orphanedRunCount = changes.orphanedRuns.length;
	executor.isAdopted = true;
	owner.unresolvedExecutors.delete(executor.id);
	// A full page of ends may hide the end of a run that is not listed.
	if (look.ends.length < maxEndsPerPoll) {
		dropVanished(executor, look, changes);
	}

	return {isFirst, ...changes};
};

/** Most ends that one look lists; origin: the executors' interface. */
export const maxEndsPerPoll = 500;
