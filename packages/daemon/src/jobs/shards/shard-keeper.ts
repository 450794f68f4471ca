/**
 * Claims shards that are free and gives them back at a stop, or when a more
 * capable daemon has room for them. A lease row changes only when a shard
 * changes hands; the daemon's one heartbeat stands for all its shards.
 */
import * as core from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {createTicker} from '../../view/ticker.js';
import {periods} from '../periods.js';
import type {LeaseRow} from '../rows/tables.js';
import type {HeldShard, PreviousHolderState} from './held-shard.js';
import type {KnownLease, LeaseCache} from './lease-cache.js';
import {createLeaseTransaction} from './lease-transaction.js';
import {toLiveEntries, type Members} from './members.js';
import {maxSpreadShards, shardPeriods} from './shard-periods.js';
import {createShardReleases} from './shard-releases.js';

type ShardPlan = core.shardAssignment.ShardPlan;

/** What the keeper needs. */
export type ShardKeeperDeps = {
	readonly store: RowStore;
	readonly self: core.acknowledgement.EntryIncarnation;
	/** What this machine has; absent if it is not known. */
	readonly capacity: core.shardAssignment.EntryCapacity | undefined;
	readonly getAddress: () => string;
	readonly members: Members;
	readonly leases: LeaseCache;
	/** Whether this daemon reads the heartbeats, so that it may judge others. */
	readonly mayClaim: () => boolean;
	/** Sees to it that its own heartbeat is in the store; answers whether it is. */
	readonly ensureHeartbeat: () => Promise<boolean>;
	/** Whether this daemon is one of those that take over from holders. */
	readonly isCandidate: () => boolean;
	/** All shards that somebody should hold, by the configuration. */
	readonly listShards: () => readonly string[];
	readonly now: () => number;
	readonly random: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly onAcquired: (held: HeldShard) => void;
	/** Stores what is left to store; nothing is ordered any more after it. */
	readonly beforeRelease: (shard: string) => Promise<void>;
	/** The shard is another's, or this daemon gave it up. */
	readonly onLost: (shard: string) => void;
	/** Tells the others that a shard is free. */
	readonly onReleased: (shard: string) => void;
};

/** The keeper. */
export type ShardKeeper = {
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	readonly stop: () => Promise<void>;
	/** Gives a shard back, so that the next holder need not wait. */
	readonly release: (shard: string) => Promise<void>;
	readonly listHeld: () => readonly HeldShard[];
	readonly isHeld: (shard: string) => boolean;
	/** Whether it holds a shard or is claiming one. */
	readonly isHolding: () => boolean;
	/** Takes in that the lease of a shard has changed. */
	readonly applyLease: (shard: string, lease: KnownLease) => void;
	/** A holder's order was refused for a higher token. */
	readonly handleFenced: (shard: string) => void;
	/** Looks for shards to claim now. */
	readonly checkNow: () => void;
};

