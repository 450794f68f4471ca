/**
 * Determines the outcome of a transaction whose reply was lost by reading back
 * a row that it wrote. Distinguishes a transaction that can no longer commit
 * from one that may still be in progress.
 * Source: docs/design/platform-port.md.
 */
import {match} from 'ts-pattern';

/**
 * How the witness row identifies a transaction. A `write-once` row is created
 * by the transaction and neither changed nor deleted while anyone may read it
 * back. A `shared` row has a version that the transaction expects.
 */
export type Witness =
	| {readonly kind: 'write-once'}
	| {readonly kind: 'shared'; readonly expectedVersion: number};

/** The witness row as read; `undefined` if there is none. */
export type WitnessRow =
	{readonly version: number; readonly operationId: string} | undefined;

/** Outcome of a transaction according to its witness row. */
export type ReadBackVerdict =
	| {readonly kind: 'committed'; readonly version: number}
	/** Another transaction committed instead: this one never will. */
	| {readonly kind: 'superseded'}
	/**
	 * Not committed yet: it may be in progress, and the same writes may be sent
	 * again.
	 */
	| {readonly kind: 'pending'}
	/**
	 * The row has a newer version, which no longer shows whether this
	 * transaction committed.
	 */
	| {readonly kind: 'overwritten'};

/** Evaluates one read of the witness row. */
export const judgeWitness = (
	witness: Witness,
	row: WitnessRow,
	operationId: string,
): ReadBackVerdict => {
	if (row?.operationId === operationId) {
		return {kind: 'committed', version: row.version};
	}

	return match(witness)
		.with({kind: 'write-once'}, () =>
			row ? {kind: 'superseded' as const} : {kind: 'pending' as const},
		)
		.with({kind: 'shared'}, ({expectedVersion}) =>
			row?.version === expectedVersion
				? {kind: 'pending' as const}
				: {kind: 'overwritten' as const},
		)
		.exhaustive();
};

/** Settings of reading back a commit; times in milliseconds. */
export type ReadBackConfig = {
	readonly firstDelayMs: number;
	readonly maxDelayMs: number;
};

/** Default settings. */
export const defaultReadBackConfig: ReadBackConfig = {
	firstDelayMs: 50,
	maxDelayMs: 2000,
};

/**
 * Delay before the next attempt, with jitter on its upper half, in
 * milliseconds.
 * @param attempt - Attempts so far, from 1.
 * @param random - A number in [0, 1).
 */
export const getRetryDelayMs = (
	cfg: ReadBackConfig,
	attempt: number,
	random: number,
): number => {
	const uncappedMs = cfg.firstDelayMs * 2 ** Math.min(attempt - 1, 30);
	return Math.min(cfg.maxDelayMs, uncappedMs) * (0.5 + random / 2);
};
