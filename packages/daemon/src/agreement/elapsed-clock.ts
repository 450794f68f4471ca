/**
 * Elapsed time that includes pauses of the machine: the larger of the times
 * elapsed on the monotonic and the wall clock. A wall clock that is set ahead
 * makes an entry stop early, which is safe.
 */

/** Creates a clock in milliseconds that never goes back. */
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
