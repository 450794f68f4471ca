/** Clock, timers and random numbers for production use. */
import {performance} from 'node:perf_hooks';
import * as timers from 'node:timers/promises';
import type {client} from '@gullstand/ports';

/** Monotonic time, timers and random numbers of this process. */
export const createEnvironment = (): client.Environment => ({
	now: () => performance.now(),
	async wait(delayMs) {
		await timers.setTimeout(delayMs);
	},
	random: () => Math.random(),
});
