/**
 * What became of a transaction whose reply was lost, told from a row that it
 * wrote. A transaction that no longer can commit is told apart from one that
 * may still be under way.
 * Source: docs/design/platform-port.md.
 */
import {match} from 'ts-pattern';

/**
 * The row by which a transaction is known.
 * `write-once` rows are created by it and never changed or deleted while
 * anyone may ask; a `shared` row has a version that the transaction expects.
 */
export type Witness =
	| {readonly kind: 'write-once'}
	| {readonly kind: 'shared'; readonly expectedVersion: number};

/** The witness row as it was read; undefined if there is none. */
export type WitnessRow =
	{readonly version: number; readonly operationId: string} | undefined;

/** What a read of the witness says. */
export type ReadBackVerdict =
	| {readonly kind: 'committed'; readonly version: number}
	/** Another transaction took its place: it never commits. */
	| {readonly kind: 'superseded'}
	/** Not yet: it may be under way; the same writes may be sent again. */
	| {readonly kind: 'pending'}
	/** The row has moved on, and its maker is no longer told. */
	| {readonly kind: 'overwritten'};

/** Judges one read of the witness. */
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

/** Settings of a commit that is read back; times in milliseconds. */
export type ReadBackConfig = {
	readonly firstDelayMs: number;
	readonly maxDelayMs: number;
};

/** Settings in force when none are given. */
export const defaultReadBackConfig: ReadBackConfig = {
	firstDelayMs: 50,
	maxDelayMs: 2000,
};

/**
 * Time before the next attempt, with full jitter on its upper half.
 * @param attempt - Attempts so far, from 1.
 * @param random - A number in [0, 1).
 */
export const getRetryDelayMs = (
	cfg: ReadBackConfig,
	attempt: number,
	random: number,
): number => {
	const grownMs = cfg.firstDelayMs * 2 ** Math.min(attempt - 1, 30);
	return Math.min(cfg.maxDelayMs, grownMs) * (0.5 + random / 2);
};
