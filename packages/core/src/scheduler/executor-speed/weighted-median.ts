/** Weighted median, which single outliers do not move. */

/** A value that counts with a positive weight. */
export type Weighted = {readonly value: number; readonly weight: number};

/**
 * Returns the value below which half of the weight lies, the mean of the two
 * middle values if the weights are halved exactly; `undefined` for no values.
 */
export const getWeightedMedian = (
	values: readonly Weighted[],
): number | undefined => {
	if (values.length <= 1) {
		return values[0]?.value;
	}

	const sorted = values.toSorted((one, two) => one.value - two.value);
	let left = sorted.reduce((sum, {weight}) => sum + weight, 0) / 2;
	for (const [index, {value, weight}] of sorted.entries()) {
		left -= weight;
		const next = sorted[index + 1];
		if (left < 0 || !next) {
			return value;
		}

		if (left === 0) {
			return (value + next.value) / 2;
		}
	}

	return undefined;
};

/** Returns the median of values of equal weight. */
export const getMedian = (values: readonly number[]): number | undefined =>
	getWeightedMedian(values.map((value) => ({value, weight: 1})));
