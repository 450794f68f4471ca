/**
 * What teams have used recently. Without it, a team whose tasks have just ended
 * would rank beside one that has had no room at all.
 */
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';

/** Time constant of the decayed mean, in milliseconds. */
const recentUseMs = 5000;

/** Means below a thousandth of a core, MB or accelerator are forgotten. */
const negligible = {cpuMillis: 1, memoryMb: 1, accelerators: 0.001};

/** Decayed means by team, at a time of the owner's clock. */
export type RecentUse = {
	readonly means: ReadonlyMap<TeamKey, Resources>;
	/** Absent before the first update. */
	readonly at: number | undefined;
};

/** Recent use of a new owner. */
export const noRecentUse: RecentUse = {means: new Map(), at: undefined};

const isNegligible = ({
	cpuMillis,
	memoryMb,
	accelerators,
}: Resources): boolean =>
	cpuMillis < negligible.cpuMillis &&
	memoryMb < negligible.memoryMb &&
	accelerators < negligible.accelerators;

/** Updates the means, taking what runs now as used since the last update. */
export const updateRecentUse = (
	{means, at}: RecentUse,
	running: ReadonlyMap<TeamKey, Resources>,
	now: number,
): RecentUse => {
	const kept = Math.exp(-Math.max(0, now - (at ?? now)) / recentUseMs);
	const updated = new Map<TeamKey, ResourceSum>();
	for (const team of new Set([...means.keys(), ...running.keys()])) {
		const mean = createSum();
		addTo(mean, means.get(team) ?? mean, kept);
		addTo(mean, running.get(team) ?? createSum(), 1 - kept);
		if (!isNegligible(mean)) {
			updated.set(team, mean);
		}
	}

	return {means: updated, at: now};
};
