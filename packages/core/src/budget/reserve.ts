/**
 * Reserve for the largest failure domain: with it a service keeps its terms
 * even if that domain is lost while the plan holds others away. Its price is
 * a longer wave; `bench wave` measures it.
 */
import {match} from 'ts-pattern';
import type {Instance} from '../types/instance.js';

/** Failure domain that a plan leaves room for. */
export const reserveKinds = ['none', 'rack', 'availability-zone'] as const;

/** Failure domain that a plan leaves room for. */
export type ReserveKind = (typeof reserveKinds)[number];

const getDomain = (instance: Instance, kind: ReserveKind): string =>
	match(kind)
		.with('none', () => '')
		.with('rack', () => `${instance.availabilityZone}/${instance.rack}`)
		.with('availability-zone', () => instance.availabilityZone)
		.exhaustive();

/** Executors in the largest domain of the kind: the number kept in reserve. */
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
