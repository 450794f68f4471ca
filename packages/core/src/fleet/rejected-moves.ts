/**
 * Moves that the platform rejected as invalid: it had no such machine at that
 * moment, or the pool takes other machines. The answer does not say which, so
 * that a rejected move is tried again after a pause, which doubles with each
 * rejection in a row.
 */

type Rejection = {
	readonly pauseMs: number;
	/** Until when the move is not planned, in milliseconds. */
	readonly until: number;
};

/** Rejections by machine and target pool. */
export type RejectedMoves = ReadonlyMap<string, Rejection>;

/** Pause after the first rejection, in milliseconds. */
const firstPauseMs = 5000;

const maxPauseMs = 60_000;

const toKey = (machine: string, to: string): string => `${machine} ${to}`;

/** Records that the platform rejected the move of a machine to a pool. */
export const recordRejectedMove = (
	rejected: RejectedMoves,
	{machine, to}: {readonly machine: string; readonly to: string},
	now: number,
): RejectedMoves => {
	const kept = [...rejected].filter(([, {until}]) => now < until + maxPauseMs);
	const previous = new Map(kept).get(toKey(machine, to));
	const pauseMs = previous
		? Math.min(maxPauseMs, 2 * previous.pauseMs)
		: firstPauseMs;
	return new Map([
		...kept,
		[toKey(machine, to), {pauseMs, until: now + pauseMs}],
	]);
};

/** Whether a move is not planned now, since the platform rejected it. */
export const isMoveRejected = (
	rejected: RejectedMoves,
	machine: string,
	to: string,
	now: number,
): boolean => now < (rejected.get(toKey(machine, to))?.until ?? 0);
