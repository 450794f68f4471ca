/** One worker of the wave benches: what it runs and whether it is up. */
import type {Instance} from '@gullstand/core';
import type {Job} from './jobs.js';

/** One worker. */
export type Worker = {
	instance: Instance;
	readonly services: readonly string[];
	readonly jobs: Map<string, Job>;
	used: number;
	/** Outages that hold it down; it is up at none. */
	outages: number;
	/** Down for its own maintenance. */
	isRebooting: boolean;
	/** Grows with each boot. */
	incarnation: number;
	listedIncarnation: number;
	isListed: boolean;
	incarnationAtTake: number;
	drainedAt: number;
	probesPassFrom: number;
};

/** True if the worker runs. */
export const isUp = ({outages, isRebooting}: Worker) =>
	outages === 0 && !isRebooting;

/** A worker that is up and idle. */
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
