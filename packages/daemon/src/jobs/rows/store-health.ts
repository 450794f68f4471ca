/** Whether the store answers this daemon, by all calls to it. */
import type {Result} from '@gullstand/core';
import type {RowStore, RowStoreError} from '@gullstand/ports';

/** A store whose calls are watched. */
export type WatchedStore = {
	readonly store: RowStore;
	/**
	 * A call has had no answer and none has had one since. What is not sent
	 * then is certainly not done, so that a caller can be told to come back.
	 */
	readonly isUnresponsive: () => boolean;
};

/** Watches a store. */
export const watchStore = (
	inner: RowStore,
	now: () => number,
): WatchedStore => {
	let answeredAt = now();
	let lostAt = Number.NEGATIVE_INFINITY;

	const watch = async <Value>(
		call: Promise<Result<Value, RowStoreError>>,
	): Promise<Result<Value, RowStoreError>> => {
		const sentAt = now();
		const result = await call;
		const isLost = !result.ok && result.error.kind === 'timeout';
		const isRefused = !result.ok && result.error.kind === 'unavailable';
		if (isLost) {
			lostAt = Math.max(lostAt, sentAt);
		} else if (!isRefused) {
			answeredAt = Math.max(answeredAt, sentAt);
		}

		return result;
	};

	return {
		isUnresponsive: () => lostAt > answeredAt,
		store: {
			transact: async (...args) => watch(inner.transact(...args)),
			read: async (...args) => watch(inner.read(...args)),
			listParts: async (...args) => watch(inner.listParts(...args)),
			readChanges: async (...args) => watch(inner.readChanges(...args)),
		},
	};
};
