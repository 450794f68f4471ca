/** Checks of measured values against bounds. */
import type {Check, Comparison} from './types.js';

const comparisons: Record<Comparison, (a: number, b: number) => boolean> = {
	'<=': (a, b) => a <= b,
	'>=': (a, b) => a >= b,
	'==': (a, b) => a === b,
};

/** Checks a value against a bound; a value that is not finite never holds. */
export const check = (
	name: string,
	value: number,
	comparison: Comparison,
	bound: number,
): Check => ({
	name,
	value,
	bound: `${comparison} ${bound}`,
	holds: Number.isFinite(value) && comparisons[comparison](value, bound),
});
