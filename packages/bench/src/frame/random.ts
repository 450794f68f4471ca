/** Seeded random numbers, which make a bench reproducible. */

/** Source of numbers in [0, 1). */
export type Random = () => number;

/**
 * Creates a generator from a seed (mulberry32, a public-domain 32-bit
 * generator by Tommy Ettinger).
 */
export const createRandom = (seed: number): Random => {
	let state = Math.trunc(seed);
	return () => {
		state = (state + 0x6d_2b_79_f5) % 0x1_00_00_00_00;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_00_00_00_00;
	};
};

/** Draws from the exponential distribution with a mean. */
export const drawExponential = (random: Random, mean: number): number =>
	-mean * Math.log(1 - random());

/** Draws a whole number in [0, bound). */
export const drawBelow = (random: Random, bound: number): number =>
	Math.floor(random() * bound);

/** Draws from the log-normal distribution with a median and a sigma. */
export const drawLogNormal = (
	random: Random,
	median: number,
	sigma: number,
): number => {
	const radius = Math.sqrt(-2 * Math.log(1 - random()));
	const normal = radius * Math.cos(2 * Math.PI * random());
	return median * Math.exp(sigma * normal);
};
