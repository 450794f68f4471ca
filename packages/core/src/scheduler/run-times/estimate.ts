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

/** Whether no time of the second estimate is longer. */
const covers = (one: RunTimeEstimate, two: RunTimeEstimate): boolean =>
	one.lowMs >= two.lowMs &&
	one.typicalMs >= two.typicalMs &&
	one.highMs >= two.highMs;

/** The longer of each of the three times; plans call it for every open job. */
export const maxEstimate = (
	one: RunTimeEstimate,
	two: RunTimeEstimate,
): RunTimeEstimate => {
	if (covers(one, two)) {
		return one;
	}

	return covers(two, one)
		? two
		: {
				lowMs: Math.max(one.lowMs, two.lowMs),
				typicalMs: Math.max(one.typicalMs, two.typicalMs),
				highMs: Math.max(one.highMs, two.highMs),
			};
};

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

/** A predicted run time, and its mean, which sums of work need. */
export type Prediction = RunTimeEstimate & {readonly meanMs: number};

/**
 * Adds the mean of a log-normal distribution with the median and 90th percentile
 * of an estimate; it is not above the latter.
 */
export const addMean = (estimate: RunTimeEstimate): Prediction => {
	const {lowMs, typicalMs, highMs} = estimate;
	const spread = Math.log(highMs / typicalMs) / deviationsToTenth;
	const meanMs = Math.min(highMs, typicalMs * Math.exp(spread ** 2 / 2));
	return {lowMs, typicalMs, highMs, meanMs};
};
