/**
 * Holds the control shards that are assigned to this entry. The entry's
 * heartbeat renews all leases; a shard row is written only when its holder
 * changes.
 */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {
	acknowledgement,
	observation,
	shardLease,
	StoreWrite,
} from '@gullstand/core';
import type {TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import {toWrites, type MembershipRows} from '../membership/membership-rows.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';

/** Dependencies of the lease runner. */
export type LeaseRunnerDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly table: TableService;
	readonly mayControl: () => boolean;
	readonly getMembers: () => MembershipRows;
	/** Names of all shards. */
	readonly listShards: () => readonly string[];
	/** Time without a heartbeat after which a holder's shards are taken over. */
	readonly leaseMs: number;
	readonly pollMs: number;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

/** The leases of this entry. */
export type LeaseRunner = Part & {
	/** Returns the lease of a shard if this entry is known to hold it. */
	readonly getHeld: (shard: string) => shardLease.HeldShard | undefined;
	readonly listHeld: () => readonly shardLease.HeldShard[];
	/** Time since the last heartbeat of a monitored peer, in milliseconds. */
	readonly getUnresponsiveMs: (entry: string) => number;
};

type State = {
	readonly held: Map<string, shardLease.HeldShard>;
	observations: observation.Observations;
};

/** Reads further apart than this many periods restart the observation. */
const maxGapPeriods = 5;

/** Reads the rows of monitored peers and records which have changed. */
const observePeers = async (deps: LeaseRunnerDeps, state: State) => {
	const entries = [...deps.getMembers().registrations.keys()];
	const versions = new Map<string, number>();
	for (const entry of core.monitoredPeers.listMonitoredPeers(
		deps.self.entry,
		entries,
	)) {
		const row = await deps.table.get(core.agreementTables.entry, entry);
		if (!row.ok) {
			return;
		}

		if (row.value) {
			versions.set(entry, row.value.version);
		}
	}

	state.observations = core.observation.observeVersions(
		state.observations,
		versions,
		maxGapPeriods * deps.pollMs,
		deps.now(),
	);
};

const getUnresponsiveMs = ({observations}: State, entry: string): number => {
	const version = observations.rows.get(entry)?.version ?? 0;
	return core.observation.getUnchangedMs(observations, entry, version);
};

const readLease = async (
	deps: LeaseRunnerDeps,
	shard: string,
): Promise<{readonly lease: shardLease.ReadLease} | undefined> => {
	const row = await deps.table.get(core.agreementTables.shard, shard);
	if (!row.ok) {
		return undefined;
	}

	const value = row.value?.value as unknown as shardLease.ShardLease;
	return {lease: row.value && {value, version: row.value.version}};
};

const commit = async (
	deps: LeaseRunnerDeps,
	write: StoreWrite<shardLease.ShardLease>,
) => deps.table.commit(toWrites([write]), randomUUID());

const acquire = async (deps: LeaseRunnerDeps, state: State, shard: string) => {
	const read = await readLease(deps, shard);
	if (!read) {
		return;
	}

	const holder = read.lease?.value.holder?.entry ?? '';
	const row = deps.getMembers().registrations.get(holder);
	const result = core.shardLease.acquireShard(shard, read.lease, {
		self: deps.self,
		leaseMs: deps.leaseMs,
		evidence: {
			registeredIncarnation: row?.value.acknowledged.incarnation,
			unresponsiveMs: getUnresponsiveMs(state, holder),
		},
	});
	if (result.ok) {
		await commit(deps, result.value);
	}

	// Read back even after a lost reply: the row names the holder.
	const after = await readLease(deps, shard);
	const own = core.shardLease.adoptShard(after?.lease, deps.self);
	if (own) {
		state.held.set(shard, own);
		deps.logger.info('shard acquired', {shard, token: own.token});
	}
};

const release = async (
	deps: LeaseRunnerDeps,
	state: State,
	held: shardLease.HeldShard,
) => {
	state.held.delete(held.shard);
	const {shard, token, version} = held;
	const lease = {shard, token, holder: deps.self};
	await commit(deps, core.shardLease.releaseShard(lease, version));
	deps.logger.info('shard released', {shard, token});
};

const checkLease = async (
	deps: LeaseRunnerDeps,
	state: State,
	held: shardLease.HeldShard,
) => {
	const read = await readLease(deps, held.shard);
	if (read && core.shardLease.isShardLost(held, read.lease)) {
		state.held.delete(held.shard);
		deps.logger.info('shard lost', {shard: held.shard});
	}
};

const runShard = async (
	deps: LeaseRunnerDeps,
	state: State,
	shard: string,
	assigned: ReadonlyMap<string, string>,
) => {
	const held = state.held.get(shard);
	// Takes over the shards of an unresponsive peer until it is forgotten.
	const isUnresponsive =
		getUnresponsiveMs(state, assigned.get(shard) ?? '') >= deps.leaseMs;
	const action = core.shardAssignment.getShardAction(
		shard,
		deps.self.entry,
		held !== undefined,
		isUnresponsive ? new Map([[shard, deps.self.entry]]) : assigned,
	);
	if (action === 'acquire') {
		await acquire(deps, state, shard);
	} else if (held) {
		await (action === 'keep'
			? checkLease(deps, state, held)
			: release(deps, state, held));
	}
};

const runOnce = async (deps: LeaseRunnerDeps, state: State) => {
	if (!deps.mayControl()) {
		return;
	}

	await observePeers(deps, state);
	const entries = [...deps.getMembers().registrations.keys()];
	const shards = deps.listShards();
	const assigned = core.shardAssignment.assignShards(shards, entries);
	for (const shard of shards) {
		await runShard(deps, state, shard, assigned);
	}
};

export const createLeaseRunner = (deps: LeaseRunnerDeps): LeaseRunner => {
	const state: State = {
		held: new Map(),
		observations: core.observation.emptyObservations,
	};
	const ticker = createTicker(
		async () => runOnce(deps, state),
		deps.pollMs,
		Math.random,
	);
	return {
		name: 'shards',
		async start(reportFailure) {
			await runOnce(deps, state);
			await ticker.start(reportFailure);
		},
		async stop() {
			await ticker.stop();
			for (const held of state.held.values()) {
				await release(deps, state, held);
			}
		},
		getHeld: (shard) => (deps.mayControl() ? state.held.get(shard) : undefined),
		listHeld: () => (deps.mayControl() ? [...state.held.values()] : []),
		getUnresponsiveMs: (entry) => getUnresponsiveMs(state, entry),
	};
};
