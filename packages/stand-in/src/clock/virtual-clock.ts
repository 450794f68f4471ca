/**
 * A clock whose time passes only from one timer to the next, so that runs
 * with timers end at once and repeat exactly.
 */
import {setImmediate} from 'node:timers/promises';

type Timer = {
	readonly at: number;
	readonly callback: () => void;
};

/** A clock with its own timers. Times are in milliseconds from 0. */
export type VirtualClock = {
	readonly getNow: () => number;
	/** Calls back once at a time; returns how to cancel it. */
	readonly callAt: (at: number, callback: () => void) => () => void;
	readonly wait: (delayMs: number) => Promise<void>;
	/** Runs timers in order up to a time, then stands there. */
	readonly runUntil: (until: number) => Promise<void>;
	/** Runs until no timer is left or a bound on their number is reached. */
	readonly runAll: (maxTimers: number) => Promise<void>;
};

/** First index of a timer later than a time; timers are in order. */
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

/** Makes a clock at time 0. Timers of one time run in order of creation. */
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

	/** Lets promises settle, then runs the next timer up to a time. */
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
