/** What the parts of one upstream share. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {TakeSlot, UpstreamConfig, UpstreamStats} from './types.js';

/** One executor as this entry reaches it. */
export type ExecutorLink = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly pool: pools.ConnectionPool;
	readonly silence: core.unresponsiveConnections.UnresponsiveState;
	/** Attempts that went silent since the last probe and never answered. */
	silentAttempts: number;
};

/** State of the path to one service. */
export type UpstreamState = {
	readonly service: core.Service;
	readonly cfg: UpstreamConfig;
	readonly clock: () => number;
	readonly takeSlot: TakeSlot;
	/** Told when an executor closes a connection that was in good use. */
	readonly onLost: (link: ExecutorLink) => void;
	readonly links: Map<string, ExecutorLink>;
	/** Attempts in flight by executor, also on those off the list. */
	readonly inFlight: Map<string, number>;
	readonly health: core.health.PoolHealth;
	readonly budget: core.retryBudget.RetryBudget;
	readonly serviceTime: core.unresponsiveConnections.ServiceTime;
	readonly stats: UpstreamStats;
};

/** Counts attempts that start or end on an executor. */
export const addInFlight = (
	{inFlight}: UpstreamState,
	id: string,
	change: 1 | -1,
): void => {
	const count = (inFlight.get(id) ?? 0) + change;
	if (count === 0) {
		inFlight.delete(id);
	} else {
		inFlight.set(id, count);
	}
};

/** An executor that may take requests. */
export type ExecutorTarget = Pick<
	core.Instance,
	'id' | 'address' | 'availabilityZone'
>;

const createLink = (
	{cfg, clock, onLost}: UpstreamState,
	{id, address, availabilityZone}: ExecutorTarget,
): ExecutorLink => {
	const link: ExecutorLink = {
		id,
		availabilityZone,
		pool: pools.createPool(address, cfg, clock, () => {
			onLost(link);
		}),
		silence: core.unresponsiveConnections.createUnresponsiveState(),
		silentAttempts: 0,
	};
	return link;
};

/**
 * Takes over the list of serving executors. One that has left the list, or
 * has moved to another address, gets no new work; in-flight work finishes.
 */
export const setExecutors = (
	state: UpstreamState,
	targets: readonly ExecutorTarget[],
): void => {
	const {links, health} = state;
	const wanted = new Map(targets.map((each) => [each.id, each]));
	for (const [id, link] of links) {
		if (wanted.get(id)?.address !== link.pool.address) {
			pools.closePool(link.pool);
			links.delete(id);
		}
	}

	core.health.setExecutors(health, [...links.keys()]);
	for (const target of targets) {
		if (!links.has(target.id)) {
			links.set(target.id, createLink(state, target));
		}
	}

	core.health.setExecutors(health, [...links.keys()]);
};
