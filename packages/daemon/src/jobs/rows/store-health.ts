/** Watches whether the store answers the calls of this daemon. */
import type {Result} from '@gullstand/core';
import type {RowStore, RowStoreError} from '@gullstand/ports';

export type WatchedStore = {
	readonly store: RowStore;
	/**
	 * Whether a call got no answer and no later call got one. A request that is
	 * refused instead of sent then has certainly no effect, so that its caller
	 * may retry it.
	 */
	readonly isUnresponsive: () => boolean;
	/**
	 * Monotonic time at which the latest commit without an answer was given up;
	 * it may take effect later.
	 */
	readonly getUnansweredCommitAt: () => number;
};

/** Wraps a store to watch its calls. */
export const watchStore = (
	inner: RowStore,
	now: () => number,
): WatchedStore => {
	let answeredAt = now();
	let unansweredAt = Number.NEGATIVE_INFINITY;
	let unansweredCommitAt = Number.NEGATIVE_INFINITY;

	const watch = async <Value>(
		call: Promise<Result<Value, RowStoreError>>,
	): Promise<Result<Value, RowStoreError>> => {
		const sentAt = now();
		const result = await call;
		const isUnanswered = !result.ok && result.error.kind === 'timeout';
		const isRefused = !result.ok && result.error.kind === 'unavailable';
		if (isUnanswered) {
			unansweredAt = Math.max(unansweredAt, sentAt);
		} else if (!isRefused) {
			answeredAt = Math.max(answeredAt, sentAt);
		}

		return result;
	};

	const watchCommit: RowStore['transact'] = async (...args) => {
		const result = await watch(inner.transact(...args));
		if (!result.ok && result.error.kind === 'timeout') {
			unansweredCommitAt = now();
		}

		return result;
	};

	return {
		getUnansweredCommitAt: () => unansweredCommitAt,
		isUnresponsive: () => unansweredAt > answeredAt,
		store: {
			limits: inner.limits,
			transact: watchCommit,
			read: async (...args) => watch(inner.read(...args)),
			listParts: async (...args) => watch(inner.listParts(...args)),
			readChanges: async (...args) => watch(inner.readChanges(...args)),
		},
	};
};
