/**
 * Shares of one rate among the daemons of the fleet: max-min fair by demand,
 * so that what idle daemons leave goes to those that need it.
 * Source: Bertsekas and Gallager, Data Networks, section 6.5.2.
 */

/** Demands above this level get the level; others get what they asked. */
const findFairLevel = (rate: number, demands: readonly number[]): number => {
	let left = rate;
	let count = demands.length;
	for (const demand of demands.toSorted((a, b) => a - b)) {
		if (demand >= left / count) {
			return left / count;
		}

		left -= demand;
		count -= 1;
	}

	return Number.POSITIVE_INFINITY;
};

/**
 * The share of one daemon. Every daemon keeps a guaranteed part of an equal
 * share, whatever the others report; the rest follows demand.
 * @param rate - What the fleet may use a second.
 * @param own - What this daemon would use a second.
 * @param others - The same of each other listed daemon; one that has not
 * reported counts with its equal share.
 * @param guaranteed - Part of the rate that is split equally, from 0 to 1.
 */
export const getRateShare = (
	rate: number,
	own: number,
	others: ReadonlyArray<number | undefined>,
	guaranteed: number,
): number => {
	const equal = rate / (others.length + 1);
	const floor = equal * guaranteed;
	const demands = [own, ...others.map((demand) => demand ?? equal)];
	const excess = demands.map((demand) => Math.max(0, demand - floor));
	const lent = rate * (1 - guaranteed);
	const level = findFairLevel(lent, excess);
	return floor + Math.min(excess[0]!, level);
};
