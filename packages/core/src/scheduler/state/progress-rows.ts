/** The rows of a job that one flush writes, each within the size of a row. */
import {
	describeTask,
	describeTaskBriefly,
	encodeProgress,
	encodeSplitProgress,
} from './progress.js';
import {
	createSplit,
	encodeRange,
	ensureSnapshot,
	findTaskByNumber,
	halveRange,
	isObsolete,
	type SplitProgress,
	type TaskRange,
} from './split-progress.js';
import type {Job} from './task.js';

/** What a flush may still write. */
export type FlushRoom = {
	/** Bytes of the value of a row. */
	readonly maxRowBytes: number;
	readonly bytes: number;
	/** Rows written or removed. */
	readonly entries: number;
};

/** A row to write: that of a job, or of the range that begins with a task. */
export type ProgressRow = {
	readonly first: number | undefined;
	readonly value: string;
	readonly bytes: number;
};

/** A task whose state is too large for a row. */
export type OversizedTask = {
	readonly taskId: string;
	readonly bytes: number;
	readonly maxBytes: number;
};

/** The rows of a job in one flush. */
export type JobRows = {
	readonly rows: readonly ProgressRow[];
	/** First tasks of the ranges whose rows are removed. */
	readonly removes: readonly number[];
	/**
	 * Number of the flush as of which all of the job is stored with these rows;
	 * absent if there are more rows to write.
	 */
	readonly storedFlush: number | undefined;
	/** Tasks that are stored without their checkpoints. */
	readonly oversized: readonly OversizedTask[];
};

const encoder = new TextEncoder();

const createRow = (
	first: number | undefined,
	content: unknown,
): ProgressRow => {
	const value = JSON.stringify(content);
	return {first, value, bytes: encoder.encode(value).length};
};

/** Bytes that a row of a job may have. */
export const getMaxRowBytes = (
	{refusedRowBytes}: Pick<Job, 'refusedRowBytes'>,
	maxRowBytes: number,
): number =>
	refusedRowBytes === undefined
		? maxRowBytes
		: Math.min(maxRowBytes, Math.floor(refusedRowBytes / 2));

type RangeRow = {
	readonly row: ProgressRow;
	readonly oversized?: OversizedTask;
};

/** Encodes a range; `undefined` if it has to be halved first. */
const encodeRangeRow = (
	job: Job,
	range: TaskRange,
	maxBytes: number,
): RangeRow | undefined => {
	const row = createRow(range.first, encodeRange(job, range, describeTask));
	if (row.bytes <= maxBytes) {
		return {row};
	}

	if (range.size > 1) {
		return undefined;
	}

	const brief = encodeRange(job, range, describeTaskBriefly);
	const taskId = findTaskByNumber(job, range.first)?.id ?? '';
	return {
		row: createRow(range.first, brief),
		oversized: {taskId, bytes: row.bytes, maxBytes},
	};
};

/** Takes rows of the ranges of a snapshot while there is room for them. */
const takeRanges = (
	job: Job,
	split: SplitProgress,
	flushNumber: number,
	room: FlushRoom,
): {
	readonly rows: readonly ProgressRow[];
	readonly oversized: readonly OversizedTask[];
	readonly bytes: number;
} => {
	const snapshot = ensureSnapshot(split, flushNumber);
	const pending = [...snapshot.pending];
	const rows: ProgressRow[] = [];
	const oversized: OversizedTask[] = [];
	let {bytes} = room;
	while (pending.length > 0 && rows.length < room.entries) {
		const first = pending.at(-1)!;
		const range = split.ranges.get(first);
		if (!range || isObsolete(job, range)) {
			pending.pop();
			continue;
		}

		const encoded = encodeRangeRow(job, range, room.maxRowBytes);
		if (!encoded) {
			halveRange(split, range);
			pending.push(first + range.size / 2);
			continue;
		}

		if (encoded.row.bytes > bytes) {
			break;
		}

		pending.pop();
		bytes -= encoded.row.bytes;
		rows.push(encoded.row);
		if (encoded.oversized) {
			oversized.push(encoded.oversized);
		}
	}

	split.snapshot = {...snapshot, pending};
	return {rows, oversized, bytes};
};

