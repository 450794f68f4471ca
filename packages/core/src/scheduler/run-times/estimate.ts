/** Estimated run times, and the sums and maxima of which paths consist. */

/** An estimated run time in milliseconds; `lowMs <= typicalMs <= highMs`. */
export type RunTimeEstimate = {
	/** One run in ten is shorter. */
	readonly lowMs: number;
	/** The median. */
	readonly typicalMs: number;
	/** One run in ten is longer. */
	readonly highMs: number;
};

/** A time that is known or declared, and so has no spread. */
export const createExactEstimate = (ms: number): RunTimeEstimate => ({
	lowMs: ms,
	typicalMs: ms,
	highMs: ms,
});

export const noTime = createExactEstimate(0);

export const addEstimates = (
	one: RunTimeEstimate,
	two: RunTimeEstimate,
): RunTimeEstimate => ({
	lowMs: one.lowMs + two.lowMs,
	typicalMs: one.typicalMs + two.typicalMs,
	highMs: one.highMs + two.highMs,
});

export const maxEstimate = (
	one: RunTimeEstimate,
	two: RunTimeEstimate,
): RunTimeEstimate => ({
	lowMs: Math.max(one.lowMs, two.lowMs),
	typicalMs: Math.max(one.typicalMs, two.typicalMs),
	highMs: Math.max(one.highMs, two.highMs),
});

/** Applies a function that never decreases to the three times. */
export const mapEstimate = (
	{lowMs, typicalMs, highMs}: RunTimeEstimate,
	change: (ms: number) => number,
): RunTimeEstimate => ({
	lowMs: change(lowMs),
	typicalMs: change(typicalMs),
	highMs: change(highMs),
});

/** Standard deviations between the median and the tenth or 90th percentile. */
export const deviationsToTenth = 1.2816;

/**
 * Mean run time, in milliseconds, which sums of work need: of a log-normal
 * distribution with the median and 90th percentile of the estimate, and not
 * above the latter.
 */
export const getMeanMs = ({typicalMs, highMs}: RunTimeEstimate): number => {
	if (highMs <= typicalMs) {
		return typicalMs;
	}

	const spread = Math.log(highMs / typicalMs) / deviationsToTenth;
	return Math.min(highMs, typicalMs * Math.exp(spread ** 2 / 2));
};
