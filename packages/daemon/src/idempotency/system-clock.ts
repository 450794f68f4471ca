/** The process's own clocks and randomness. */
import {randomUUID} from 'node:crypto';
import type {Clock, Randomness} from './ports.js';

/** Longest timer that Node takes, in milliseconds. */
const maxTimerMs = 2_147_483_647;

/** Clock and timers of this process, over its monotonic time. */
export const createSystemClock = (now: () => number): Clock => ({
	getTime: () => ({now: now(), date: Date.now()}),
	callAt(at, callback) {
		const delayMs = Math.max(0, Math.ceil(at - now()));
		const timer = setTimeout(callback, Math.min(delayMs, maxTimerMs));
		return () => {
			clearTimeout(timer);
		};
	},
});

/** Randomness of this process. */
export const systemRandomness: Randomness = {
	createId: () => randomUUID(),
	draw: () => Math.random(),
};
