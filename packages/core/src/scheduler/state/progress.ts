/**
 * Progress of a job as its owner stores it. It covers what has ended; a new
 * owner learns from the executors what runs.
 */
import {
	createSplit,
	findTaskByNumber,
	hasProgress,
	restoreSplit,
	type RangeProgress,
	type StoredRange,
} from './split-progress.js';
import type {Crash} from './crash.js';
import {
	addOccurrence,
	addOccurrencesUpTo,
	countOccurrences,
	countTasks,
	isJobComplete,
	markDone,
	applyCheckpoint,
	type Job,
	type JobEnd,
	type Occurrence,
	type Step,
	type Task,
} from './task.js';

/**
 * Stored state of a task that is not done and has failures, crashes or a
 * checkpoint.
 */
export type TaskProgress = {
	readonly failures: number;
	/** Absent in rows of the older format. */
	readonly failedRuns?: readonly number[] | undefined;
	/** Absent in rows of the older format. */
	readonly crashes?: readonly Crash[] | undefined;
	readonly checkpoint?: string | undefined;
	/** Absent in rows of the older format. */
	readonly checkpointRun?: number | undefined;
};

/** Stored state of an occurrence that is not done. */
export type OccurrenceProgress = {
	readonly number: number;
	/** One string per step with one digit per task: 1 if done, else 0. */
	readonly done: readonly string[];
	readonly tasks: Readonly<Record<string, TaskProgress>>;
};

/** Value of the row that stores the progress of a job. */
export type JobProgress = {
	readonly end?: JobEnd | undefined;
	readonly doneOccurrences: number;
	readonly nextOccurrence: number;
	readonly occurrences: readonly OccurrenceProgress[];
};

/** A later owner gets no answer to a start of this one, and has another clock. */
const describeCrash = ({awaitsAnswer, lostAt, ...crash}: Crash): Crash => crash;

/**
 * Describes the runs of a task that has crashed an executor as crashes which do
 * not count yet. A later owner withdraws them if it finds the same incarnation,
 * and counts them if it finds another one. How likely that is by chance is not
 * known. The members of a gang are not told apart by their run.
 */
const describeRuns = ({step, crashes, runs}: Task): readonly Crash[] =>
	crashes.length === 0 || step.spec.isGang
		? []
		: runs
				.filter(({number}) => !crashes.some(({run}) => run === number))
				.map(({number, isIsolated, incarnation, confirmedAt}) => ({
					run: number,
					survivedMs: Math.max(...crashes.map(({survivedMs}) => survivedMs)),
					wasIsolated: isIsolated,
					chance: 1,
					possiblyOn: incarnation,
					executorId: incarnation?.executorId,
					wasAnswered: confirmedAt !== undefined,
				}));

export const describeTask = (task: Task): TaskProgress => {
	const {failures, failedRuns, crashes, checkpoint, checkpointRun} = task;
	const described = [...crashes, ...describeRuns(task)];
	return {
		failures,
		failedRuns: failedRuns.length > 0 ? failedRuns : undefined,
		crashes:
			described.length > 0
				? described.map((each) => describeCrash(each))
				: undefined,
		checkpoint,
		checkpointRun: checkpointRun > 0 ? checkpointRun : undefined,
	};
};

/** Failed runs and crashes of a task that alone is too large for a row. */
const maxKeptRuns = 8;

/**
 * Describes a task whose state is too large for a row. Without its checkpoint a
 * later owner repeats work.
 */
export const describeTaskBriefly = (task: Task): TaskProgress => {
	const {failures, failedRuns, crashes} = describeTask(task);
	return {
		failures,
		failedRuns: failedRuns?.slice(-maxKeptRuns),
		crashes: crashes?.slice(-maxKeptRuns),
	};
};

const describeTasks = ({
	steps,
}: Occurrence): Readonly<Record<string, TaskProgress>> => {
	const described: Record<string, TaskProgress> = {};
	for (const {tasks} of steps) {
		for (const task of tasks) {
			if (!task.isDone && hasProgress(task)) {
				described[task.id] = describeTask(task);
			}
		}
	}

	return described;
};

/** Encodes the progress of a job; that of an ended job has no occurrences. */
export const encodeProgress = (job: Job): JobProgress => ({
	end: job.end,
	doneOccurrences: job.doneOccurrences,
	nextOccurrence: job.nextOccurrence,
	occurrences: job.end
		? []
		: [...job.occurrences.values()].map((occurrence) => ({
				number: occurrence.number,
				done: occurrence.steps.map(({tasks}) =>
					tasks.map(({isDone}) => (isDone ? '1' : '0')).join(''),
				),
				tasks: describeTasks(occurrence),
			})),
});

/**
 * Encodes the own row of a job whose tasks have rows of ranges: what is done as
 * a whole. Occurrences that are listed are not done.
 */
