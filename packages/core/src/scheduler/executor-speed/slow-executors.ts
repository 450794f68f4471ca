/**
 * Decides which executors of a service count as slow: those that evidence has
 * shown to be slow for a second, at most a quarter of the usable ones.
 */
import {
	compareSpeeds,
	slowLogSpeed,
	type RelativeSpeed,
	type RelativeSpeeds,
	type SpeedSample,
} from './relative-speed.js';
import {getChange, getEvidence} from './run-speed.js';
import {isSlow, type ExecutorSpeed} from './speed-state.js';

/** Time between two decisions, in milliseconds. */
export const decisionIntervalMs = 250;

/**
 * How long the evidence must last, in milliseconds: if all executors become
 * slow at once, the first polls show it on some of them only.
 */
const evidentMs = 1000;

/** Half-life of the evidence of a running run, in milliseconds. */
const runningHalfLifeMs = 2000;

/**
 * Half-life of the evidence of an ended run, in milliseconds. With 2 s, the runs
 * that ended before an executor became slow outweighed the slow ones for 3 s.
 */
const endedHalfLifeMs = 1000;

/** Of more running runs on an executor, some are taken evenly. */
const maxRunning = 32;

/** Evidence of less weight is dropped. */
const minWeight = 0.1;

/** Without evidence, the speed returns to 1 with this time constant. */
const returnMs = 5000;

/** A slow executor is sound again above this share of the median speed. */
const soundLogSpeed = Math.log(0.55);

/**
 * Evidence of fewer standard deviations does not keep an executor slow: one job
 * with a wrong declaration would do so for as long as it runs.
 */
const keptDeviations = 2;

/** An idle executor is tested after this time without evidence. */
const testAfterMs = 1000;

/** Maximum share of the usable executors that count as slow. */
const maxSlowShare = 0.25;

/** An executor that became slow, or that recovered. */
export type ExecutorChange =
	| {
			readonly kind: 'executor-slow';
			readonly executorId: string;
			/** Share of the speed of the median executor. */
			readonly speed: number;
	  }
	| {
			readonly kind: 'executor-recovered';
			readonly executorId: string;
			readonly slowMs: number;
	  };

const halve = (ageMs: number, halfLifeMs: number): number =>
	2 ** (-Math.max(0, ageMs) / halfLifeMs);

/** Lists the speeds of the runs of an executor that still count. */
export const listSamples = (
	{tracks, ended}: ExecutorSpeed,
	now: number,
): readonly SpeedSample[] => {
	const samples: SpeedSample[] = [];
	const add = (sample: SpeedSample) => {
		if (sample.weight >= minWeight) {
			samples.push(sample);
		}
	};

	const stride = Math.ceil(tracks.size / maxRunning);
	let index = 0;
	for (const track of tracks.values()) {
		const isTaken = index % stride === 0;
		index += 1;
		const logSpeed = isTaken ? getEvidence(track) : undefined;
		if (logSpeed !== undefined) {
			const weight = halve(now - track.measuredAt, runningHalfLifeMs);
			add({step: track.step, logSpeed, weight, change: getChange(track)});
		}
	}

	for (const {step, logSpeed, endedAt} of ended) {
		add({step, logSpeed, weight: halve(now - endedAt, endedHalfLifeMs)});
	}

	return samples;
};

const getLatestMeasurement = ({tracks, ended}: ExecutorSpeed): number => {
	let latest = Number.NEGATIVE_INFINITY;
	for (const {logSpeed, measuredAt} of tracks.values()) {
		latest = logSpeed === undefined ? latest : Math.max(latest, measuredAt);
	}

	return Math.max(latest, ended.at(-1)?.endedAt ?? latest);
};

/** Whether evidence may replace an earlier estimate. */
const isConclusive = ({logSpeed, deviations}: RelativeSpeed): boolean =>
	logSpeed >= soundLogSpeed || deviations >= keptDeviations;

const updateSpeed = (
	speed: ExecutorSpeed,
	measured: RelativeSpeed | undefined,
	now: number,
): void => {
	if (measured) {
		speed.latestLogSpeed = measured.logSpeed;
		speed.measuredAt = getLatestMeasurement(speed);
	} else {
		speed.latestLogSpeed = 0;
	}

	if (measured && isConclusive(measured)) {
		const ageMs = now - speed.measuredAt;
		speed.logSpeed = measured.logSpeed * Math.exp(-ageMs / returnMs);
	} else {
		speed.logSpeed *= Math.exp(-(now - speed.updatedAt) / returnMs);
	}

	speed.updatedAt = now;
	speed.evidentSince = measured?.isEvidentlySlow
		? (speed.evidentSince ?? now)
		: undefined;
};

const recover = (
	executorId: string,
	speed: ExecutorSpeed,
	now: number,
): ExecutorChange => {
	const slowMs = now - (speed.slowSince ?? now);
	speed.slowSince = undefined;
	return {kind: 'executor-recovered', executorId, slowMs};
};

const isSound = ({logSpeed}: ExecutorSpeed): boolean =>
	logSpeed >= soundLogSpeed;

const isLongEvident = (
	{evidentSince, logSpeed}: ExecutorSpeed,
	now: number,
): boolean =>
	evidentSince !== undefined &&
	now - evidentSince >= evidentMs &&
	logSpeed < slowLogSpeed;

/** Executors that are slow already stay so first, then the slowest. */
const compareSlow = (
	[, one]: readonly [string, ExecutorSpeed],
	[, two]: readonly [string, ExecutorSpeed],
): number =>
	Number(isSlow(two)) - Number(isSlow(one)) || one.logSpeed - two.logSpeed;

/** What one decision takes into account. */
export type SpeedInput = {
	/** All executors of the service, by id. */
	readonly speeds: ReadonlyMap<string, ExecutorSpeed>;
	/** Number of executors that may be given work. */
	readonly usable: number;
	/** Whether no run is on an executor. */
	readonly isIdle: (executorId: string) => boolean;
};

/** Returns the speeds after a decision, and the executors that changed. */
export const decideSlowExecutors = (
	{speeds, usable, isIdle}: SpeedInput,
	now: number,
): RelativeSpeeds & {readonly changes: readonly ExecutorChange[]} => {
	const relative = compareSpeeds(
		[...speeds].map(([id, speed]) => ({id, samples: listSamples(speed, now)})),
	);
	for (const [id, speed] of speeds) {
		updateSpeed(speed, relative.executors.get(id), now);
	}

	const limit = Math.floor(usable * maxSlowShare);
	const slow = [...speeds]
		.filter(([, speed]) =>
			isSlow(speed) ? !isSound(speed) : isLongEvident(speed, now),
		)
		.toSorted(compareSlow)
		.slice(0, limit);
	const slowIds = new Set(slow.map(([id]) => id));
	const changes: ExecutorChange[] = [];
	for (const [id, speed] of speeds) {
		const isNowSlow = slowIds.has(id);
		if (isSlow(speed) && !isNowSlow) {
			changes.push(recover(id, speed, now));
		} else if (isNowSlow && !isSlow(speed)) {
			speed.slowSince = now;
			const factor = Math.exp(speed.logSpeed);
			changes.push({kind: 'executor-slow', executorId: id, speed: factor});
		}

		speed.isTestDue =
			isSlow(speed) && isIdle(id) && now - speed.measuredAt >= testAfterMs;
	}

	return {...relative, changes};
};
