/**
 * Claims free shards, and releases them at shutdown or when a more capable
 * daemon has capacity for them. A lease row is written only when the holder
 * changes; one heartbeat of the daemon keeps all its leases valid.
 */
import * as core from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {createTicker} from '../../view/ticker.js';
import type {Clock} from '../clock.js';
import {periods} from '../periods.js';
import {getLatestStoreMs, type StoreClockReading} from '../rows/store-clock.js';
import {describeStoreError} from '../rows/store-error.js';
import type {LeaseRow} from '../rows/tables.js';
import type {HeldShard} from './held-shard.js';
import type {KnownLease, LeaseCache} from './lease-cache.js';
import {createLeaseTransaction} from './lease-transaction.js';
import {toLiveEntries, type Members} from './members.js';
import {maxSpreadShards, shardPeriods} from './shard-periods.js';
import {createShardFailures} from './shard-failures.js';
import {createShardReleases, type TokenRaise} from './shard-releases.js';

type PreviousHolderState = core.earlierHolders.PreviousHolderState;

type ShardPlan = core.shardAssignment.ShardPlan;

export type ShardLeaseManagerDeps = {
	readonly store: RowStore;
	readonly self: core.acknowledgement.EntryIncarnation;
	/** Capacity of this machine; absent if not known. */
	readonly capacity: core.shardAssignment.EntryCapacity | undefined;
	readonly getAddress: () => string;
	readonly members: Members;
	readonly leases: LeaseCache;
	/** Whether this daemon reads heartbeats and so may detect failed holders. */
	readonly mayClaim: () => boolean;
	/**
	 * Stores a recent heartbeat of this daemon; resolves to whether it is stored.
	 */
	readonly ensureHeartbeat: () => Promise<boolean>;
	/** The latest reading of the store's clock; absent before the first one. */
	readonly getStoreTime: () => StoreClockReading | undefined;
	/** For how long a holder that was replaced may go on, in milliseconds. */
	readonly ownershipTimeoutMs: number;
	/** Whether this daemon is a candidate to take over shards. */
	readonly isCandidate: () => boolean;
	/** Lists all shards that need a holder by the configuration. */
	readonly listShards: () => readonly string[];
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly onAcquired: (held: HeldShard) => void;
	/** Stores pending state; no commands are sent under the shard afterwards. */
	readonly beforeRelease: (shard: string) => Promise<void>;
	/**
	 * Called when another daemon holds the shard, or this one has released it.
	 */
	readonly onLost: (shard: string) => void;
	/** Called when a shard was released, to notify the other daemons. */
	readonly onReleased: (shard: string) => void;
};

/** Claims and releases shards of this daemon. */
export type ShardLeaseManager = {
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	readonly stop: () => Promise<void>;
	/** Releases a shard, so that the next holder can claim it at once. */
	readonly release: (shard: string) => Promise<void>;
	readonly listHeld: () => readonly HeldShard[];
	readonly isHeld: (shard: string) => boolean;
	/** Whether this daemon holds a shard or is claiming one. */
	readonly isHolding: () => boolean;
	/** Applies a changed lease; loses the shard if the lease is newer. */
	readonly applyLease: (shard: string, lease: KnownLease) => void;
	/**
	 * Loses a shard after a command was refused for a higher fencing token. The
	 * token need not be of this shard: if the lease row still names this daemon,
	 * the shard is released, as nobody else may claim it.
	 */
	readonly handleFenced: (shard: string) => void;
	/**
	 * Releases a shard that this daemon failed to run, and leaves it to the others
	 * for a while, which grows with each failure.
	 */
	readonly giveUp: (shard: string, reason: string) => void;
	/** Checks now for shards to claim. */
	readonly checkNow: () => void;
	/** For how long the shards without a live holder have had none. */
	readonly listFreeMs: () => ReadonlyMap<string, number>;
};

