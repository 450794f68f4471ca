/** Bounds the store's steady clock by a reading of it. */
import {scheduler} from '@gullstand/core';
import {getMaxElapsedMs, type Clock, type Moment} from '../clock.js';

/** Reading of the store's clock, and when it was requested. */
export type StoreClockReading = {readonly nowMs: number; readonly sent: Moment};

/**
 * Returns an upper bound of the store's clock at the local time `at`, in
 * milliseconds. It allows for a reading as old as its request, and for a local
 * clock that runs slower and stops while the daemon is suspended.
 */
export const getLatestStoreMs = (
	clock: Clock,
	{nowMs, sent}: StoreClockReading,
	at: number,
): number => {
	const elapsedMs = getMaxElapsedMs(clock, sent);
	return nowMs + elapsedMs * (1 + scheduler.maxClockDrift) - (clock.now() - at);
};
