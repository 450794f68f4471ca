/** Sums of resources, and the share of the room that they take. */
import type {Resources} from '../state/types.js';

/** Resources that are summed up in place. */
export type ResourceSum = {-readonly [name in keyof Resources]: number};

/** A team, or `undefined` for all jobs without a team. */
export type TeamKey = string | undefined;

/** Creates an empty sum. */
export const createSum = (): ResourceSum => ({
	cpuMillis: 0,
	memoryMb: 0,
	accelerators: 0,
});

/** Adds resources to a sum, `factor` times. */
export const addTo = (
	sum: ResourceSum,
	{cpuMillis, memoryMb, accelerators}: Resources,
	factor = 1,
): void => {
	sum.cpuMillis += factor * cpuMillis;
	sum.memoryMb += factor * memoryMb;
	sum.accelerators += factor * accelerators;
};

/** Returns the sum of a team, which is created if there is none. */
export const getSum = (
	sums: Map<TeamKey, ResourceSum>,
	team: TeamKey,
): ResourceSum => {
	const sum = sums.get(team) ?? createSum();
	sums.set(team, sum);
	return sum;
};

const getPart = (amount: number, whole: number): number =>
	whole > 0 ? amount / whole : 0;

/**
 * Returns the share of the resource of which the largest share is taken, from 0
 * to 1. A resource that nobody has does not count.
 */
export const getDominantShare = (
	{cpuMillis, memoryMb, accelerators}: Resources,
	capacity: Resources,
): number =>
	Math.max(
		getPart(cpuMillis, capacity.cpuMillis),
		getPart(memoryMb, capacity.memoryMb),
		getPart(accelerators, capacity.accelerators),
	);
