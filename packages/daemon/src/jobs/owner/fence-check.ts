/**
 * Finds out why an executor refuses commands for a higher fencing token. A later
 * owner of the service shows in the lease row. If the row is unchanged, another
 * shard's owner has reached the executor under the same id. If no known token is
 * higher, this owner keeps the service, unless no executor takes its own one.
 */
import {shardLease, type scheduler} from '@gullstand/core';
import type {RowStore, StoredRow} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import {delay} from '../clock.js';
import type {JobMetrics} from '../job-metrics.js';
import {periods} from '../periods.js';
import {describeStoreError} from '../rows/store-error.js';
import {getKeyAfter, getLeaseKey} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

export type FenceCheckDeps = {
	readonly store: Pick<RowStore, 'read'>;
	readonly held: HeldShard;
	/** Lists the fencing tokens of all known shards. */
	readonly listTokens: () => readonly number[];
	/** Whether an executor that is listed has taken this owner's token. */
	readonly isTokenAccepted: () => boolean;
	/**
	 * Called for an executor whose refusals no known token explains; returns
	 * whether a higher one is tried there.
	 */
	readonly raiseToken: (executorId: string) => boolean;
	readonly isStopped: () => boolean;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
	/** Called if the service must be given up; `rows` may name the new owner. */
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
};

/** The checks of one ownership. */
export type FenceCheck = {
	/** Checks the ownership after an executor refused a command. */
	readonly check: (
		executor: Pick<scheduler.Executor, 'id' | 'isListed'>,
	) => Promise<void>;
	/**
	 * Whether the ownership is in doubt, so that nothing may be granted. An
	 * executor whose refusals no other owner has caused puts it in doubt once.
	 */
	readonly isChecking: () => boolean;
};

export const createFenceCheck = (deps: FenceCheckDeps): FenceCheck => {
	const {store, held, logger} = deps;
	const leaseKey = getLeaseKey(held.shard);
	let running: Promise<readonly StoredRow[] | undefined> | undefined;
	let doubts = 0;
	/** Executors of which a check has found no other owner. */
	const cleared = new Set<string>();

	/** Retries while the store fails, since only it tells who the owner is. */
	const readLease = async (): Promise<readonly StoredRow[] | undefined> => {
		while (!deps.isStopped()) {
			const page = await store.read(
				{...leaseKey, from: leaseKey.key, to: getKeyAfter(leaseKey.key)},
				periods.storeTimeoutMs,
			);
			if (page.ok) {
				return page.value.rows;
			}

			logger.warn('owner not confirmed', describeStoreError(page.error));
			await delay(periods.flushRetryMs);
		}

		return undefined;
	};

	const readLeaseOnce = async () => {
		running ??= readLease();
		try {
			return await running;
		} finally {
			running = undefined;
		}
	};

	return {
		async check({id, isListed}) {
			const isDoubt = !cleared.has(id);
			doubts += isDoubt ? 1 : 0;
			const rows = await readLeaseOnce();
			doubts -= isDoubt ? 1 : 0;
			if (!rows || deps.isStopped()) {
				return;
			}

			const cause = shardLease.findFenceCause(
				held,
				rows[0]?.version,
				// Only executors of this service are worth a change of owner.
				isListed ? deps.listTokens() : [],
			);
			deps.metrics.count('executor_fences', cause);
			logger.warn('executor refuses the fencing token', {
				executor: id,
				fencingToken: held.token,
				cause,
			});
			match(cause)
				.with('replaced', () => {
					deps.onOwnershipLost('the lease row has changed', rows);
				})
				.with('other-shard', () => {
					deps.onOwnershipLost(
						'an executor has seen the token of another shard',
						[],
					);
				})
				.with('unknown', () => {
					if (deps.raiseToken(id)) {
						return;
					}

					// Other shards' tokens may be known later than they are sent.
					const isLasting = cleared.has(id) && isListed;
					cleared.add(id);
					const mayRaise = shardLease.mayRaiseRefused(held.token);
					if (isLasting && mayRaise && !deps.isTokenAccepted()) {
						deps.onOwnershipLost('no executor accepts the fencing token', []);
					}
				})
				.exhaustive();
		},
		isChecking: () => doubts > 0,
	};
};
