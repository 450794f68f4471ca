/**
 * Progress of a job that is too large for one row: besides the job's own row
 * there are rows of the tasks in a range. What such a row says of a task holds
 * whatever the other rows say, so they may be stored in any order; the job's
 * row, which says what is done as a whole, follows them.
 */
import type {Owner} from './owner-state.js';
import type {TaskProgress} from './progress.js';
import {
	countOccurrences,
	countTasks,
	getTaskNumber,
	listCoscheduledTasks,
	listTasks,
	type Job,
	type Task,
} from './task.js';

/** Tasks of a row at most; a power of two, as is each smaller range. */
const maxRangeSize = 128;

/** Consecutive tasks by number; see `getTaskNumber`. */
export type TaskRange = {
	readonly first: number;
	readonly size: number;
	/** Whether the store may have a row with that first task. */
	readonly isStored: boolean;
};

/** Value of a row of a range. */
export type RangeProgress = {
	readonly first: number;
	readonly size: number;
	/** One digit per task: 1 if done, else 0; the range may end past the job. */
	readonly done: string;
	/** Tasks that are not done and have state, by number. */
	readonly tasks: Readonly<Record<string, TaskProgress>>;
};

/** Ranges that one or more flushes write. */
export type RangeSnapshot = {
	/** Number of the flush that began it. */
	readonly flushNumber: number;
	/** First tasks of the ranges to write, the next one last. */
	readonly pending: readonly number[];
};

/** How the progress of a job is split. */
export type SplitProgress = {
	/** Disjoint ranges by their first task. */
	readonly ranges: Map<number, TaskRange>;
	/** Numbers of the tasks that have changed since the snapshot began. */
	readonly changed: Set<number>;
	snapshot: RangeSnapshot | undefined;
};

/** Whether a task has anything to store. */
export const hasProgress = ({
	isDone,
	failures,
	crashes,
	checkpoint,
}: Task): boolean =>
	isDone || failures > 0 || crashes.length > 0 || (checkpoint ?? '') !== '';

const findRange = (
	{ranges}: SplitProgress,
	number: number,
): TaskRange | undefined => {
	for (let size = maxRangeSize; size >= 1; size /= 2) {
		const range = ranges.get(number - (number % size));
		if (range && number < range.first + range.size) {
			return range;
		}
	}

	return undefined;
};

/** Returns the range of a task, which it creates if there is none. */
const ensureRange = (split: SplitProgress, number: number): TaskRange => {
	const known = findRange(split, number);
	if (known) {
		return known;
	}

	const first = number - (number % maxRangeSize);
	const range = {first, size: maxRangeSize, isStored: false};
	split.ranges.set(first, range);
	return range;
};

/** Splits a range into halves; the row of the first one replaces its row. */
export const halveRange = (split: SplitProgress, range: TaskRange): void => {
	const size = range.size / 2;
	const second = range.first + size;
	split.ranges.set(range.first, {...range, size});
	split.ranges.set(second, {first: second, size, isStored: false});
};

/** Creates the ranges of a job that was stored in one row until now. */
export const createSplit = (job: Job): SplitProgress => {
	const split: SplitProgress = {
		ranges: new Map(),
		changed: new Set(),
		snapshot: undefined,
	};
	for (const task of listTasks(job)) {
		if (hasProgress(task)) {
			split.changed.add(getTaskNumber(task));
		}
	}

	return split;
};

/** Marks the job of a task to be stored, and there the task or its gang. */
export const markTaskDirty = (
	{dirtyJobs}: Pick<Owner, 'dirtyJobs'>,
	task: Task,
): void => {
	const {job} = task.step.occurrence;
	const {split} = job;
	dirtyJobs.add(job);
	if (split) {
		for (const each of listCoscheduledTasks(task)) {
			split.changed.add(getTaskNumber(each));
		}
	}
};

/** Begins a snapshot of the changes so far, unless there is one. */
export const ensureSnapshot = (
	split: SplitProgress,
	flushNumber: number,
): RangeSnapshot => {
	if (!split.snapshot) {
		const firsts = new Set(
			[...split.changed].map((number) => ensureRange(split, number).first),
		);
		split.changed.clear();
		// A half range is written before the row that it was part of shrinks.
		const pending = [...firsts].toSorted((one, two) => one - two);
		split.snapshot = {flushNumber, pending};
	}

	return split.snapshot;
};

/** Whether all tasks of a range are in occurrences that are done. */
export const isObsolete = (job: Job, {first, size}: TaskRange): boolean => {
	if (job.end) {
		return true;
	}

	const perOccurrence = countTasks(job);
	const last = Math.min(
		Math.floor((first + size - 1) / perOccurrence),
		countOccurrences(job) - 1,
	);
	if (last >= job.nextOccurrence) {
		return false;
	}

	for (
		let number = Math.floor(first / perOccurrence);
		number <= last;
		number++
	) {
		if (job.occurrences.has(number)) {
			return false;
		}
	}

	return true;
};

/** Returns the task with that number if its occurrence is loaded. */
export const findTaskByNumber = (
	job: Job,
	number: number,
): Task | undefined => {
	const perOccurrence = countTasks(job);
	const occurrence = job.occurrences.get(Math.floor(number / perOccurrence));
	let left = number % perOccurrence;
	for (const {tasks} of occurrence?.steps ?? []) {
		if (left < tasks.length) {
			return tasks[left];
		}

		left -= tasks.length;
	}

	return undefined;
};

/** Encodes a range; `describe` returns what is stored of a task. */
export const encodeRange = (
	job: Job,
	{first, size}: TaskRange,
	describe: (task: Task) => TaskProgress,
): RangeProgress => {
	const perOccurrence = countTasks(job);
	const tasks: Record<string, TaskProgress> = {};
	let done = '';
	for (let number = first; number < first + size; number++) {
		const task = findTaskByNumber(job, number);
		const isDone = task
			? task.isDone
			: Math.floor(number / perOccurrence) < job.nextOccurrence;
		done += isDone ? '1' : '0';
		if (task && !isDone && hasProgress(task)) {
			tasks[number] = describe(task);
		}
	}

	return {first, size, done, tasks};
};

/** A stored row of a range. */
export type StoredRange = {
	readonly version: number;
	readonly progress: RangeProgress;
};

const isAligned = ({first, size}: RangeProgress): boolean =>
	size >= 1 &&
	size <= maxRangeSize &&
	Number.isInteger(Math.log2(size)) &&
	first % size === 0;

/**
 * Rebuilds the ranges of a job from its rows. Where rows overlap, since a range
 * was being split, the larger one is split too and is written again.
 */
export const restoreSplit = (
	job: Job,
	rows: readonly StoredRange[],
): SplitProgress => {
	const split: SplitProgress = {
		ranges: new Map(),
		changed: new Set(),
		snapshot: undefined,
	};
	const ranges = rows
		.map(({progress}) => progress)
		.filter((each) => isAligned(each))
		.toSorted((one, two) => two.size - one.size);
	for (const {first, size} of ranges) {
		let range = findRange(split, first);
		while (range && range.size > size) {
			for (let number = 0; number < range.size; number++) {
				split.changed.add(range.first + number);
			}

			halveRange(split, range);
			range = findRange(split, first);
		}

		split.ranges.set(first, {first, size, isStored: true});
	}

	job.split = split;
	return split;
};
