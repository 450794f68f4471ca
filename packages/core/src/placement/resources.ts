/** Arithmetic on resources. */
import type {Resources} from '../types/job.js';

/** No resources. */
export const noResources: Resources = {cores: 0, memoryMb: 0, accelerators: 0};

/** Sum of two amounts. */
export const addResources = (a: Resources, b: Resources): Resources => ({
	cores: a.cores + b.cores,
	memoryMb: a.memoryMb + b.memoryMb,
	accelerators: a.accelerators + b.accelerators,
});

/** Difference of two amounts; may be negative. */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
	cores: a.cores - b.cores,
	memoryMb: a.memoryMb - b.memoryMb,
	accelerators: a.accelerators - b.accelerators,
});

const tolerance = 1e-6;

/**
 * Whether an amount fits into another, with a tolerance for rounding errors.
 */
export const fitsInto = (amount: Resources, room: Resources): boolean =>
	amount.cores <= room.cores + tolerance &&
	amount.memoryMb <= room.memoryMb + tolerance &&
	amount.accelerators <= room.accelerators + tolerance;

const getShare = (amount: number, capacity: number): number =>
	capacity > 0 ? amount / capacity : 0;

/**
 * Largest share of a capacity that an amount uses, over all resources; 0 or
 * more.
 */
export const getDominantShare = (
	amount: Resources,
	capacity: Resources,
): number =>
	Math.max(
		getShare(amount.cores, capacity.cores),
		getShare(amount.memoryMb, capacity.memoryMb),
		getShare(amount.accelerators, capacity.accelerators),
	);
