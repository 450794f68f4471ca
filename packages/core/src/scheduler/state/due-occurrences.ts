/** Loads the due occurrences of jobs, as far as there is room in memory. */
import type {Owner} from './owner-state.js';
import {
	addOccurrence,
	countOccurrences,
	countTasks,
	getDueTime,
	type Job,
} from './task.js';

/** Bounds of what is loaded of jobs with schedules. */
export const loadLimits = {
	/** Occurrences of one job. */
	maxOccurrences: 500,
	/** Tasks of one job; two occurrences may overlap however large they are. */
	maxTasks: 20_000,
	/** Tasks of a service, beside one occurrence of each job. */
	maxServiceTasks: 60_000,
} as const;

const minOverlap = 2;

/** Number of tasks of the loaded occurrences. */
export const countLoadedTasks = (job: Job): number =>
	job.occurrences.size * countTasks(job);

const getMaxLoaded = (job: Job): number =>
	Math.min(
		loadLimits.maxOccurrences,
		Math.max(minOverlap, Math.floor(loadLimits.maxTasks / countTasks(job))),
	);

/**
 * Whether an earlier owner may have started an occurrence: it had as many loaded
 * as may be, beside ends that it had not stored yet. Runs that an executor lists
 * of later ones are of nobody.
 */
export const mayHaveStarted = (job: Job, number: number): boolean =>
	number < job.nextOccurrence + 2 * getMaxLoaded(job);

/**
 * Adds the occurrences of a job that are due, in order and as far as the bounds
 * allow; the others follow as loaded ones are done. `maxTasks` bounds the tasks
 * that are added beside a first occurrence.
 */
export const addDueOccurrences = (
	job: Job,
	epochNow: number,
	maxTasks: number,
): void => {
	const times = countOccurrences(job);
	const {schedule} = job.accepted.spec;
	const perOccurrence = countTasks(job);
	const maxLoaded = getMaxLoaded(job);
	let left = maxTasks;
	while (
		job.nextOccurrence < times &&
		getDueTime(schedule, job.nextOccurrence) <= epochNow &&
		job.occurrences.size < maxLoaded &&
		(job.occurrences.size === 0 || left >= perOccurrence)
	) {
		addOccurrence(job);
		left -= perOccurrence;
	}
};

const hasSchedule = ({accepted}: Job): boolean =>
	accepted.spec.schedule !== undefined;

/**
 * Adds the occurrences that are due by the wall clock, as far as there is room
 * for them in memory.
 */
export const advanceSchedules = (owner: Owner, epochNow: number): void => {
	let loaded = 0;
	for (const job of owner.openJobs) {
		loaded += hasSchedule(job) ? countLoadedTasks(job) : 0;
	}

	for (const job of owner.openJobs) {
		const previous = job.nextOccurrence;
		addDueOccurrences(job, epochNow, loadLimits.maxServiceTasks - loaded);
		if (hasSchedule(job)) {
			loaded += (job.nextOccurrence - previous) * countTasks(job);
		}

		if (job.nextOccurrence !== previous && hasSchedule(job)) {
			owner.dirtyJobs.add(job);
		}
	}
};
