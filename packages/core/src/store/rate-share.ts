/**
 * Divides one rate among the daemons of the fleet, max-min fair by demand, so
 * that daemons with unmet demand get what idle ones do not use.
 * Source: Bertsekas and Gallager, Data Networks, section 6.5.2.
 */

/**
 * Finds the max-min fair level: demands above it get the level, others are met
 * in full.
 */
const findFairLevel = (rate: number, demands: readonly number[]): number => {
	let remainingRate = rate;
	let remainingDemands = demands.length;
	for (const demand of demands.toSorted((a, b) => a - b)) {
		if (demand >= remainingRate / remainingDemands) {
			return remainingRate / remainingDemands;
		}

		remainingRate -= demand;
		remainingDemands -= 1;
	}

	return Number.POSITIVE_INFINITY;
};

/**
 * Computes the share of one daemon. Every daemon keeps a guaranteed part of an
 * equal share, whatever the others report; the rest follows demand.
 * @param rate - Rate of the whole fleet, per second.
 * @param own - Demand of this daemon, per second.
 * @param others - Demand of each other listed daemon, per second; `undefined`,
 * for one that has not reported, counts as its equal share.
 * @param guaranteed - Part of the rate that is split equally, from 0 to 1.
 */
export const getRateShare = (
	rate: number,
	own: number,
	others: ReadonlyArray<number | undefined>,
	guaranteed: number,
): number => {
	const equalShare = rate / (others.length + 1);
	const floor = equalShare * guaranteed;
	const demands = [own, ...others.map((demand) => demand ?? equalShare)];
	const demandsAboveFloor = demands.map((demand) =>
		Math.max(0, demand - floor),
	);
	const sharedRate = rate * (1 - guaranteed);
	const level = findFairLevel(sharedRate, demandsAboveFloor);
	return floor + Math.min(demandsAboveFloor[0]!, level);
};
