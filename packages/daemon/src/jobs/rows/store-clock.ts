/** Bounds the store's steady clock by a reading of it. */
import {scheduler} from '@gullstand/core';
import {getMaxElapsedMs, type Clock, type Moment} from '../clock.js';

/** Reading of the store's clock, and when it was requested. */
export type StoreClockReading = {readonly nowMs: number; readonly sent: Moment};

/** Returns the reading that was requested last. */
export const pickLatestStoreReading = (
	one: StoreClockReading,
	other: StoreClockReading | undefined,
): StoreClockReading => (other && other.sent.at > one.sent.at ? other : one);

/**
 * Returns an upper bound of the store's clock at the local time `at`, in
 * milliseconds. It allows for a reading as old as its request, and for a local
 * clock that runs slower and stops while the daemon is suspended. A future time
 * may be given, which the store's clock may then reach faster.
 */
export const getLatestStoreMs = (
	clock: Clock,
	{nowMs, sent}: StoreClockReading,
	at: number,
): number => {
	const elapsedMs = getMaxElapsedMs(clock, sent);
	const agoMs = clock.now() - at;
	const drift = 1 + scheduler.maxClockDrift;
	return nowMs + elapsedMs * drift - (agoMs < 0 ? agoMs * drift : agoMs);
};

/**
 * Returns an upper bound of the local time that passes until the store's clock
 * shows `untilMs`, in milliseconds, given a reading that has arrived.
 */
export const getMaxRemainingMs = (
	{nowMs}: StoreClockReading,
	untilMs: number,
): number => (untilMs - nowMs) * (1 + scheduler.maxClockDrift);

/**
 * Returns a lower bound of the local time that has passed since the store's clock
 * showed `sinceMs`, in milliseconds, given a reading that has arrived.
 */
export const getMinElapsedMs = (
	{nowMs}: StoreClockReading,
	sinceMs: number,
): number => Math.max(0, nowMs - sinceMs) * (1 - scheduler.maxClockDrift);