export const createShardLeaseManager = (
	deps: ShardLeaseManagerDeps,
): ShardLeaseManager => {
	const {store, self, members, leases, clock, logger} = deps;
	const {now} = clock;
	const held = new Map<string, HeldShard>();
	const freeSince = new Map<string, number>();
	/** Shards that were logged as free and still are. */
	const loggedFree = new Set<string>();
	const claiming = new Set<string>();
	const heldSince = new Map<string, number>();
	let returnedAt: number | undefined;
	/** Random position of this daemon among observers, from 0 to 1. */
	const claimJitter = deps.random();
	/** Versions of lost leases, which must not be adopted again. */
	const lostVersions = new Map<string, number>();
	let isStopping = false;

	const failures = createShardFailures(now);

	const lose = (shard: string, reason: string) => {
		const lost = held.get(shard);
		if (lost) {
			held.delete(shard);
			heldSince.delete(shard);
			lostVersions.set(shard, lost.version);
			logger.info('shard lost', {shard, reason});
			deps.onLost(shard);
		}
	};

	const getEvidence = (lease: KnownLease | undefined) => {
		const holder = lease?.value.holder;
		// Heartbeats read before the claim may be of an earlier incarnation.
		if (!holder || !members.isReadUpTo(lease?.version ?? 0)) {
			return {registeredIncarnation: holder?.incarnation, unresponsiveMs: 0};
		}

		return {
			// A holder without a heartbeat counts as alive until it is unresponsive.
			registeredIncarnation:
				members.getIncarnation(holder.entry) ?? holder.incarnation,
			unresponsiveMs: members.getUnresponsiveMs(holder.entry),
		};
	};

	const getPreviousState = (
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

	/** Returns until when holders before that of a lease may grant leases. */
	const getEarlierGrantsUntil = (
		{value, seenAt}: KnownLease,
		storeTime: StoreClockReading,
	): number | undefined =>
		core.earlierHolders.getEarlierGrantsUntil(value, {
			writtenByMs: getLatestStoreMs(clock, storeTime, seenAt),
			passedMs: storeTime.nowMs,
			graceMs: deps.ownershipTimeoutMs * (1 + core.scheduler.maxClockDrift),
		});

	/**
	 * Describes the holders up to that of a lease which ends now. Without a
	 * reading of the store's clock, its row goes on to say that the previous one
	 * may have been silent.
	 */
	const describeEarlier = (
		lease: KnownLease,
	): core.earlierHolders.EarlierHolders => {
		const storeTime = deps.getStoreTime();
		return storeTime
			? {
					previous: 'released',
					earlierGrantsUntilMs: getEarlierGrantsUntil(lease, storeTime),
				}
			: lease.value;
	};

	const adopt = (
		{value, version}: Pick<KnownLease, 'value' | 'version'>,
		previousHolder: LeaseRow | undefined,
	) => {
		const {
			shard,
			token,
			previousToken,
			previous = 'silent',
			earlierGrantsUntilMs,
		} = value;
		if (held.has(shard)) {
			return;
		}

		const acquired: HeldShard = {
			shard,
			token,
			previousToken,
			version,
			previous,
			previousHolder,
			earlierGrantsUntilMs,
		};
		held.set(shard, acquired);
		heldSince.set(shard, now());
		freeSince.delete(shard);
		logger.info('shard acquired', {
			shard,
			fencingToken: token,
			previous,
			earlierGrantsUntilMs,
		});
		deps.onAcquired(acquired);
	};

	const claim = async (shard: string): Promise<void> => {
		// A holder's heartbeat shows its liveness, so it must be stored first.
		const isAlive = await deps.ensureHeartbeat();
		const storeTime = deps.getStoreTime();
		if (!isAlive || !storeTime) {
			logger.info('shard claim failed', {shard, reason: 'no heartbeat'});
			return;
		}

		const lease = leases.get(shard);
		const previous = getPreviousState(lease);
		const write = core.shardLease.acquireShard(shard, lease, {
			self,
			evidence: getEvidence(lease),
			leaseMs: periods.leaseMs,
		});
		if (!write.ok || write.value.kind !== 'put') {
			return;
		}

		const row: LeaseRow = {
			...write.value.value,
			address: deps.getAddress(),
			previousToken: lease?.value.token,
			previous,
			earlierGrantsUntilMs: lease && getEarlierGrantsUntil(lease, storeTime),
		};
		const transaction = createLeaseTransaction(row, lease?.version ?? 0);
		const result = await store.transact(transaction, periods.storeTimeoutMs);
		if (result.ok) {
			const {version} = result.value;
			leases.applyRow({...transaction.puts[0]!, version});
			adopt({value: row, version}, lease?.value);
			return;
		}

		logger.info('shard claim failed', {
			shard,
			...describeStoreError(result.error),
		});
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

	/**
	 * Whether the lease names this daemon after a claim whose answer was lost.
	 */
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

	const selfEntry = {entry: self.entry, capacity: deps.capacity};

	const listLivePeers = (): readonly core.shardAssignment.LiveEntry[] =>
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
			[...listLivePeers(), selfEntry],
			listHolders(shards),
		);

	/** Whether a known daemon, which may have terminated, is more capable. */
	const isLessCapable = (): boolean => {
		const known = toLiveEntries(members, members.listAll(), self.entry);
		return !core.shardAssignment
			.listMostCapable([...known, selfEntry])
			.includes(self.entry);
	};

	/** Spreads the claims of observers, which all find a free shard at once. */
	const getObserverHeadStartMs = (): number => {
		const isAnyLive = listLivePeers().length > 0;
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

	/** Counts claims in progress too, as one check may find all shards free. */
	const getSpreadMs = (): number =>
		Math.min(held.size + claiming.size, maxSpreadShards) *
		periods.claimSpreadMs;

	/** Once for each time that a shard is free. */
	const logIfLongFree = (shard: string, freeMs: number) => {
		if (freeMs < shardPeriods.longFreeMs || loggedFree.has(shard)) {
			return;
		}

		loggedFree.add(shard);
		const lease = leases.get(shard);
		logger.warn('shard without a holder', {
			shard,
			freeMs: Math.round(freeMs),
			previous: getPreviousState(lease),
			holder: lease?.value.holder?.entry,
			isCandidate: deps.isCandidate(),
			isClaiming: claiming.has(shard),
		});
	};

	const considerShard = (shard: string, getPlan: () => ShardPlan) => {
		const lease = leases.get(shard);
		if (lease && isOwnUnadopted(shard)) {
			adopt(lease, undefined);
			return;
		}

		if (
			held.has(shard) ||
			claiming.has(shard) ||
			failures.isPausing(shard, listLivePeers().length > 0) ||
			!isFree(shard)
		) {
			freeSince.delete(shard);
			loggedFree.delete(shard);
			return;
		}

		const since = freeSince.get(shard) ?? now();
		freeSince.set(shard, since);
		logIfLongFree(shard, now() - since);
		if (now() - since >= getHeadStartMs(shard, getPlan()) + getSpreadMs()) {
			void claimOnce(shard);
		}
	};

	const releases = createShardReleases({
		...deps,
		describeEarlier,
		async stopHolding(shard) {
			// The work of the owner ends before the row says that the shard is free.
			await deps.beforeRelease(shard);
			const released = held.get(shard);
			lose(shard, 'returned');
			return released;
		},
	});

	const loseAndRelease = (shard: string, reason: string, raise: TokenRaise) => {
		const lost = held.get(shard);
		lose(shard, reason);
		if (lost) {
			void releases.giveBack(lost, raise);
		}
	};

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
			logger.info('returning shard for a more capable daemon', {shard, next});
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
		// Computed on demand, as most checks need no plan.
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
			const current = held.get(shard);
			if (current && lease.version > current.version) {
				lose(shard, 'taken over');
			}
		},
		handleFenced(shard) {
			loseAndRelease(shard, 'a higher fencing token was seen', 'refused');
		},
		giveUp(shard, reason) {
			failures.add(shard);
			loseAndRelease(shard, reason, 'known');
		},
		checkNow() {
			void considerAll();
		},
		listFreeMs: () =>
			new Map([...freeSince].map(([shard, since]) => [shard, now() - since])),
	};
};
