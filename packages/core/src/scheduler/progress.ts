/**
 * The progress of a job as its owner stores it: what has ended, never what
 * runs. A new owner learns what runs from the executors themselves.
 */
import {
	addOccurrence,
	countOccurrences,
	listTasks,
	markDone,
	applyCheckpoint,
	type Job,
	type JobEnd,
	type Step,
	type Task,
} from './task.js';

/** What is kept of a task that is not simply untouched or done. */
export type TaskProgress = {
	readonly failures: number;
	/** Absent in rows of an older form. */
	readonly failedRuns?: readonly number[] | undefined;
	readonly checkpoint?: string | undefined;
	/** Absent in rows of an older form. */
	readonly checkpointRun?: number | undefined;
};

/** What is kept of one occurrence at hand. */
export type OccurrenceProgress = {
	readonly number: number;
	/** For each step a character a task: 1 is done, 0 is not. */
	readonly done: readonly string[];
	readonly tasks: Readonly<Record<string, TaskProgress>>;
};

/** The row of a job's progress. */
export type JobProgress = {
	readonly end?: JobEnd | undefined;
	readonly doneOccurrences: number;
	readonly nextOccurrence: number;
	readonly occurrences: readonly OccurrenceProgress[];
};

const describeTask = ({
	failures,
	failedRuns,
	checkpoint,
	checkpointRun,
}: Task): TaskProgress => ({
	failures,
	failedRuns: failedRuns.length > 0 ? failedRuns : undefined,
	checkpoint,
	checkpointRun: checkpointRun > 0 ? checkpointRun : undefined,
});

const describeTasks = (
	job: Job,
	number: number,
): Readonly<Record<string, TaskProgress>> => {
	const entries = [...listTasks(job)]
		.filter(({step}) => step.occurrence.number === number)
		.filter(({isDone}) => !isDone)
		.filter(({failures, checkpoint}) => failures > 0 || checkpoint)
		.map((task) => [task.id, describeTask(task)] as const);
	return Object.fromEntries(entries);
};

/** The progress of a job now. An ended job needs no detail. */
export const encodeProgress = (job: Job): JobProgress => ({
	end: job.end,
	doneOccurrences: job.doneOccurrences,
	nextOccurrence: job.nextOccurrence,
	occurrences: job.end
		? []
		: [...job.occurrences.values()].map(({number, steps}) => ({
				number,
				done: steps.map(({tasks}) =>
					tasks.map(({isDone}) => (isDone ? '1' : '0')).join(''),
				),
				tasks: describeTasks(job, number),
			})),
});

/** Rows of an older form give each member of a gang its own. */
const levelGang = ({tasks}: Step): void => {
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

const applyOccurrence = (job: Job, progress: OccurrenceProgress): void => {
	const occurrence = job.occurrences.get(progress.number);
	for (const step of occurrence?.steps ?? []) {
		for (const task of step.tasks) {
			const kept = progress.tasks[task.id];
			task.failures = kept?.failures ?? 0;
			task.failedRuns = kept?.failedRuns ?? [];
			task.checkpoint = kept?.checkpoint;
			task.checkpointRun = kept?.checkpointRun ?? 0;
			if (progress.done[step.number]?.[task.index] === '1') {
				markDone(task);
			}
		}

		if (step.spec.isGang) {
			levelGang(step);
		}
	}
};

/** Whether a run of it has ended or saved its work. */
const hasBegun = ({doneOccurrences, occurrences}: JobProgress): boolean =>
	doneOccurrences > 0 ||
	occurrences.some(
		({done, tasks}) =>
			Object.keys(tasks).length > 0 || done.some((each) => each.includes('1')),
	);

/** Brings a job just created to the progress that was stored. */
export const applyProgress = (
	job: Job,
	progress: JobProgress,
	now: number,
): void => {
	job.end = progress.end;
	job.storedEnd = progress.end;
	job.endedAt = progress.end ? now : undefined;
	const known = new Map(
		progress.occurrences.map((each) => [each.number, each]),
	);
	while (
		!job.end &&
		job.nextOccurrence <
			Math.min(progress.nextOccurrence, countOccurrences(job))
	) {
		const {number} = addOccurrence(job);
		const kept = known.get(number);
		if (kept) {
			applyOccurrence(job, kept);
		} else {
			// Begun and no longer held: it was done as a whole.
			job.occurrences.delete(number);
		}
	}

	job.doneOccurrences = progress.doneOccurrences;
	job.nextOccurrence = progress.nextOccurrence;
	job.hasStarted ||= hasBegun(progress);
};
