/**
 * Incarnations of executors. An executor may start again under its id: it then
 * has no runs, knows no fencing token, and its clock and the numbers of its run
 * ends start anew. What is known of an executor holds for one incarnation only.
 */

/** Whether two start times are of one incarnation, as far as they are known. */
export const isSameIncarnation = (
	one: number | undefined,
	two: number | undefined,
): boolean => one === undefined || two === undefined || one === two;

/** Whether one start time is known to be of a later incarnation than another. */
export const isLaterIncarnation = (
	one: number | undefined,
	other: number | undefined,
): boolean => one !== undefined && other !== undefined && one > other;

/** What the answer to a poll says of the incarnation that gave it. */
export type IncarnationReading = {
	/** Absent if the platform does not report it. */
	readonly startedAtEpochMs?: number | undefined;
	readonly clockMs: number;
};

/**
 * Whether another incarnation has answered than the one polled before. A clock
 * that went back shows it too, where no start is reported.
 */
export const isRestart = (
	previous: IncarnationReading | undefined,
	next: IncarnationReading,
): boolean =>
	previous !== undefined &&
	(!isSameIncarnation(previous.startedAtEpochMs, next.startedAtEpochMs) ||
		next.clockMs < previous.clockMs);
