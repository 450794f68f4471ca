/**
 * Detects rises of a pool's demand from its recent arrivals. A rise is a climb
 * of the submitted work that lasts for seconds, as when a queue has its turn; a
 * single large job is none. Source: docs/design/demand-forecast.md.
 */
import {arrivalWindowMs} from '../../scheduler/load/arrivals.js';

/** A rise that has ended. */
export type Rise = {
	readonly pool: string;
	/** When the climb began, wall clock in milliseconds. */
	readonly startEpochMs: number;
	readonly lengthMs: number;
	/** Largest `arrivingCpu` during the rise, in thousandths of a core. */
	readonly heightCpu: number;
};

/** Start of a rise, also of one that has not ended. */
export type RiseStart = Pick<Rise, 'pool' | 'startEpochMs'>;

/** Time of a round by both clocks, in milliseconds. */
export type RoundTime = {
	/** Monotonic clock. */
	readonly now: number;
	/** Wall clock; may jump. */
	readonly epochNow: number;
};

type Sample = {readonly epochMs: number; readonly cpu: number};

/** A rise that has not ended. */
export type OpenRise = {
	readonly startEpochMs: number;
	readonly peakCpu: number;
};

/** What is known of a pool's demand. Cpu in thousandths of a core. */
export type PoolWatch = {
	/** Slow mean of the demand outside of rises. */
	readonly meanCpu: number;
	readonly observed: RoundTime;
	/** Since when the pool has been observed without a gap, wall clock. */
	readonly sinceEpochMs: number;
	/** Observations within the lookback time, oldest first. */
	readonly samples: readonly Sample[];
	readonly rise: OpenRise | undefined;
};

/** One observation of a pool. Cpu in thousandths of a core. */
export type PoolObservation = {
	readonly arrivingCpu: number;
	/** Capacity that the pool has in any case. */
	readonly baseCpu: number;
	/** Mean capacity of a machine. */
	readonly machineCpu: number;
	/** Height of the rise that is expected about now. */
	readonly expectedHeightCpu: number | undefined;
};

/** Outcome of an observation. */
export type PoolStep = {
	readonly watch: PoolWatch;
	/** Start of a rise that was detected now, wall clock in milliseconds. */
	readonly startEpochMs?: number;
	/** The rise that ended now. */
	readonly ended?: OpenRise & {readonly lengthMs: number};
};

/** Gap in the observations from which nothing is known of the time between. */
export const maxGapMs = 3000;

/** Time constant of the slow mean, in milliseconds: several turns of 4.5 s. */
const meanWindowMs = 60_000;

/** Part of the slow mean that demand exceeds in a rise. */
const riseFactor = 3;

/** Rises of less than four machines are served by the base and spare machine. */
const minRiseMachines = 4;

/** A rise ends below this part of its peak. */
const endShare = 1 / 3;

/**
 * Lowest threshold for an expected rise, as a factor of the slow mean: above
 * the noise of the demand between rises.
 */
const minExpectedFactor = 1.5;

/**
 * How far back the start of a climb is searched, in milliseconds. Demand
 * crosses the threshold some 0.7 to 2 s after its start.
 */
const lookbackMs = 4000;

/**
 * Climbed part of the way to the threshold up to which a sample is the low: a
 * single job in the low is no start, which with 0.1 was taken for one.
 */
const lowShare = 0.4;

/**
 * Largest part of the work of a climb that may arrive in one observation: more
 * is a single large job. An expected climb is not checked, since with slow
 * rounds all of it may arrive in two.
 */
const maxBurstShare = 0.5;

/** Tells whether the observations have a gap, by the clock that shows more. */
export const hasGap = (before: RoundTime, time: RoundTime): boolean => {
	const epochMs = time.epochNow - before.epochNow;
	return epochMs < 0 || epochMs > maxGapMs || time.now - before.now > maxGapMs;
};

/**
 * The level that a rise exceeds. Its floor lets rises count that exceed the
 * base: three times the whole base is more than the turns of small queues.
 */
const getReference = (meanCpu: number, {baseCpu}: PoolObservation): number =>
	Math.max(meanCpu, baseCpu / riseFactor);

/**
 * Demand above which a rise begins. An expected one is recognized as soon as it
 * has a third of its height, since whether it has come must be known in time.
 */
const getThreshold = (
	reference: number,
	{machineCpu, expectedHeightCpu}: PoolObservation,
): number => {
	const usual = reference * riseFactor;
	const expected =
		expectedHeightCpu === undefined
			? usual
			: Math.max(reference * minExpectedFactor, expectedHeightCpu * endShare);
	return Math.max(machineCpu * minRiseMachines, Math.min(usual, expected));
};

