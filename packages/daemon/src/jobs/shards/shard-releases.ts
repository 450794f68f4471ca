/**
 * Gives shards back while the daemon lives on. A row that could not be
 * written still names a live daemon, so that nobody else could claim the
 * shard: the write is tried again until the row is another one.
 */
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import type {LeaseRow} from '../rows/tables.js';
import type {LeaseCache} from './lease-cache.js';
import {createLeaseTransaction} from './lease-transaction.js';
import type {HeldShard} from './held-shard.js';

/** What releases need. */
export type ShardReleasesDeps = {
	readonly store: RowStore;
	readonly leases: LeaseCache;
	readonly logger: Pick<Logger, 'info'>;
	/** Ends what is done under the shard; answers what was held until then. */
	readonly stopHolding: (shard: string) => Promise<HeldShard | undefined>;
	/** Tells the others that a shard is free. */
	readonly onReleased: (shard: string) => void;
};

/** The releases of a daemon. */
export type ShardReleases = {
	/** Gives a shard back; a call that meets one under way waits for it. */
	readonly release: (shard: string) => Promise<void>;
	/** Tries again what could not be written. */
	readonly retry: () => void;
	/** Whether one is under way or still has to be written. */
	readonly isPending: () => boolean;
	/** Waits for those under way. */
	readonly waitForAll: () => Promise<void>;
};

/** Creates releases, none under way. */
export const createShardReleases = (deps: ShardReleasesDeps): ShardReleases => {
	const {store, leases, logger} = deps;
	const underWay = new Map<string, Promise<void>>();
	/** Shards let go whose row may still name this daemon. */
	const unwritten = new Map<string, HeldShard>();

	const write = async ({shard, version}: HeldShard): Promise<void> => {
		const lease = leases.get(shard);
		if (lease?.version !== version) {
			unwritten.delete(shard);
			return;
		}

		const row: LeaseRow = {...lease.value, holder: null, address: ''};
		const result = await store.transact(
			createLeaseTransaction(row, version),
			periods.storeTimeoutMs,
		);
		logger.info('shard released', {
			shard,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		// After a conflict the row is another one; the feed brings it.
		if (result.ok || result.error.kind === 'conflict') {
			unwritten.delete(shard);
		}

		if (result.ok) {
			deps.onReleased(shard);
		}
	};

	const letGoAndWrite = async (shard: string) => {
		const mine = await deps.stopHolding(shard);
		if (mine) {
			unwritten.set(shard, mine);
			await write(mine);
		}
	};

	const runOnce = async (shard: string, action: () => Promise<void>) => {
		try {
			await action();
		} finally {
			underWay.delete(shard);
		}
	};

	/** A stop may meet a release under way. */
	const join = async (shard: string, action: () => Promise<void>) => {
		const running = underWay.get(shard) ?? runOnce(shard, action);
		underWay.set(shard, running);
		return running;
	};

	return {
		release: async (shard) => join(shard, async () => letGoAndWrite(shard)),
		retry() {
			for (const [shard, mine] of unwritten) {
				void join(shard, async () => write(mine));
			}
		},
		isPending: () => underWay.size > 0 || unwritten.size > 0,
		async waitForAll() {
			await Promise.all(underWay.values());
		},
	};
};
