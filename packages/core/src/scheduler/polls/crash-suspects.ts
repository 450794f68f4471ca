/**
 * Tasks that may have crashed their executors: they start in isolation until
 * they are cleared or given up.
 */
import {endJob, type EndedJob} from '../state/job-ends.js';
import {markTaskDirty} from '../state/split-progress.js';
import type {Owner} from '../state/owner-state.js';
import type {Crash, LossSign} from '../state/crash.js';
import {listCoscheduledTasks, type Run, type Task} from '../state/task.js';
import {
	getChance,
	getProbationMs,
	getSurvivedMs,
	isAtFault,
	isCrashSuspect,
	listCountedCrashes,
} from './crash-evidence.js';

const signTexts: Readonly<Record<LossSign, string>> = {
	restarted: 'started again',
	replaced: 'another one has its address',
	absent: 'has not come back',
};

const describeCrash = (
	{executorId, sign, wasAnswered, lostAt}: Crash,
	now: number,
): string => {
	const parts = [
		sign ? signTexts[sign] : undefined,
		wasAnswered === false ? 'start unanswered' : undefined,
		lostAt === undefined
			? 'lost under an earlier owner'
			: `lost ${Math.round((now - lostAt) / 1000)} s ago`,
	];
	const details = parts.filter((each) => each !== undefined).join(', ');
	return `${executorId ?? 'unknown'} (${details})`;
};

const giveUp = (owner: Owner, task: Task, now: number): EndedJob => {
	const {job} = task.step.occurrence;
	endJob(owner, job, 'failed', now);
	const crashes = listCountedCrashes(task);
	const executors = crashes.map((each) => describeCrash(each, now)).join(', ');
	const reason = `task ${task.id} crashed ${crashes.length} executors: ${executors}`;
	return {job: job.accepted.id, end: 'failed', reason};
};

/** Ends the job of a task that crashes its executors. */
export const giveUpIfAtFault = (
	owner: Owner,
	task: Task,
	now: number,
): readonly EndedJob[] =>
	isAtFault(task) && !task.step.occurrence.job.end
		? [giveUp(owner, task, now)]
		: [];

/**
 * Has the runs of a task stored that has crashed an executor: the next owner may
 * find another incarnation there, and must know what ran.
 */
export const noteRunOfSuspect = (owner: Owner, task: Task): void => {
	if (task.crashes.length > 0) {
		markTaskDirty(owner, task);
	}
};

/** Lets a task start beside others again. */
export const endSuspicion = (owner: Owner, task: Task): void => {
	for (const each of listCoscheduledTasks(task)) {
		for (const run of each.runs) {
			run.isIsolated = false;
		}

		owner.crashSuspects.delete(each);
	}
};

const hasOutlivedProbation = (owner: Owner, {task, number}: Run): boolean =>
	listCoscheduledTasks(task).every((each) =>
		each.runs.some((run) => {
			const executor = owner.executors.get(run.executorId);
			return (
				run.number === number &&
				executor !== undefined &&
				getSurvivedMs(executor, run) >= getProbationMs(each)
			);
		}),
	);

/** Clears a task of its crashes once a run of it has outlived its probation. */
export const clearIfProbationIsOver = (owner: Owner, run: Run): void => {
	const {task} = run;
	if (task.crashes.length === 0 || !hasOutlivedProbation(owner, run)) {
		return;
	}

	for (const each of listCoscheduledTasks(task)) {
		each.crashes = [];
	}

	endSuspicion(owner, task);
	markTaskDirty(owner, task);
};

/**
 * Lets the next plans start a task in isolation if it is a suspect. The first
 * task of a gang stands for all of them.
 */
export const trackSuspect = (owner: Owner, task: Task): void => {
	const [first] = listCoscheduledTasks(task);
	if (first && isCrashSuspect(task)) {
		owner.crashSuspects.add(first);
	}
};

const compareSuspects = (one: Task, two: Task): number => {
	const first = one.step.occurrence.job.accepted;
	const second = two.step.occurrence.job.accepted;
	return (
		getChance(one) - getChance(two) ||
		Number(two.step.spec.isLongRunning) - Number(one.step.spec.isLongRunning) ||
		first.acceptedAtEpochMs - second.acceptedAtEpochMs ||
		one.index - two.index
	);
};

/**
 * Lists the suspects of open jobs, the likeliest cause first: once it has
 * crashed a further executor, the tasks of its job need not be tried.
 */
export const listSuspects = (owner: Owner): readonly Task[] => {
	for (const task of owner.crashSuspects) {
		if (task.isDone || task.step.occurrence.job.end) {
			owner.crashSuspects.delete(task);
		}
	}

	return [...owner.crashSuspects].toSorted(compareSuspects);
};
