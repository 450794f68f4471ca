/** Production clock and randomness. */
import {randomUUID} from 'node:crypto';
import type {Clock, Randomness} from './ports.js';

/** Maximum timer delay in Node, in milliseconds. */
const maxTimerMs = 2_147_483_647;

/** Creates a clock over the monotonic time of this process. */
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

/** Random numbers and ids of this process. */
export const systemRandomness: Randomness = {
	createId: () => randomUUID(),
	draw: () => Math.random(),
};
