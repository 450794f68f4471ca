/**
 * Measures the speed of runs from the progress that polls list. The speed of a
 * run is taken over short windows instead of its whole life, so that it shows
 * within a fraction of a second that an executor became slow under it.
 */
import {getMedian} from './weighted-median.js';
import type {
	EndedRun,
	ExecutorSpeed,
	RunKey,
	RunTrack,
	SpeedChange,
	StepKey,
} from './speed-state.js';

/** Shortest measuring window, in milliseconds. */
const minWindowMs = 250;

/**
 * A window covers this share of the expected run time, since progress is
 * reported in whole percent.
 */
const windowShare = 0.1;

/** Longest measuring window, in milliseconds. */
const maxWindowMs = 2000;

/** A run slower than this share of its siblings is long by its nature. */
const longShare = 0.5;

/** Bounds of a measured speed: a run without progress has no logarithm. */
const speedBounds = {least: 0.02, most: 50} as const;

/** Number of ended runs that are kept for an executor. */
const maxEnded = 8;

/** A reading of a run in a poll. */
export type RunReading = {
	readonly key: RunKey;
	readonly step: StepKey;
	readonly expectedMs: number;
	/** Progress, 0 to 100. */
	readonly percent: number;
	/** The executor's clock in the poll. */
	readonly clockMs: number;
	/**
	 * The executor's clock when the run was first confirmed, if the run began
	 * without a checkpoint; else its first window begins with this reading.
	 */
	readonly startedClockMs: number | undefined;
};

const toLogSpeed = (
	percent: number,
	tookMs: number,
	expectedMs: number,
): number => {
	const speed = (percent / 100) * (expectedMs / Math.max(1, tookMs));
	return Math.log(
		Math.min(speedBounds.most, Math.max(speedBounds.least, speed)),
	);
};

const getWindowMs = (expectedMs: number): number =>
	Math.max(minWindowMs, Math.min(maxWindowMs, windowShare * expectedMs));

const createTrack = (
	{step, percent, clockMs, startedClockMs}: RunReading,
	now: number,
): RunTrack => ({
	step,
	windowClockMs: startedClockMs ?? clockMs,
	windowPercent: startedClockMs === undefined ? percent : 0,
	logSpeed: undefined,
	firstLogSpeed: undefined,
	firstMeasuredAt: now,
	endedSiblings: [],
	measuredAt: now,
});

/**
 * Begins the readings of one poll. Forgets everything if the executor's clock
 * went back, since another incarnation answers.
 */
export const beginReadings = (speed: ExecutorSpeed, clockMs: number): void => {
	if (clockMs < speed.clockMs) {
		speed.tracks.clear();
		speed.ended = [];
	}

	speed.clockMs = clockMs;
};

/** Records the progress of a run that a poll lists as running. */
export const recordRunning = (
	speed: ExecutorSpeed,
	reading: RunReading,
	now: number,
): void => {
	const {key, expectedMs, percent, clockMs} = reading;
	const track = speed.tracks.get(key) ?? createTrack(reading, now);
	speed.tracks.set(key, track);
	// A run at 100 percent only waits for its end.
	const tookMs = clockMs - track.windowClockMs;
	if (percent >= 100 || tookMs < getWindowMs(expectedMs)) {
		return;
	}

	const progress = percent - track.windowPercent;
	if (progress >= 0) {
		track.logSpeed = toLogSpeed(progress, tookMs, expectedMs);
		if (track.firstLogSpeed === undefined) {
			track.firstLogSpeed = track.logSpeed;
			track.firstMeasuredAt = now;
		}

		track.measuredAt = now;
	}

	track.windowClockMs = clockMs;
	track.windowPercent = percent;
};

/**
 * Returns the speed of a run that was just listed as done. It ended some time
 * since the last poll, so its last whole window says more than the rest. A run
 * without one is measured as a whole, if it is not too short for that.
 */
const measureEnd = (
	{logSpeed, windowClockMs, windowPercent}: RunTrack,
	{clockMs, expectedMs}: RunReading,
): number | undefined => {
	const tookMs = clockMs - windowClockMs;
	return logSpeed === undefined && tookMs >= minWindowMs
		? toLogSpeed(100 - windowPercent, tookMs, expectedMs)
		: logSpeed;
};

/** Records that a run ended `done`. */
export const recordDoneRun = (
	speed: ExecutorSpeed,
	reading: RunReading,
	now: number,
): void => {
	const {key, step, startedClockMs} = reading;
	const known = speed.tracks.get(key);
	speed.tracks.delete(key);
	const isFromStart = known !== undefined || startedClockMs !== undefined;
	const track = known ?? createTrack(reading, now);
	const logSpeed = isFromStart ? measureEnd(track, reading) : undefined;
	if (logSpeed === undefined) {
		return;
	}

	const ended: EndedRun = {step, logSpeed, endedAt: now};
	speed.ended = [...speed.ended, ended].slice(-maxEnded);
	for (const each of speed.tracks.values()) {
		if (each.step === step) {
			each.endedSiblings = [...each.endedSiblings, logSpeed].slice(-maxEnded);
		}
	}
};

/**
 * Returns the last measured speed of a run as evidence on its executor. If the
 * run has been slower from its start than other runs of its step that ended
 * there, it is long by its nature, and only a later change of its speed counts:
 * such runs outlast their siblings, and there may be more of them than others.
 */
export const getEvidence = ({
	logSpeed,
	firstLogSpeed,
	endedSiblings,
}: RunTrack): number | undefined => {
	const siblings = getMedian(endedSiblings);
	if (
		logSpeed === undefined ||
		firstLogSpeed === undefined ||
		siblings === undefined
	) {
		return logSpeed;
	}

	const difference = firstLogSpeed - siblings;
	return difference < Math.log(longShare) ? logSpeed - difference : logSpeed;
};

/** Returns the change of the speed of a run since its first window. */
export const getChange = ({
	logSpeed,
	firstLogSpeed,
	firstMeasuredAt,
}: RunTrack): SpeedChange | undefined =>
	logSpeed === undefined || firstLogSpeed === undefined
		? undefined
		: {since: firstMeasuredAt, by: logSpeed - firstLogSpeed};
