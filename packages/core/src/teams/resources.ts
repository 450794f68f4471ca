/** Arithmetic on resources. */
import type {Resources} from '../scheduler/state/types.js';

export const resourceNames = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

export type ResourceName = (typeof resourceNames)[number];

export const noResources: Resources = {
	cpuMillis: 0,
	memoryMb: 0,
	accelerators: 0,
};

/** Computes each resource by its name. */
export const mapResources = (
	compute: (name: ResourceName) => number,
): Resources => ({
	cpuMillis: compute('cpuMillis'),
	memoryMb: compute('memoryMb'),
	accelerators: compute('accelerators'),
});

export const addResources = (one: Resources, two: Resources): Resources =>
	mapResources((name) => one[name] + two[name]);

/** Returns the larger amount of each resource. */
export const maxResources = (one: Resources, two: Resources): Resources =>
	mapResources((name) => Math.max(one[name], two[name]));

/** Returns the smaller amount of each resource. */
export const minResources = (one: Resources, two: Resources): Resources =>
	mapResources((name) => Math.min(one[name], two[name]));

export const isAnyPositive = (resources: Resources): boolean =>
	resourceNames.some((name) => resources[name] > 0);
