/** The store's steady clock, seen from a daemon. */
import {scheduler} from '@gullstand/core';
import {getMaxElapsedMs, type Clock, type Moment} from '../clock.js';

/** A reading of the store's clock and when it was asked for. */
export type StoreClockReading = {readonly nowMs: number; readonly sent: Moment};

/**
 * The latest that the store's clock may have shown at a time of the own one,
 * in milliseconds: the reading may be as old as its question, the own clock
 * may run slower, and stands still while the daemon is suspended.
 */
export const getLatestStoreMs = (
	clock: Clock,
	{nowMs, sent}: StoreClockReading,
	at: number,
): number => {
	const elapsedMs = getMaxElapsedMs(clock, sent);
	return nowMs + elapsedMs * (1 + scheduler.maxClockDrift) - (clock.now() - at);
};
