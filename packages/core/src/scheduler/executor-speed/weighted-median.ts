/** Weighted median, which single outliers do not move. */

/** A speed, as its natural logarithm, that counts with a positive weight. */
export type Weighted = {readonly logSpeed: number; readonly weight: number};

/**
 * Returns the value below which half of the weight lies, the mean of the two
 * middle values if the weights are halved exactly; `undefined` for no values.
 */
export const getWeightedMedian = (
	values: readonly Weighted[],
): number | undefined => {
	if (values.length <= 1) {
		return values[0]?.logSpeed;
	}

	const sorted = values.toSorted((one, two) => one.logSpeed - two.logSpeed);
	let left = sorted.reduce((sum, {weight}) => sum + weight, 0) / 2;
	for (const [index, {logSpeed, weight}] of sorted.entries()) {
		left -= weight;
		const next = sorted[index + 1];
		if (left < 0 || !next) {
			return logSpeed;
		}

		if (left === 0) {
			return (logSpeed + next.logSpeed) / 2;
		}
	}

	return undefined;
};

/** Returns the median of values of equal weight. */
export const getMedian = (values: readonly number[]): number | undefined =>
	getWeightedMedian(values.map((logSpeed) => ({logSpeed, weight: 1})));
