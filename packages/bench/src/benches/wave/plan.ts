/** Plans and outcomes of the waves of the benches. */
import type {waves} from '@gullstand/core';
import type {Verdict} from './log-checker.js';

/** How a bench runs a wave. */
export type Plan = {
	readonly settings: waves.WaveSettings;
	/** Targets of moves: only finished workers, or any, as in the baselines. */
	readonly targets: 'done' | 'any';
	readonly startAt: number;
	readonly forMs: number;
	/** Time between steps, in milliseconds. */
	readonly tickMs: number;
	/** Hours of each day in which the wave may begin a rack; all if absent. */
	readonly windowHours?: readonly [from: number, to: number];
};

/** Outcome of a run. */
export type Outcome = Verdict & {
	hours: number;
	/** Hours until nine tenths of the instances are done. */
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
