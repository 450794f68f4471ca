/** What an owner knows of the speed of executors. None of it is stored. */

/**
 * Identity of a step: the same object for all its runs, so that runs of one
 * step on several executors can be compared.
 */
export type StepKey = object;

/** Identity of a run. */
export type RunKey = object;

/** Progress of a run since the start of the current measuring window. */
export type RunTrack = {
	readonly step: StepKey;
	/** The executor's clock at the start of the window, in milliseconds. */
	windowClockMs: number;
	/** Progress at the start of the window, 0 to 100. */
	windowPercent: number;
	/**
	 * Natural logarithm of the run's speed in its last complete window, 0 for
	 * the expected speed; absent before the first.
	 */
	logSpeed: number | undefined;
	/** The same in the first window. */
	firstLogSpeed: number | undefined;
	/** When the first window ended. */
	firstMeasuredAt: number;
	/** Speeds of runs of the step that have ended on the executor meanwhile. */
	endedSiblings: readonly number[];
	/** When the last window ended, by the local clock. */
	measuredAt: number;
};

/** Change of the speed of a run. */
export type SpeedChange = {
	/** When the speed was first measured. */
	readonly since: number;
	/** Difference of the logarithms. */
	readonly by: number;
};

/** Speed of a run that ended `done`. */
export type EndedRun = {
	readonly step: StepKey;
	readonly logSpeed: number;
	readonly endedAt: number;
};

/** What is known of the speed of one executor. */
export type ExecutorSpeed = {
	/** Tracks of its runs. */
	readonly tracks: Map<RunKey, RunTrack>;
	/** The runs that ended last, latest last. */
	ended: readonly EndedRun[];
	/** The executor's clock in the latest poll. */
	clockMs: number;
	/**
	 * Natural logarithm of its speed, 0 for that of the median executor. Without
	 * evidence it returns to 0.
	 */
	logSpeed: number;
	/** When `logSpeed` was last updated. */
	updatedAt: number;
	/** The same by the latest runs alone, however few; 0 without any. */
	latestLogSpeed: number;
	/** When the latest of these runs was measured. */
	measuredAt: number;
	/** Since when the evidence has been enough to count it as slow. */
	evidentSince: number | undefined;
	/** Since when it has counted as slow; absent for a sound executor. */
	slowSince: number | undefined;
	/** It is slow by old evidence: one task may test it. */
	isTestDue: boolean;
};

/** Creates the state of an executor without evidence. */
export const createExecutorSpeed = (): ExecutorSpeed => ({
	tracks: new Map(),
	ended: [],
	clockMs: 0,
	logSpeed: 0,
	updatedAt: 0,
	latestLogSpeed: 0,
	measuredAt: 0,
	evidentSince: undefined,
	slowSince: undefined,
	isTestDue: false,
});

/** Whether an executor counts as slow. */
export const isSlow = ({slowSince}: ExecutorSpeed): boolean =>
	slowSince !== undefined;

/**
 * Speed of an executor that counts as slow, as a share of the speed of the
 * median executor; 1 for all others.
 */
export const getSpeedFactor = (speed: ExecutorSpeed): number =>
	isSlow(speed) ? Math.min(1, Math.exp(speed.logSpeed)) : 1;
