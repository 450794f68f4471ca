/**
 * Demand for a rate, as an exponentially weighted average of requested tokens,
 * whether granted or not.
 */

/** State of the average; updated in place. */
export type Demand = {
	perSecond: number;
	/** Time at which `perSecond` was computed, in milliseconds. */
	updatedAt: number;
};

/** Time constant of the average, in milliseconds. */
const averageMs = 10_000;

const msPerSecond = 1000;

/** Creates a demand with an initial value. */
export const createDemand = (perSecond: number, now: number): Demand => ({
	perSecond,
	updatedAt: now,
});

/** Returns the demand at a time, per second. */
export const getDemand = (demand: Demand, now: number): number => {
	const elapsedMs = Math.max(0, now - demand.updatedAt);
	return demand.perSecond * Math.exp(-elapsedMs / averageMs);
};

/** Records requested tokens. */
export const recordDemand = (
	demand: Demand,
	tokens: number,
	now: number,
): void => {
	demand.perSecond =
		getDemand(demand, now) + (tokens * msPerSecond) / averageMs;
	demand.updatedAt = Math.max(now, demand.updatedAt);
};
