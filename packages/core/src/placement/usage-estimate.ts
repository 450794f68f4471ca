/**
 * What a job will use, from what it was seen to use. Reports lag, so a young
 * job's peak is still to come: the declared size, corrected by how wrong its
 * customer's earlier declarations were, counts until enough was seen.
 * Source: docs/design/placement.md.
 */
import type {Job, Resources} from '../types/job.js';

/** Settings of the estimate. */
export type EstimateConfig = {
	/** Weight of a new sample in the mean and the deviation, from 0 to 1. */
	readonly sampleWeight: number;
	/** Deviations that are added to the mean. */
	readonly marginDeviations: number;
	/** Samples after which the declared size counts no more. */
	readonly fullSamples: number;
	/** Weight of one job in its customer's ratio, from 0 to 1. */
	readonly ratioWeight: number;
};

/** Settings in force when none are given. */
export const defaultEstimateConfig: EstimateConfig = {
	sampleWeight: 0.25,
	marginDeviations: 2,
	fullSamples: 6,
	ratioWeight: 0.1,
};

/** A running mean with its deviation. */
export type Track = {
	readonly mean: number;
	readonly deviation: number;
	readonly peak: number;
};

/** What was seen of one job. */
export type UsageHistory = {
	readonly samples: number;
	readonly cores: Track;
	readonly memoryMb: Track;
	/** When the last sample was measured, in milliseconds. */
	readonly measuredAt: number;
};

/** How a customer's jobs use what it declares: used by declared, per unit. */
export type DeclaredRatio = {
	readonly jobs: number;
	readonly cores: Track;
	readonly memoryMb: Track;
};

const startTrack = (value: number): Track => ({
	mean: value,
	deviation: 0,
	peak: value,
});

const updateTrack = (
	track: Track | undefined,
	value: number,
	weight: number,
): Track => {
	if (!track) {
		return startTrack(value);
	}

	const error = value - track.mean;
	return {
		mean: track.mean + weight * error,
		deviation: track.deviation + weight * (Math.abs(error) - track.deviation),
		peak: Math.max(track.peak, value),
	};
};

/** Adds a report; one that is not newer than the last changes nothing. */
export const addSample = (
	history: UsageHistory | undefined,
	sample: {cores: number; memoryMb: number; measuredAt: number},
	cfg: EstimateConfig = defaultEstimateConfig,
): UsageHistory => {
	if (history && sample.measuredAt <= history.measuredAt) {
		return history;
	}

	return {
		samples: (history?.samples ?? 0) + 1,
		cores: updateTrack(history?.cores, sample.cores, cfg.sampleWeight),
		memoryMb: updateTrack(history?.memoryMb, sample.memoryMb, cfg.sampleWeight),
		measuredAt: sample.measuredAt,
	};
};

const getRatio = (used: number, declared: number): number =>
	declared > 0 ? used / declared : 1;

/** Learns from a job that has ended how its customer declares. */
export const addEndedJob = (
	ratio: DeclaredRatio | undefined,
	declared: Resources,
	history: UsageHistory,
	cfg: EstimateConfig = defaultEstimateConfig,
): DeclaredRatio => {
	// The first jobs are averaged; later ones weigh alike.
	const jobs = (ratio?.jobs ?? 0) + 1;
	const weight = Math.max(cfg.ratioWeight, 1 / jobs);
	const cores = getRatio(history.cores.peak, declared.cores);
	const memoryMb = getRatio(history.memoryMb.peak, declared.memoryMb);
	return {
		jobs,
		cores: updateTrack(ratio?.cores, cores, weight),
		memoryMb: updateTrack(ratio?.memoryMb, memoryMb, weight),
	};
};

const getUpper = (track: Track, cfg: EstimateConfig): number =>
	track.mean + cfg.marginDeviations * track.deviation;

type Evidence = {
	readonly declared: number;
	readonly ratio: Track | undefined;
	readonly seen: Track | undefined;
	/** From 0 (only declared) to 1 (only seen). */
	readonly trust: number;
};

const blend = (
	{declared, ratio, seen, trust}: Evidence,
	cfg: EstimateConfig,
): number => {
	const expected = declared * (ratio ? getUpper(ratio, cfg) : 1);
	if (!seen) {
		return expected;
	}

	const observed = getUpper(seen, cfg);
	// What was seen is a floor: a young job's use only grows.
	return Math.max(seen.mean, trust * observed + (1 - trust) * expected);
};

/** What to reserve for a job; accelerators are taken as declared. */
export const estimateUse = (
	job: Pick<Job, 'declared'>,
	history: UsageHistory | undefined,
	ratio: DeclaredRatio | undefined,
	cfg: EstimateConfig = defaultEstimateConfig,
): Resources => {
	const trust = Math.min(1, (history?.samples ?? 0) / cfg.fullSamples);
	const estimate = (resource: 'cores' | 'memoryMb') =>
		blend(
			{
				declared: job.declared[resource],
				ratio: ratio?.[resource],
				seen: history?.[resource],
				trust,
			},
			cfg,
		);
	return {
		cores: estimate('cores'),
		memoryMb: estimate('memoryMb'),
		accelerators: job.declared.accelerators,
	};
};
