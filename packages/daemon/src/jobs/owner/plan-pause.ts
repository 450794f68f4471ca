/**
 * Limits how often an owner plans, so that it has time to process the answers
 * of executors when it has a backlog.
 */

/**
 * Shortest pause between two plans, in milliseconds, to batch answers: 60 of
 * them come together.
 */
const minPauseMs = 10;

/** Pause after a plan, as a multiple of its duration. */
const pauseFactor = 4;

/** Longest pause, in milliseconds, which bounds the delay of a slow plan. */
const maxPauseMs = 200;

/** Returns the pause after a plan that took `tookMs`, in milliseconds. */
export const getPlanPauseMs = (tookMs: number): number =>
	Math.min(maxPauseMs, Math.max(minPauseMs, pauseFactor * tookMs));
