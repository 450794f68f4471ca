/**
 * Reserve for the largest failure domain: the service keeps its contract terms
 * even if that domain fails while a plan withdraws other instances. A larger
 * reserve prolongs waves.
 */
import {match} from 'ts-pattern';
import type {Instance} from '../types/instance.js';

/** Failure domain whose loss a plan must tolerate. */
export const reserveKinds = ['none', 'rack', 'availability-zone'] as const;

/** Failure domain whose loss a plan must tolerate. */
export type ReserveKind = (typeof reserveKinds)[number];

const getDomain = (instance: Instance, kind: ReserveKind): string =>
	match(kind)
		.with('none', () => '')
		.with('rack', () => `${instance.availabilityZone}/${instance.rack}`)
		.with('availability-zone', () => instance.availabilityZone)
		.exhaustive();

/**
 * Returns the number of executors in the largest failure domain of the kind.
 */
export const getReserve = (
	instances: Iterable<Instance>,
	kind: ReserveKind,
): number => {
	if (kind === 'none') {
		return 0;
	}

	const counts = new Map<string, number>();
	for (const instance of instances) {
		const domain = getDomain(instance, kind);
		counts.set(domain, (counts.get(domain) ?? 0) + 1);
	}

	return Math.max(0, ...counts.values());
};
