/**
 * Releases shards while the daemon keeps running. Until the lease row is
 * written it names a live daemon, and nobody else can claim the shard. So a
 * failed write is retried until it succeeds or the row has changed.
 */
import {shardLease, type earlierHolders} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import type {LeaseRow} from '../rows/tables.js';
import type {KnownLease, LeaseCache} from './lease-cache.js';
import {createLeaseTransaction} from './lease-transaction.js';
import type {HeldShard} from './held-shard.js';

export type ShardReleasesDeps = {
	readonly store: RowStore;
	readonly leases: LeaseCache;
	readonly logger: Pick<Logger, 'info'>;
	/** Stops all work under the shard; resolves to its state as held before. */
	readonly stopHolding: (shard: string) => Promise<HeldShard | undefined>;
	/** Describes the holders up to that of a lease, which ends now. */
	readonly describeEarlier: (
		lease: KnownLease,
	) => earlierHolders.EarlierHolders;
	/** Called when a shard was released. */
	readonly onReleased: (shard: string) => void;
};

export type ShardReleases = {
	/** Releases a shard, or waits for its release that is in progress. */
	readonly release: (shard: string) => Promise<void>;
	/**
	 * Releases a shard on which this daemon has stopped all work, unless the row
	 * shows another holder. The next token exceeds those of all known leases, and
	 * by far its own one if that was refused and no known one is higher.
	 */
	readonly giveBack: (lost: HeldShard, raise: TokenRaise) => Promise<void>;
	/** Retries lease writes that failed. */
	readonly retry: () => void;
	/** Whether a release is in progress or its lease is still to be written. */
	readonly isPending: () => boolean;
	/** Waits for the releases in progress. */
	readonly waitForAll: () => Promise<void>;
};

/** How the token of the next lease is chosen. */
export type TokenRaise = 'known' | 'refused';

const raiseToken = {
	known: shardLease.raiseToken,
	refused: shardLease.raiseRefusedToken,
} as const satisfies Record<TokenRaise, typeof shardLease.raiseToken>;

type Unwritten = {
	readonly held: HeldShard;
	/** Absent if the token stays as it is. */
	readonly raise?: TokenRaise;
};

export const createShardReleases = (deps: ShardReleasesDeps): ShardReleases => {
	const {store, leases, logger} = deps;
	const inProgress = new Map<string, Promise<void>>();
	/** Shards no longer held whose lease row may still name this daemon. */
	const unwritten = new Map<string, Unwritten>();

	const write = async ({
		held: {shard, version},
		raise,
	}: Unwritten): Promise<void> => {
		const lease = leases.get(shard);
		if (lease?.version !== version) {
			unwritten.delete(shard);
			return;
		}

		const {token} = lease.value;
		const row: LeaseRow = {
			...lease.value,
			...deps.describeEarlier(lease),
			holder: null,
			address: '',
			token: raise ? raiseToken[raise](token, leases.listTokens()) : token,
		};
		const result = await store.transact(
			createLeaseTransaction(row, version),
			periods.storeTimeoutMs,
		);
		logger.info('shard released', {
			shard,
			fencingToken: row.token,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		// After a conflict the row has changed; the feed delivers the new one.
		if (result.ok || result.error.kind === 'conflict') {
			unwritten.delete(shard);
		}

		if (result.ok) {
			deps.onReleased(shard);
		}
	};

	const stopHoldingAndWrite = async (shard: string) => {
		const held = await deps.stopHolding(shard);
		if (held) {
			unwritten.set(shard, {held});
		}

		// It may have been lost instead while its work was stopped.
		const release = unwritten.get(shard);
		if (release) {
			await write(release);
		}
	};

	const runOnce = async (shard: string, action: () => Promise<void>) => {
		try {
			await action();
		} finally {
			inProgress.delete(shard);
		}
	};

	/** Runs one action a shard at a time; joins one that is in progress. */
	const join = async (shard: string, action: () => Promise<void>) => {
		const running = inProgress.get(shard) ?? runOnce(shard, action);
		inProgress.set(shard, running);
		return running;
	};

	return {
		release: async (shard) =>
			join(shard, async () => stopHoldingAndWrite(shard)),
		async giveBack(held, raise) {
			const release = {held, raise};
			// Noted at once, as a release in progress does not know of it.
			unwritten.set(held.shard, release);
			await join(held.shard, async () => write(release));
		},
		retry() {
			for (const [shard, release] of unwritten) {
				void join(shard, async () => write(release));
			}
		},
		isPending: () => inProgress.size > 0 || unwritten.size > 0,
		async waitForAll() {
			await Promise.all(inProgress.values());
		},
	};
};
