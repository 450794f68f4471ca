/**
 * A clock that jumps from one timer to the next, so that simulations with timers
 * run without delay and are deterministic.
 */
import {setImmediate} from 'node:timers/promises';

type Timer = {
	readonly at: number;
	readonly callback: () => void;
};

/** A clock with its own timers. Times are in milliseconds, starting at 0. */
export type VirtualClock = {
	readonly getNow: () => number;
	/** Calls `callback` once at the given time; returns a cancel function. */
	readonly callAt: (at: number, callback: () => void) => () => void;
	readonly wait: (delayMs: number) => Promise<void>;
	/** Runs timers in order until a time, at which the clock then stops. */
	readonly runUntil: (until: number) => Promise<void>;
	/** Runs until no timer is left or `maxTimers` have run. */
	readonly runAll: (maxTimers: number) => Promise<void>;
};

/** Returns the index of the first timer after `at`; timers are sorted. */
const findIndex = (timers: readonly Timer[], at: number): number => {
	let low = 0;
	let high = timers.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const isLater = (timers[middle]?.at ?? 0) > at;
		[low, high] = isLater ? [low, middle] : [middle + 1, high];
	}

	return low;
};

/** Creates a clock at 0. Timers of the same time run in creation order. */
export const createVirtualClock = (): VirtualClock => {
	const timers: Timer[] = [];
	let now = 0;

	const callAt = (at: number, callback: () => void) => {
		const timer: Timer = {at: Math.max(at, now), callback};
		timers.splice(findIndex(timers, timer.at), 0, timer);
		return () => {
			const index = timers.indexOf(timer);
			if (index !== -1) {
				timers.splice(index, 1);
			}
		};
	};

	/** Lets promises settle, then runs the next timer if due by `until`. */
	const runNext = async (until: number): Promise<boolean> => {
		await setImmediate();
		const [timer] = timers;
		if (timer === undefined || timer.at > until) {
			return false;
		}

		timers.shift();
		now = timer.at;
		timer.callback();
		return true;
	};

	const runUntil = async (until: number) => {
		while (await runNext(until));
		now = Math.max(now, until);
	};

	const runAll = async (maxTimers: number) => {
		let count = 0;
		while (count < maxTimers && (await runNext(Number.POSITIVE_INFINITY))) {
			count++;
		}
	};

	const wait = async (delayMs: number) =>
		new Promise<void>((resolve) => {
			callAt(now + delayMs, resolve);
		});

	return {getNow: () => now, callAt, wait, runUntil, runAll};
};
