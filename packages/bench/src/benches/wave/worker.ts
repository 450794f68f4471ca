/** A worker of the wave benches, with its jobs and outages. */
import type {Instance} from '@gullstand/core';
import type {Job} from './jobs.js';

export type Worker = {
	instance: Instance;
	readonly services: readonly string[];
	readonly jobs: Map<string, Job>;
	used: number;
	/** Number of current outages; it is up at 0. */
	outages: number;
	/** Down for its own maintenance. */
	isRebooting: boolean;
	/** Incremented at each boot. */
	incarnation: number;
	listedIncarnation: number;
	isListed: boolean;
	incarnationAtTake: number;
	drainedAt: number;
	probesPassFrom: number;
};

export const isUp = ({outages, isRebooting}: Worker) =>
	outages === 0 && !isRebooting;

/** Creates a worker that is up and idle. */
export const createWorker = (instance: Instance): Worker => ({
	instance,
	services: [instance.pool.replace('pool', 'service')],
	jobs: new Map(),
	used: 0,
	outages: 0,
	isRebooting: false,
	incarnation: 1,
	listedIncarnation: 1,
	isListed: true,
	incarnationAtTake: 0,
	drainedAt: 0,
	probesPassFrom: 0,
});
