/** Limits across the registered entries, for a daemon with a peer channel. */
import * as core from '@gullstand/core';
import type {Agreement} from '../agreement/agreement.js';
import {listServing} from '../view/list-serving.js';
import {createCreditChannel, formatMember} from './credit-channel.js';
import {createCreditLimits, type CreditLimits} from './credit-limits.js';

/** Dependencies of the limits. */
export type FleetLimitsDeps = {
	readonly agreement: Pick<Agreement, 'self' | 'peers' | 'member' | 'follower'>;
	readonly now: () => number;
	/** Upper bound of a request's run time; the same on every entry. */
	readonly longestRequestMs: number;
	/** Number of entries that share the connections of an executor. */
	readonly entries: number;
};

/**
 * Each pool sends its own heartbeat, so a long period keeps the cost of idle
 * entries low: at 500 ms nine of them spent 3.1% of a core and 18 KB/s each
 * (bench `idle`). Reports under load do not wait for it.
 */
const heartbeatMs = 2000;

const leaseMs = 8000;

const unresponsiveAfterMs = 5000;

/** Connections to each executor that are reserved for probes. */
const probeConnections = 1;

/** Slots by executor of each pool: the minimum over services that share it. */
const listSlots = (view: core.View) => {
	const pools = new Map<string, Map<string, number>>();
	for (const {pool, slotsPerExecutor} of view.services.values()) {
		const slots = pools.get(pool) ?? new Map<string, number>();
		pools.set(pool, slots);
		for (const {id} of listServing(view, pool)) {
			slots.set(id, Math.min(slots.get(id) ?? Infinity, slotsPerExecutor));
		}
	}

	return pools;
};

/** Maximum requests on an executor that this entry's connections allow. */
const getOwnLimit = (view: core.View, pool: string, entries: number) => {
	let limit = Infinity;
	for (const service of view.services.values()) {
		if (service.pool === pool) {
			const connections = Math.floor(service.connectionsPerExecutor / entries);
			limit = Math.min(limit, connections - probeConnections);
		}
	}

	return Math.max(1, limit);
};

/** Builds the limits; nothing is sent before the start. */
export const createFleetLimits = (deps: FleetLimitsDeps): CreditLimits => {
	const {self, peers, member, follower} = deps.agreement;
	let revision = -1;
	let slots: ReturnType<typeof listSlots> = new Map();
	return createCreditLimits({
		self: formatMember(self.entry, self.incarnation),
		channel: createCreditChannel(peers),
		now: deps.now,
		settings: {
			...core.creditMessages.defaultSettings,
			heartbeatMs,
			leaseMs,
			longestAttemptMs: deps.longestRequestMs,
		},
		unresponsiveAfterMs,
		mayRoute: member.mayRoute,
		random: Math.random,
		listPeers() {
			const {registrations} = member.getMembers();
			const own = registrations.get(self.entry)?.value.acknowledged;
			return own?.incarnation === self.incarnation
				? [...registrations]
						.filter(([entry]) => entry !== self.entry)
						.map(([entry, {value}]) => ({
							member: formatMember(entry, value.acknowledged.incarnation),
							address: value.address,
						}))
				: undefined;
		},
		getSlots() {
			const view = follower.getView();
			if (view.revision !== revision) {
				revision = view.revision;
				slots = listSlots(view);
			}

			return slots;
		},
		getOwnLimit: (pool) => getOwnLimit(follower.getView(), pool, deps.entries),
	});
};
