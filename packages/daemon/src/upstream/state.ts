/** Shared state of one upstream. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {TakeSlot, UpstreamConfig, UpstreamStats} from './types.js';

/** Connections and probe state of one executor. */
export type ExecutorLink = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly pool: pools.ConnectionPool;
	readonly probeState: core.unresponsiveConnections.UnresponsiveState;
	/** Attempts unresponsive since the last probe, without an answer. */
	unresponsiveAttempts: number;
};

/** State of the upstream of one service. */
export type UpstreamState = {
	readonly service: core.Service;
	readonly cfg: UpstreamConfig;
	readonly clock: () => number;
	readonly takeSlot: TakeSlot;
	/** Called when an executor closes a connection soon after its last use. */
	readonly onLost: (link: ExecutorLink) => void;
	readonly links: Map<string, ExecutorLink>;
	/** Attempts in flight by executor, including removed executors. */
	readonly inFlight: Map<string, number>;
	readonly health: core.health.PoolHealth;
	readonly budget: core.retryBudget.RetryBudget;
	readonly serviceTime: core.unresponsiveConnections.ServiceTime;
	readonly stats: UpstreamStats;
};

/** Changes the number of attempts in flight on an executor. */
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

/** Identity and address of an executor that may receive requests. */
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
		probeState: core.unresponsiveConnections.createUnresponsiveState(),
		unresponsiveAttempts: 0,
	};
	return link;
};

/**
 * Applies the list of serving executors. An executor that was removed or has
 * a new address gets no new requests there; requests in flight finish.
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
