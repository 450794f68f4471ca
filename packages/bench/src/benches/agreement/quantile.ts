/** Quantiles of measured values. */

/** Returns a quantile in [0, 1] of the values; NaN without values. */
export const getQuantile = (
	values: readonly number[],
	quantile: number,
): number => {
	const sorted = values.toSorted((a, b) => a - b);
	const index = Math.min(
		sorted.length - 1,
		Math.floor(quantile * sorted.length),
	);
	return sorted[index] ?? Number.NaN;
};
