/**
 * The steady clock of an executor, seen from here. Leases end by that clock;
 * it may run slower than ours by `maxSlowdown`.
 */

/** A reading of the clock and when it arrived, by the own steady clock. */
export type RemoteClock = {
	readonly reportedMs: number;
	readonly receivedAt: number;
};

/** Rate error of an executor's clock; origin: the platform's statement. */
export const maxClockDrift = 0.02;

/** What the clock shows now; ahead of the truth by its slowness at most. */
export const estimateRemoteTime = (clock: RemoteClock, now: number): number =>
	clock.reportedMs + (now - clock.receivedAt);

/** Whether the clock has certainly passed a time. */
export const isCertainlyPast = (
	clock: RemoteClock,
	remoteMs: number,
	now: number,
): boolean => {
	const elapsed = (now - clock.receivedAt) * (1 - maxClockDrift);
	return clock.reportedMs + elapsed > remoteMs;
};

/** The later of two readings; answers may overtake one another. */
export const pickLatestReading = (
	known: RemoteClock | undefined,
	read: RemoteClock,
): RemoteClock => (known && known.reportedMs > read.reportedMs ? known : read);
