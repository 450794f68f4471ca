/**
 * Pool of connections that is replaced once they may be dead. A machine that is
 * lost, or a firewall that forgets a flow, closes no connection: each one in the
 * pool would cost a later call its time-out, long after the path is back.
 */
import {performance} from 'node:perf_hooks';
import type * as undici from 'undici';

/** One call over the pool that was current when it was made. */
export type PoolUse = {
	readonly pool: undici.Pool;
	/** Notes that an answer began to arrive. */
	readonly noteAnswer: () => void;
	/**
	 * Notes that the call was sent and had no answer in time. Unless another one
	 * was answered meanwhile, later calls go over new connections.
	 */
	readonly noteSilence: () => void;
};

export type RenewablePool = {
	readonly use: () => PoolUse;
	/** Aborts the calls under way and closes all connections. */
	readonly destroy: () => Promise<void>;
};

/** Creates a pool; `open` opens one without any connection. */
export const createRenewablePool = (open: () => undici.Pool): RenewablePool => {
	let current = {pool: open(), answeredAt: Number.NEGATIVE_INFINITY};
	/** Replaced pools whose calls have not ended. */
	const retired = new Set<undici.Pool>();
	let isDestroyed = false;

	const retire = async (pool: undici.Pool) => {
		retired.add(pool);
		try {
			// Resolves once the calls under way have ended, each within its time-out.
			await pool.close();
		} catch {
			// The pool was destroyed meanwhile.
		}

		retired.delete(pool);
	};

	return {
		use() {
			const used = current;
			const sentAt = performance.now();
			return {
				pool: used.pool,
				noteAnswer() {
					used.answeredAt = performance.now();
				},
				noteSilence() {
					// A call that was aborted by `destroy` ends like a silent one.
					if (!isDestroyed && used === current && used.answeredAt < sentAt) {
						current = {pool: open(), answeredAt: Number.NEGATIVE_INFINITY};
						void retire(used.pool);
					}
				},
			};
		},
		async destroy() {
			isDestroyed = true;
			await Promise.all(
				[current.pool, ...retired].map(async (pool) => pool.destroy()),
			);
		},
	};
};
