/** What an executor's list of its runs and ends says, taken in by the owner. */
import {match} from 'ts-pattern';
import {countFailure} from './attempts.js';
import {clearDark} from './dark.js';
import {
	addRun,
	dropRun,
	getRunKey,
	noteClock,
	type Executor,
} from './executor.js';
import {completeIfDone, endJob, type JobChange} from './owner.js';
import type {Owner} from './owner-state.js';
import {
	addOccurrencesUpTo,
	createPastTask,
	createRun,
	listTogether,
	markDone,
	parseTaskId,
	takeCheckpoint,
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
export type Look = {
	readonly sentAt: number;
	readonly receivedAt: number;
	readonly clockMs: number;
	readonly running: readonly ListedRun[];
	readonly ends: readonly ListedEnd[];
};

/** What a look changed, for the log. */
export type LookChanges = {
	readonly isFirst: boolean;
	readonly ends: ReadonlyArray<ListedEnd & {readonly failures: number}>;
	readonly adopted: readonly string[];
	readonly lost: readonly string[];
	/** Runs of no task at hand, to be stopped. */
	readonly strays: readonly ListedRun[];
	readonly jobEnds: readonly JobChange[];
};

type Changes = {
	ends: Array<ListedEnd & {failures: number}>;
	adopted: string[];
	lost: string[];
	strays: ListedRun[];
	jobEnds: JobChange[];
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
		? createPastTask(job, parts.occurrence, parts.step, parts.index)
		: undefined;
};

const noteDone = (owner: Owner, task: Task, now: number): void => {
	const {job} = task.step.occurrence;
	// One `done` stands for all members of a gang.
	for (const each of listTogether(task)) {
		markDone(each);
	}

	completeIfDone(owner, job, now);
};

const restIfFailing = (owner: Owner, executor: Executor, now: number): void => {
	const {failuresUntilRest, restMs, maxRestShare} = owner.cfg;
	const all = [...owner.executors.values()];
	const resting = all.filter(({restsUntil}) => restsUntil > now).length;
	const mayRest = (resting + 1) / all.length <= maxRestShare;
	if (executor.failuresInRow >= failuresUntilRest && mayRest) {
		executor.restsUntil = now + restMs;
		executor.failuresInRow = 0;
	}
};

const noteFailed = (
	owner: Owner,
	task: Task,
	{executor, run}: {readonly executor: Executor; readonly run: number},
	now: number,
): JobChange | undefined => {
	if (!countFailure(task, run)) {
		return undefined;
	}

	const {step} = task;
	const {job} = step.occurrence;
	task.failedOn = executor.id;
	executor.failuresInRow += 1;
	restIfFailing(owner, executor, now);
	owner.dirty.add(job);
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
): JobChange | undefined => {
	const task = findTask(owner, end.taskId);
	const run = executor.runs.get(getRunKey(end.taskId, end.run));
	if (run) {
		dropRun(executor, run);
	}

	if (!task || task.isDone) {
		return undefined;
	}

	task.step.occurrence.job.hasStarted = true;
	if (takeCheckpoint(task, end.run, end.checkpoint)) {
		// It may be known from the run itself and is not stored for all that.
		owner.dirty.add(task.step.occurrence.job);
	}

	return match(end.how)
		.returnType<JobChange | undefined>()
		.with('done', () => {
			executor.failuresInRow = 0;
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
	look: Look,
	changes: Changes,
): void => {
	const fresh = look.ends
		.filter(({number}) => number > executor.lastEnd)
		.toSorted((one, two) => one.number - two.number);
	for (const end of fresh) {
		executor.lastEnd = end.number;
		const change = settleEnd(owner, executor, end, look.receivedAt);
		const failures = findTask(owner, end.taskId)?.failures ?? 0;
		changes.ends.push({...end, failures});
		if (change) {
			changes.jobEnds.push(change);
		}

		executor.unackedEnds.push({number: end.number, flush: owner.flush});
	}
};

const noteProgress = (run: Run, listed: ListedRun, now: number): void => {
	if (listed.percent > run.percent || run.confirmedAt === undefined) {
		run.progressedAt = now;
	}

	run.percent = listed.percent;
	run.load = listed.load;
	run.mayBeStopped = false;
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
	look: Look,
	changes: Changes,
): void => {
	for (const listed of look.running) {
		const key = getRunKey(listed.taskId, listed.run);
		const known = executor.runs.get(key);
		const run = known ?? adoptRun(owner, executor, listed, look.receivedAt);
		if (!run) {
			changes.strays.push(listed);
			continue;
		}

		if (!known) {
			changes.adopted.push(key);
		}

		noteProgress(run, listed, look.receivedAt);
		// Not stored while it runs: a lost one costs work, never a promise.
		takeCheckpoint(run.task, run.number, listed.checkpoint);
	}
};

/** Runs that were proved before the look was sent and are not listed. */
const dropVanished = (
	executor: Executor,
	look: Look,
	changes: Changes,
): void => {
	const listed = new Set(
		look.running.map(({taskId, run}) => getRunKey(taskId, run)),
	);
	for (const [key, run] of executor.runs) {
		const wasThere =
			run.confirmedAt !== undefined && run.confirmedAt < look.sentAt;
		if (wasThere && !listed.has(key)) {
			dropRun(executor, run);
			changes.lost.push(key);
		}
	}
};

/**
 * Takes in a look at an executor. Looks of one executor are made one after
 * another, so that none is overtaken by an earlier one.
 */
export const takeLook = (
	owner: Owner,
	executor: Executor,
	look: Look,
): LookChanges => {
	const isFirst = !executor.isAdopted;
	const changes: Changes = {
		ends: [],
		adopted: [],
		lost: [],
		strays: [],
		jobEnds: [],
	};
	noteClock(executor, look.clockMs, look.receivedAt);
	executor.silentSince = undefined;
	clearDark(owner, executor);
	executor.hasListedEnds = look.ends.length > 0;
	takeEnds(owner, executor, look, changes);
	takeRunning(owner, executor, look, changes);
	executor.strays = changes.strays.length;
	executor.isAdopted = true;
	owner.unresolved.delete(executor.id);
	// A full page of ends may hide the end of a run that is not listed.
	if (look.ends.length < endsPerLook) {
		dropVanished(executor, look, changes);
	}

	return {isFirst, ...changes};
};

/** Most ends that one look lists; origin: the executors' interface. */
export const endsPerLook = 500;
