/**
 * What a lease row says of the holders before its own. A holder that was silent
 * when it was replaced may go on until its last confirmation expires, whatever
 * becomes of the next ones; so each row passes on until when that may be. Source:
 * docs/design/platform-programs.md.
 */

/**
 * State of the holder before, when the shard was acquired. Only a `silent` one
 * may still grant leases to what it controls.
 */
export type PreviousHolderState = 'none' | 'released' | 'replaced' | 'silent';

/** Part of a lease row. */
export type EarlierHolders = {
	/** Absent in rows of older releases. */
	readonly previous?: PreviousHolderState | undefined;
	/**
	 * Until when the holders before the previous one may grant leases, in
	 * milliseconds of the store's clock; absent if none may.
	 */
	readonly earlierGrantsUntilMs?: number | undefined;
};

/** Times of a row and its reader, in milliseconds of the store's clock. */
export type RowTimes = {
	/** A time by which the row was certainly written. */
	readonly writtenByMs: number;
	/** A time that has passed. */
	readonly passedMs: number;
	/** For how long a holder may grant leases after it was replaced. */
	readonly graceMs: number;
};

/**
 * Returns until when any holder before that of a row may grant leases, in
 * milliseconds of the store's clock; undefined if none may.
 */
export const getEarlierGrantsUntil = (
	{previous = 'silent', earlierGrantsUntilMs = 0}: EarlierHolders,
	{writtenByMs, passedMs, graceMs}: RowTimes,
): number | undefined => {
	const previousUntilMs = previous === 'silent' ? writtenByMs + graceMs : 0;
	const untilMs = Math.max(earlierGrantsUntilMs, previousUntilMs);
	return untilMs > passedMs ? untilMs : undefined;
};