export const encodeSplitProgress = (job: Job): JobProgress => ({
	end: job.end,
	doneOccurrences: job.doneOccurrences,
	nextOccurrence: job.nextOccurrence,
	occurrences: job.end
		? []
		: [...job.occurrences.keys()].map((number) => ({
				number,
				done: [],
				tasks: {},
			})),
});

/**
 * Gives all members of a gang one checkpoint and failure count: in rows of the
 * older format each has its own.
 */
const unifyGang = ({tasks}: Step): void => {
	const [latest] = tasks
		.filter(({checkpoint}) => checkpoint)
		.toSorted((one, two) => two.checkpointRun - one.checkpointRun);
	if (latest) {
		applyCheckpoint(latest, latest.checkpointRun, latest.checkpoint ?? '');
	}

	const failures = Math.max(...tasks.map((task) => task.failures));
	for (const task of tasks) {
		task.failures = failures;
	}
};

const applyTask = (task: Task, stored: TaskProgress | undefined): void => {
	task.failures = stored?.failures ?? 0;
	task.failedRuns = stored?.failedRuns ?? [];
	task.crashes = stored?.crashes ?? [];
	task.checkpoint = stored?.checkpoint;
	task.checkpointRun = stored?.checkpointRun ?? 0;
};

const applyOccurrence = (job: Job, progress: OccurrenceProgress): void => {
	const occurrence = job.occurrences.get(progress.number);
	for (const step of occurrence?.steps ?? []) {
		for (const task of step.tasks) {
			applyTask(task, progress.tasks[task.id]);
			if (progress.done[step.number]?.[task.index] === '1') {
				markDone(task);
			}
		}

		if (step.spec.isGang) {
			unifyGang(step);
		}
	}
};

/** Whether any task of the job is done, has failed or has a checkpoint. */
const hasStarted = ({doneOccurrences, occurrences}: JobProgress): boolean =>
	doneOccurrences > 0 ||
	occurrences.some(
		({done, tasks}) =>
			Object.keys(tasks).length > 0 || done.some((each) => each.includes('1')),
	);

/** Applies stored progress to a job that was just created. */
export const applyProgress = (
	job: Job,
	progress: JobProgress,
	now: number,
): void => {
	job.end = progress.end;
	job.storedEnd = progress.end;
	job.endedAt = progress.end ? now : undefined;
	const next = Math.min(progress.nextOccurrence, countOccurrences(job));
	// An occurrence that was added and is not stored is done.
	const stored = progress.occurrences
		.filter(({number}) => !job.end && number < next)
		.toSorted((one, two) => one.number - two.number);
	for (const occurrence of stored) {
		job.nextOccurrence = occurrence.number;
		addOccurrence(job);
		applyOccurrence(job, occurrence);
	}

	job.doneOccurrences = progress.doneOccurrences;
	job.nextOccurrence = progress.nextOccurrence;
	job.hasStarted ||= hasStarted(progress);
};

/** Whether a row of the job itself also has state of its tasks. */
const hasTaskState = ({occurrences}: JobProgress): boolean =>
	occurrences.some(
		({done, tasks}) => done.length > 0 || Object.keys(tasks).length > 0,
	);

const applyRange = (job: Job, {first, done, tasks}: RangeProgress): void => {
	const perOccurrence = countTasks(job);
	for (const [index, digit] of [...done].entries()) {
		const number = first + index;
		const stored = tasks[number];
		if (digit === '1' || stored) {
			// Stored before the row of the job that adds the occurrence.
			addOccurrencesUpTo(job, Math.floor(number / perOccurrence));
		}

		const task = findTaskByNumber(job, number);
		if (task && !task.isDone) {
			applyTask(task, stored);
			if (digit === '1') {
				markDone(task);
			}
		}
	}
};

const completeGangs = (job: Job): void => {
	const gangs = [...job.occurrences.values()].flatMap(({steps}) =>
		steps.filter(({spec}) => spec.isGang),
	);
	for (const step of gangs) {
		if (step.doneCount > 0) {
			for (const task of step.tasks) {
				markDone(task);
			}
		} else {
			unifyGang(step);
		}
	}
};

/**
 * Applies the rows of ranges to a job whose own row, if there is one, was
 * applied before. Returns whether the stored rows differ from the state.
 */
export const applyRanges = (
	job: Job,
	rows: readonly StoredRange[],
	own: JobProgress | undefined,
): boolean => {
	const split = restoreSplit(job, rows);
	if (job.end) {
		return true;
	}

	for (const {progress} of rows.toSorted(
		(one, two) => one.version - two.version,
	)) {
		applyRange(job, progress);
	}

	completeGangs(job);
	job.hasStarted = true;
	if (own && hasTaskState(own)) {
		for (const number of createSplit(job).changed) {
			split.changed.add(number);
		}
	}

	return split.changed.size > 0 || isJobComplete(job);
};
