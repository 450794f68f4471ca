/**
 * Bounds the monotonic clock of an executor. Leases expire by that clock, which
 * may run slower than the local one by `maxClockDrift`.
 */

/** A reading of the remote clock and its time of arrival by the local clock. */
export type RemoteClock = {
	readonly reportedMs: number;
	readonly receivedAt: number;
};

/** Maximum rate error of an executor's clock, as the platform states it. */
export const maxClockDrift = 0.02;

/** Returns a lower bound of the remote time now. */
export const getEarliestRemoteTime = (
	{reportedMs, receivedAt}: RemoteClock,
	now: number,
): number => reportedMs + (now - receivedAt) * (1 - maxClockDrift);

/** Whether the remote clock has certainly passed a time. */
export const isCertainlyPast = (
	clock: RemoteClock,
	remoteMs: number,
	now: number,
): boolean => getEarliestRemoteTime(clock, now) > remoteMs;

/** Returns the later of two readings, since answers may arrive out of order. */
export const pickLatestReading = (
	previous: RemoteClock | undefined,
	next: RemoteClock,
): RemoteClock =>
	previous && previous.reportedMs > next.reportedMs ? previous : next;
