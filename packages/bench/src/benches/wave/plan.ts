/** How a wave is run in a bench, and what the run gave. */
import type {waves} from '@gullstand/core';
import type {Verdict} from './log-checker.js';

/** How the wave is run. */
export type Plan = {
	readonly settings: waves.WaveSettings;
	/** Baselines move jobs to any worker, also to one whose turn will come. */
	readonly targets: 'done' | 'any';
	readonly startAt: number;
	readonly forMs: number;
	/** Time between steps, in milliseconds. */
	readonly tickMs: number;
	/** Hours of each day in which the wave may begin a rack; all if absent. */
	readonly windowHours?: readonly [from: number, to: number];
};

/** What a run gave. */
export type Outcome = Verdict & {
	hours: number;
	/** Time until nine tenths of the instances are done. */
	hoursToMost: number;
	done: number;
	skipped: number;
	bufferCoreHours: number;
	emptyingCoreHours: number;
	repeatedCoreHours: number;
	queuedJobHours: number;
	unknownJobs: number;
	/** Processor time of each step, in the order of the steps. */
	stepMs: readonly number[];
	/** Time to build the index of the wave. */
	indexMs: number;
	days: number;
};
