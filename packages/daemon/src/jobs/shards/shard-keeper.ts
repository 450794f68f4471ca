/**
 * Claims shards that are free and gives them back at a stop. A lease row
 * changes only when a shard changes hands; the daemon's one heartbeat stands
 * for all its shards.
 */
import * as core from '@gullstand/core';
import type {RowStore, RowTransaction} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {createTicker} from '../../view/ticker.js';
import {periods} from '../periods.js';
import {getLeaseKey, type LeaseRow} from '../rows/tables.js';
import type {KnownLease, LeaseBook} from './lease-book.js';
import type {Members} from './members.js';

/** How the last holder of a shard went, for what may still run. */
export type PreviousHolder = 'none' | 'released' | 'replaced' | 'silent';

/** A shard that this daemon has acquired. */
export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Version of the lease row; every write of the holder checks it. */
	readonly version: number;
	readonly previous: PreviousHolder;
	/** The holder before, where it was reached; absent if there was none. */
	readonly previousHolder: LeaseRow | undefined;
};

/** What the keeper needs. */
export type ShardKeeperDeps = {
	readonly store: RowStore;
	readonly self: core.acknowledgement.EntryLife;
	readonly getAddress: () => string;
	readonly members: Members;
	readonly book: LeaseBook;
	/** Whether this daemon's own heartbeat is in the store and young. */
	readonly mayClaim: () => boolean;
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
	/** Takes in that the lease of a shard has changed. */
	readonly noteLease: (shard: string, lease: KnownLease) => void;
	/** A holder's order was refused for a higher token. */
	readonly noteDeposed: (shard: string) => void;
	/** Looks for shards to claim now. */
	readonly hasten: () => void;
};

const toTransaction = (row: LeaseRow, version: number): RowTransaction => {
	const key = getLeaseKey(row.shard);
	return {
		checks: [{...key, version}],
		puts: [{...key, value: JSON.stringify(row)}],
		removes: [],
	};
};

/** Creates a keeper that holds nothing. */
export const createShardKeeper = (deps: ShardKeeperDeps): ShardKeeper => {
	const {store, self, members, book, now, logger} = deps;
	const held = new Map<string, HeldShard>();
	const freeSince = new Map<string, number>();
	const claiming = new Set<string>();
	/** Versions of leases that this daemon has lost and must not adopt again. */
	const lostVersions = new Map<string, number>();
	let isStopping = false;

	const lose = (shard: string, reason: string) => {
		const mine = held.get(shard);
		if (mine) {
			held.delete(shard);
			lostVersions.set(shard, mine.version);
			logger.info('shard lost', {shard, reason});
			deps.onLost(shard);
		}
	};

	const getEvidence = (lease: KnownLease | undefined) => {
		const holder = lease?.value.holder;
		const member = holder ? members.get(holder.entry) : undefined;
		return {
			// A holder whose heartbeat was not read counts as alive.
			registeredIncarnation:
				holder && members.isRead(holder.entry)
					? member?.incarnation
					: holder?.incarnation,
			silentMs: holder ? members.getSilentMs(holder.entry) : 0,
		};
	};

	const describePrevious = (lease: KnownLease | undefined): PreviousHolder => {
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
		previous: PreviousHolder,
		previousHolder: LeaseRow | undefined,
	) => {
		const {shard, token} = lease.value;
		if (held.has(shard)) {
			return;
		}

		const {version} = lease;
		const acquired = {shard, token, version, previous, previousHolder};
		held.set(shard, acquired);
		freeSince.delete(shard);
		logger.info('shard acquired', {shard, fencingToken: token, previous});
		deps.onAcquired(acquired);
	};

	const claim = async (shard: string): Promise<void> => {
		const lease = book.get(shard);
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
		const transaction = toTransaction(row, lease?.version ?? 0);
		const result = await store.transact(transaction, periods.storeTimeoutMs);
		if (result.ok) {
			const {version} = result.value;
			book.note({...transaction.puts[0]!, version});
			adopt({value: row, version}, previous, lease?.value);
			return;
		}

		logger.info('shard claim failed', {shard, reason: result.error.kind});
		if (result.error.kind === 'conflict') {
			for (const current of result.error.rows) {
				book.note(current);
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
		const lease = book.get(shard);
		const holder = lease?.value.holder;
		return (
			!held.has(shard) &&
			(lease?.version ?? 0) > (lostVersions.get(shard) ?? 0) &&
			holder?.entry === self.entry &&
			holder.incarnation === self.incarnation
		);
	};

	const isFree = (shard: string): boolean => {
		const lease = book.get(shard);
		const result = core.shardLease.acquireShard(shard, lease, {
			self,
			evidence: getEvidence(lease),
			leaseMs: periods.leaseMs,
		});
		return result.ok;
	};

	const getClaimDelayMs = (shard: string, shards: readonly string[]) => {
		const live = new Set([...members.listLive(periods.leaseMs), self.entry]);
		const assigned = core.shardAssignment.assignShards(shards, [...live]);
		const spread = held.size * periods.claimSpreadMs;
		return assigned.get(shard) === self.entry
			? spread
			: periods.claimHeadStartMs + spread;
	};

	const considerShard = (shard: string, shards: readonly string[]) => {
		const lease = book.get(shard);
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
		if (now() - since >= getClaimDelayMs(shard, shards)) {
			void claimOnce(shard);
		}
	};

	const considerAll = async () => {
		if (isStopping || !deps.mayClaim()) {
			return;
		}

		const shards = deps.listShards();
		for (const shard of shards) {
			considerShard(shard, shards);
		}

		for (const shard of held.keys()) {
			if (!shards.includes(shard)) {
				await release(shard);
			}
		}
	};

	const release = async (shard: string) => {
		// What the owner does ends before the row says that it is free.
		await deps.beforeRelease(shard);
		const mine = held.get(shard);
		const lease = book.get(shard);
		lose(shard, 'given back');
		if (!mine || lease?.version !== mine.version) {
			return;
		}

		const row: LeaseRow = {...lease.value, holder: null, address: ''};
		const result = await store.transact(
			toTransaction(row, mine.version),
			periods.storeTimeoutMs,
		);
		logger.info('shard released', {
			shard,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		if (result.ok) {
			deps.onReleased(shard);
		}
	};

	const ticker = createTicker(considerAll, periods.claimMs, deps.random);
	return {
		start: ticker.start,
		async stop() {
			isStopping = true;
			await ticker.stop();
			await Promise.all([...held.keys()].map(async (each) => release(each)));
		},
		release,
		listHeld: () => [...held.values()],
		isHeld: (shard) => held.has(shard),
		noteLease(shard, lease) {
			const mine = held.get(shard);
			if (mine && lease.version > mine.version) {
				lose(shard, 'taken over');
			}
		},
		noteDeposed(shard) {
			lose(shard, 'a higher fencing token was seen');
		},
		hasten() {
			void considerAll();
		},
	};
};