const listObsolete = (
	job: Job,
	{ranges}: SplitProgress,
): readonly TaskRange[] =>
	[...ranges.values()].filter((range) => isObsolete(job, range));

/** Removes rows of ranges that the job's own row makes useless. */
const takeRemoves = (
	job: Job,
	split: SplitProgress,
	entries: number,
): readonly number[] => {
	const stored: number[] = [];
	for (const {first, isStored} of listObsolete(job, split)) {
		if (isStored) {
			stored.push(first);
		} else {
			split.ranges.delete(first);
		}
	}

	return stored.slice(0, Math.max(0, entries));
};

const takeSplitRows = (
	job: Job,
	split: SplitProgress,
	flushNumber: number,
	room: FlushRoom,
): JobRows => {
	const taken = takeRanges(job, split, flushNumber, room);
	const {rows, oversized} = taken;
	const own = createRow(undefined, encodeSplitProgress(job));
	const isWhole =
		split.snapshot?.pending.length === 0 &&
		rows.length < room.entries &&
		own.bytes <= taken.bytes;
	return isWhole
		? {
				rows: [...rows, own],
				removes: takeRemoves(job, split, room.entries - rows.length - 1),
				storedFlush: job.end ? flushNumber : split.snapshot?.flushNumber,
				oversized,
			}
		: {rows, removes: [], storedFlush: undefined, oversized};
};

/**
 * Takes the rows of a job that a flush writes; none if there is no room for
 * one. A job that is in one row and fits stays so.
 */
export const takeJobRows = (
	job: Job,
	flushNumber: number,
	room: FlushRoom,
): JobRows => {
	const maxRowBytes = getMaxRowBytes(job, room.maxRowBytes);
	if (!job.split) {
		const row = createRow(undefined, encodeProgress(job));
		if (row.bytes <= maxRowBytes || job.end) {
			const hasRoom = room.entries > 0 && row.bytes <= room.bytes;
			return {
				rows: hasRoom ? [row] : [],
				removes: [],
				storedFlush: hasRoom ? flushNumber : undefined,
				oversized: [],
			};
		}

		job.split = createSplit(job);
	}

	return takeSplitRows(job, job.split, flushNumber, {...room, maxRowBytes});
};

/** Puts back the rows of a flush that was not stored. */
export const restoreJobRows = (job: Job, {rows}: JobRows): void => {
	const {split} = job;
	if (split?.snapshot) {
		const firsts = rows.flatMap(({first}) => first ?? []).toReversed();
		const {flushNumber, pending} = split.snapshot;
		// The outcome may be unknown, so the rows may be stored.
		markStored(split, firsts);
		split.snapshot = {flushNumber, pending: [...pending, ...firsts]};
	}
};

const markStored = (split: SplitProgress, firsts: readonly number[]): void => {
	for (const first of firsts) {
		const range = split.ranges.get(first);
		if (range) {
			split.ranges.set(first, {...range, isStored: true});
		}
	}
};

/** Records that rows are stored; returns whether there is more to write. */
export const recordStoredRows = (
	job: Job,
	{rows, removes, storedFlush}: JobRows,
): boolean => {
	const {split} = job;
	job.storedFlush = storedFlush ?? job.storedFlush;
	if (!split) {
		return storedFlush === undefined;
	}

	markStored(
		split,
		rows.flatMap(({first}) => first ?? []),
	);
	for (const first of removes) {
		split.ranges.delete(first);
	}

	if (storedFlush === undefined) {
		return true;
	}

	split.snapshot = undefined;
	const hasRowsToRemove = job.end !== undefined && split.ranges.size > 0;
	return hasRowsToRemove || split.changed.size > 0;
};