/** Creates a keeper that holds nothing. */
export const createShardKeeper = (deps: ShardKeeperDeps): ShardKeeper => {
	const {store, self, members, leases, now, logger} = deps;
	const held = new Map<string, HeldShard>();
	const freeSince = new Map<string, number>();
	const claiming = new Set<string>();
	const heldSince = new Map<string, number>();
	let returnedAt: number | undefined;
	/** Where this daemon comes among observers, from 0 to 1. */
	const claimJitter = deps.random();
	/** Versions of leases that this daemon has lost and must not adopt again. */
	const lostVersions = new Map<string, number>();
	let isStopping = false;

	const lose = (shard: string, reason: string) => {
		const mine = held.get(shard);
		if (mine) {
			held.delete(shard);
			heldSince.delete(shard);
			lostVersions.set(shard, mine.version);
			logger.info('shard lost', {shard, reason});
			deps.onLost(shard);
		}
	};

	const getEvidence = (lease: KnownLease | undefined) => {
		const holder = lease?.value.holder;
		// What was read before it claimed may be of the life before.
		if (!holder || !members.isReadUpTo(lease?.version ?? 0)) {
			return {registeredIncarnation: holder?.incarnation, unresponsiveMs: 0};
		}

		return {
			// A holder whose heartbeat was not read counts as alive until it is silent.
			registeredIncarnation:
				members.get(holder.entry)?.incarnation ?? holder.incarnation,
			unresponsiveMs: members.getUnresponsiveMs(holder.entry),
		};
	};

	const describePrevious = (
		lease: KnownLease | undefined,
	): PreviousHolderState => {
		if (!lease) {
			return 'none';
		}

		if (!lease.value.holder) {
			return 'released';
		}

		const {registeredIncarnation} = getEvidence(lease);
		return registeredIncarnation === lease.value.holder.incarnation
			? 'silent'
			: 'replaced';
	};

	const adopt = (
		lease: KnownLease,
		previous: PreviousHolderState,
		previousHolder: LeaseRow | undefined,
	) => {
		const {shard, token} = lease.value;
		if (held.has(shard)) {
			return;
		}

		const {version} = lease;
		const acquired = {shard, token, version, previous, previousHolder};
		held.set(shard, acquired);
		heldSince.set(shard, now());
		freeSince.delete(shard);
		logger.info('shard acquired', {shard, fencingToken: token, previous});
		deps.onAcquired(acquired);
	};

	const claim = async (shard: string): Promise<void> => {
		// The others judge a holder by its heartbeats, so one comes first.
		if (!(await deps.ensureHeartbeat())) {
			logger.info('shard claim failed', {shard, reason: 'no heartbeat'});
			return;
		}

		const lease = leases.get(shard);
		const previous = describePrevious(lease);
		const write = core.shardLease.acquireShard(shard, lease, {
			self,
			evidence: getEvidence(lease),
			leaseMs: periods.leaseMs,
		});
		if (!write.ok || write.value.kind !== 'put') {
			return;
		}

		const row = {...write.value.value, address: deps.getAddress()};
		const transaction = createLeaseTransaction(row, lease?.version ?? 0);
		const result = await store.transact(transaction, periods.storeTimeoutMs);
		if (result.ok) {
			const {version} = result.value;
			leases.applyRow({...transaction.puts[0]!, version});
			adopt({value: row, version}, previous, lease?.value);
			return;
		}

		logger.info('shard claim failed', {shard, reason: result.error.kind});
		if (result.error.kind === 'conflict') {
			for (const current of result.error.rows) {
				leases.applyRow(current);
			}
		}
	};

	const claimOnce = async (shard: string) => {
		claiming.add(shard);
		try {
			await claim(shard);
		} finally {
			claiming.delete(shard);
		}
	};

	/** The lease is ours by a claim whose answer was lost. */
	const isOwnUnadopted = (shard: string): boolean => {
		const lease = leases.get(shard);
		const holder = lease?.value.holder;
		return (
			!held.has(shard) &&
			(lease?.version ?? 0) > (lostVersions.get(shard) ?? 0) &&
			holder?.entry === self.entry &&
			holder.incarnation === self.incarnation
		);
	};

	const isFree = (shard: string): boolean => {
		const lease = leases.get(shard);
		const result = core.shardLease.acquireShard(shard, lease, {
			self,
			evidence: getEvidence(lease),
			leaseMs: periods.leaseMs,
		});
		return result.ok;
	};

	const own = {entry: self.entry, capacity: deps.capacity};

	const listLiveOthers = (): readonly core.shardAssignment.LiveEntry[] =>
		toLiveEntries(members, members.listLive(periods.leaseMs), self.entry);

	const listHolders = (
		shards: readonly string[],
	): core.shardAssignment.ShardHolders =>
		new Map(
			shards.flatMap((shard) => {
				const entry = leases.get(shard)?.value.holder?.entry;
				return entry === undefined ? [] : [[shard, entry] as const];
			}),
		);

	const planShards = (shards: readonly string[]) =>
		core.shardAssignment.planShards(
			shards,
			[...listLiveOthers(), own],
			listHolders(shards),
		);

	/** Less capable than some that are known, which may have gone meanwhile. */
	const isLessCapable = (): boolean => {
		const known = toLiveEntries(members, members.listAll(), self.entry);
		return !core.shardAssignment
			.listMostCapable([...known, own])
			.includes(self.entry);
	};

	/** Observers are many and see a free shard at the same time. */
	const getObserverHeadStartMs = (): number => {
		const isAnyLive = listLiveOthers().length > 0;
		const candidateMs = isAnyLive ? shardPeriods.candidateHeadStartMs : 0;
		const capableMs = isLessCapable()
			? shardPeriods.observerCapableHeadStartMs
			: 0;
		return (
			candidateMs + capableMs + claimJitter * shardPeriods.observerSpreadMs
		);
	};

	const getHeadStartMs = (
		shard: string,
		{assigned, capable}: ShardPlan,
	): number => {
		if (held.size === 0 && !deps.isCandidate()) {
			return getObserverHeadStartMs();
		}

		if (assigned.get(shard) === self.entry) {
			return 0;
		}

		return capable.includes(self.entry)
			? periods.claimHeadStartMs
			: shardPeriods.capableHeadStartMs;
	};

	/** Claims under way count too: one look may find all shards free. */
	const getSpreadMs = (): number =>
		Math.min(held.size + claiming.size, maxSpreadShards) *
		periods.claimSpreadMs;

	const considerShard = (shard: string, getPlan: () => ShardPlan) => {
		const lease = leases.get(shard);
		if (lease && isOwnUnadopted(shard)) {
			adopt(lease, 'silent', undefined);
			return;
		}

		if (held.has(shard) || claiming.has(shard) || !isFree(shard)) {
			freeSince.delete(shard);
			return;
		}

		const since = freeSince.get(shard) ?? now();
		freeSince.set(shard, since);
		if (now() - since >= getHeadStartMs(shard, getPlan()) + getSpreadMs()) {
			void claimOnce(shard);
		}
	};

	const releases = createShardReleases({
		...deps,
		async stopHolding(shard) {
			// What the owner does ends before the row says that it is free.
			await deps.beforeRelease(shard);
			const mine = held.get(shard);
			lose(shard, 'given back');
			return mine;
		},
	});

	const considerReturn = (getPlan: () => ShardPlan) => {
		const at = now();
		const isPausing =
			returnedAt !== undefined && at - returnedAt < shardPeriods.returnPauseMs;
		if (held.size === 0 || isPausing || releases.isPending()) {
			return;
		}

		const plan = getPlan();
		const shard = core.shardAssignment.chooseShardToReturn({
			self: self.entry,
			plan,
			heldForMs: new Map(
				[...heldSince].map(([each, since]) => [each, at - since]),
			),
			getLiveForMs: members.getLiveForMs,
			settleMs: shardPeriods.settleMs,
		});
		if (shard !== undefined) {
			returnedAt = at;
			const next = plan.assigned.get(shard);
			logger.info('shard goes to a more capable daemon', {shard, next});
			void releases.release(shard);
		}
	};

	const considerAll = async () => {
		if (isStopping || !deps.mayClaim()) {
			return;
		}

		releases.retry();
		const shards = deps.listShards();
		let plan: ShardPlan | undefined;
		// Most looks find nothing to decide.
		const getPlan = () => {
			plan ??= planShards(shards);
			return plan;
		};

		for (const shard of shards) {
			considerShard(shard, getPlan);
		}

		considerReturn(getPlan);
		for (const shard of held.keys()) {
			if (!shards.includes(shard)) {
				await releases.release(shard);
			}
		}
	};

	const ticker = createTicker(
		considerAll,
		periods.claimIntervalMs,
		deps.random,
	);
	return {
		start: ticker.start,
		async stop() {
			isStopping = true;
			await ticker.stop();
			await Promise.all(
				[...held.keys()].map(async (each) => releases.release(each)),
			);
			await releases.waitForAll();
		},
		release: releases.release,
		listHeld: () => [...held.values()],
		isHolding: () => held.size + claiming.size > 0,
		isHeld: (shard) => held.has(shard),
		applyLease(shard, lease) {
			const mine = held.get(shard);
			if (mine && lease.version > mine.version) {
				lose(shard, 'taken over');
			}
		},
		handleFenced(shard) {
			lose(shard, 'a higher fencing token was seen');
		},
		checkNow() {
			void considerAll();
		},
	};
};
