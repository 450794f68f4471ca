/**
 * Estimates the monotonic clock of an executor. Leases expire by that clock,
 * which may run slower than the local one by `maxClockDrift`.
 */

/** A reading of the remote clock and its time of arrival by the local clock. */
export type RemoteClock = {
	readonly reportedMs: number;
	readonly receivedAt: number;
};

/** Maximum rate error of an executor's clock, as the platform states it. */
export const maxClockDrift = 0.02;

/** Estimates the remote time now; ahead of it by at most the clock drift. */
export const estimateRemoteTime = (clock: RemoteClock, now: number): number =>
	clock.reportedMs + (now - clock.receivedAt);

/** Whether the remote clock has certainly passed a time. */
export const isCertainlyPast = (
	clock: RemoteClock,
	remoteMs: number,
	now: number,
): boolean => {
	const elapsed = (now - clock.receivedAt) * (1 - maxClockDrift);
	return clock.reportedMs + elapsed > remoteMs;
};

/** Returns the later of two readings, since answers may arrive out of order. */
export const pickLatestReading = (
	previous: RemoteClock | undefined,
	next: RemoteClock,
): RemoteClock =>
	previous && previous.reportedMs > next.reportedMs ? previous : next;