/** Whether the work of a climb arrived in several observations. */
const isSpread = (samples: readonly Sample[]): boolean => {
	const arrived = samples.slice(1).map(({epochMs, cpu}, index) => {
		const before = samples[index]!;
		const elapsedMs = epochMs - before.epochMs;
		return Math.max(
			0,
			cpu - before.cpu * Math.exp(-elapsedMs / arrivalWindowMs),
		);
	});
	const total = arrived.reduce((sum, each) => sum + each, 0);
	return total > 0 && Math.max(...arrived) <= total * maxBurstShare;
};

/**
 * Finds the start of a climb above the threshold: the last sample near the low
 * before it. A climb that is slower than the lookback time starts at the
 * threshold, provided that the slow mean has settled. A pool whose first
 * observation is high has no known start.
 */
const findStart = (
	{samples, sinceEpochMs}: PoolWatch,
	{expectedHeightCpu}: PoolObservation,
	reference: number,
	threshold: number,
): number | undefined => {
	const low = Math.min(...samples.map(({cpu}) => cpu));
	const last = samples.at(-1)!;
	if (low <= reference) {
		const limit = low + (threshold - low) * lowShare;
		const climb = samples.slice(samples.findLastIndex(({cpu}) => cpu <= limit));
		const isRise = expectedHeightCpu !== undefined || isSpread(climb);
		return isRise ? climb[0]?.epochMs : undefined;
	}

	const isSettled = last.epochMs - sinceEpochMs >= meanWindowMs;
	const isClimbing = last.cpu > samples[0]!.cpu;
	return isSettled && isClimbing && isSpread(samples)
		? last.epochMs
		: undefined;
};

/** Updates the slow mean; a rise counts once it is as old as its window. */
const updateMean = (
	{meanCpu, observed, rise}: PoolWatch,
	cpu: number,
	{now, epochNow}: RoundTime,
): number => {
	if (rise && epochNow - rise.startEpochMs < meanWindowMs) {
		return meanCpu;
	}

	const elapsedMs = Math.max(0, now - observed.now);
	return meanCpu + (cpu - meanCpu) * -Math.expm1(-elapsedMs / meanWindowMs);
};

const beginWatch = (
	before: PoolWatch | undefined,
	{arrivingCpu, baseCpu}: PoolObservation,
	time: RoundTime,
): PoolWatch => ({
	meanCpu: before?.meanCpu ?? Math.min(arrivingCpu, baseCpu),
	observed: time,
	sinceEpochMs: time.epochNow,
	samples: [{epochMs: time.epochNow, cpu: arrivingCpu}],
	rise: undefined,
});

const continueRise = (
	watch: PoolWatch,
	rise: OpenRise,
	cpu: number,
): PoolStep => {
	const peakCpu = Math.max(rise.peakCpu, cpu);
	if (cpu >= peakCpu * endShare) {
		return {watch: {...watch, rise: {...rise, peakCpu}}};
	}

	const lengthMs = watch.observed.epochNow - rise.startEpochMs;
	return {
		watch: {...watch, samples: watch.samples.slice(-1), rise: undefined},
		ended: {...rise, lengthMs},
	};
};

/** Applies an observation of a pool; `before` is absent for the first one. */
export const observePool = (
	before: PoolWatch | undefined,
	observation: PoolObservation,
	time: RoundTime,
): PoolStep => {
	if (!before || hasGap(before.observed, time)) {
		return {watch: beginWatch(before, observation, time)};
	}

	const cpu = observation.arrivingCpu;
	const watch: PoolWatch = {
		...before,
		meanCpu: updateMean(before, cpu, time),
		observed: time,
		samples: [
			...before.samples.filter(
				({epochMs}) => time.epochNow - epochMs <= lookbackMs,
			),
			{epochMs: time.epochNow, cpu},
		],
	};
	if (watch.rise) {
		return continueRise(watch, watch.rise, cpu);
	}

	const reference = getReference(watch.meanCpu, observation);
	const threshold = getThreshold(reference, observation);
	const startEpochMs =
		cpu > threshold
			? findStart(watch, observation, reference, threshold)
			: undefined;
	return startEpochMs === undefined
		? {watch}
		: {
				watch: {...watch, rise: {startEpochMs, peakCpu: cpu}},
				startEpochMs,
			};
};
