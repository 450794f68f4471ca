/**
 * Demand for a rate, as an exponentially weighted average of what was asked
 * for, whether it was granted or not.
 */

/** The average; updated in place. */
export type Demand = {
	perSecond: number;
	/** When `perSecond` was right, in milliseconds. */
	updatedAt: number;
};

/** Time constant of the average, in milliseconds. */
const averageMs = 10_000;

const msPerSecond = 1000;

/** A demand that starts at a value. */
export const createDemand = (perSecond: number, now: number): Demand => ({
	perSecond,
	updatedAt: now,
});

/** The demand at a time. */
export const getDemand = (demand: Demand, now: number): number => {
	const elapsedMs = Math.max(0, now - demand.updatedAt);
	return demand.perSecond * Math.exp(-elapsedMs / averageMs);
};

/** Counts tokens that were asked for. */
export const recordDemand = (
	demand: Demand,
	tokens: number,
	now: number,
): void => {
	demand.perSecond =
		getDemand(demand, now) + (tokens * msPerSecond) / averageMs;
	demand.updatedAt = Math.max(now, demand.updatedAt);
};
