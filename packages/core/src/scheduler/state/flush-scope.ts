/**
 * What the next flush may contain. When the store refuses a flush for good, the
 * next one has a part of it, down to a single row, so that what it refuses is
 * found in few steps and the rest is stored.
 */
import type {Flush} from './flush.js';

/** Bounds of the next flush. */
export type FlushScope = {
	/** Infinity while no flush is refused: then the roster is part of it. */
	readonly maxJobs: number;
	/** Rows of jobs. */
	readonly maxEntries: number;
};

/** Scope of flushes while none is refused. */
export const createFlushScope = (maxEntries: number): FlushScope => ({
	maxJobs: Number.POSITIVE_INFINITY,
	maxEntries,
});

/** Whether a flush was refused a short time ago. */
export const isNarrow = ({maxJobs}: FlushScope): boolean =>
	Number.isFinite(maxJobs);

const countEntries = ({jobs}: Flush): number =>
	jobs.reduce((sum, {rows, removes}) => sum + rows.length + removes.length, 0);

/**
 * Returns a smaller scope than that of a flush that was refused; `undefined` if
 * the flush was as small as can be.
 */
export const narrowScope = (
	{maxEntries}: FlushScope,
	flush: Flush,
): FlushScope | undefined => {
	const jobs = flush.jobs.length;
	const entries = countEntries(flush);
	if (jobs > 1) {
		return {maxJobs: Math.ceil(jobs / 2), maxEntries};
	}

	if (entries > 1) {
		return {maxJobs: 1, maxEntries: Math.ceil(entries / 2)};
	}

	return jobs === 1 && flush.roster ? {maxJobs: 1, maxEntries: 1} : undefined;
};

/** Number of jobs from which a scope has no bound again. */
const manyJobs = 64;

/** Returns the scope after a flush that was stored. */
export const widenScope = (
	{maxJobs, maxEntries}: FlushScope,
	maxAllEntries: number,
): FlushScope => ({
	maxJobs: maxJobs >= manyJobs ? Number.POSITIVE_INFINITY : 2 * maxJobs,
	maxEntries: Math.min(maxAllEntries, 2 * maxEntries),
});
