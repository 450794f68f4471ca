/**
 * Elapsed time that does not stand still while the machine is paused: the
 * larger of what the monotonic clock and the wall clock say has passed. A
 * wall clock that is set ahead makes an entry stop early, which is safe.
 */

/** Creates a clock in milliseconds; it never goes back. */
export const createElapsedClock = (
	monotonicNow: () => number,
	wallNow: () => number,
): (() => number) => {
	const startedAt = monotonicNow();
	const wallStartedAt = wallNow();
	let last = startedAt;
	return () => {
		const elapsedMs = Math.max(
			monotonicNow() - startedAt,
			wallNow() - wallStartedAt,
		);
		last = Math.max(last, startedAt + elapsedMs);
		return last;
	};
};
