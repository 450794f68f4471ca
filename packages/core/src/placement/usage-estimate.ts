/**
 * What a job will use, from what it was seen to use. Reports lag and a young
 * job's peak is still to come, so until enough was seen its declared size
 * counts, as its customer's earlier jobs have shown how to read it.
 * Source: docs/design/placement.md.
 */
import type {Job, Resources} from '../types/job.js';
import * as declarations from './declaration-model.js';

/** Settings of the estimate. */
export type EstimateConfig = {
	/** Weight of a new sample in the mean and the deviation, from 0 to 1. */
	readonly sampleWeight: number;
	/** Samples after which the declared size counts no more. */
	readonly minSamples: number;
};

/** Settings in force when none are given. */
export const defaultEstimateConfig: EstimateConfig = {
	sampleWeight: 0.25,
	minSamples: 6,
};

/** A running mean with its deviation. */
export type RunningStatistics = {
	readonly mean: number;
	readonly deviation: number;
	readonly peak: number;
};

/** What was seen of one job. */
export type UsageHistory = {
	readonly samples: number;
	readonly cores: RunningStatistics;
	readonly memoryMb: RunningStatistics;
	/** When the last sample was measured, in milliseconds. */
	readonly measuredAt: number;
};

/** How a customer's jobs use what it declares. */
export type CustomerUsageModel = {
	readonly cores: declarations.DeclarationModel;
	readonly memoryMb: declarations.DeclarationModel;
};

/** What to expect of a job, and how far off that may be. */
export type UsageEstimate = {
	readonly mean: Resources;
	readonly deviation: Resources;
};

/** Nothing is known of a customer. */
export const emptyCustomerUsageModel: CustomerUsageModel = {
	cores: declarations.emptyDeclarationModel,
	memoryMb: declarations.emptyDeclarationModel,
};

const startTrack = (value: number): RunningStatistics => ({
	mean: value,
	deviation: 0,
	peak: value,
});

const updateTrack = (
	track: RunningStatistics | undefined,
	value: number,
	weight: number,
): RunningStatistics => {
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

/**
 * Learns from a job how its customer declares. A job that ended before it was
 * seen often enough has not shown its peak, and teaches nothing.
 */
export const addEndedJob = (
	habit: CustomerUsageModel,
	declared: Resources,
	history: UsageHistory,
	cfg: EstimateConfig = defaultEstimateConfig,
): CustomerUsageModel =>
	history.samples < cfg.minSamples
		? habit
		: {
				cores: declarations.addDeclaration(
					habit.cores,
					declared.cores,
					history.cores.peak,
				),
				memoryMb: declarations.addDeclaration(
					habit.memoryMb,
					declared.memoryMb,
					history.memoryMb.peak,
				),
			};

type Evidence = {
	readonly declared: number;
	readonly model: declarations.DeclarationModel;
	readonly seen: RunningStatistics | undefined;
	/** From 0 (only declared) to 1 (only seen). */
	readonly trust: number;
};

const blend = ({declared, model, seen, trust}: Evidence) => {
	const fit = declarations.fitDeclarations(model);
	const predicted = declarations.predictUsage(fit, declared);
	if (!seen) {
		return predicted;
	}

	// What was seen is a floor: a young job's use only grows.
	const mean = Math.max(
		seen.mean,
		trust * seen.mean + (1 - trust) * predicted.mean,
	);
	const deviation = trust * seen.deviation + (1 - trust) * predicted.deviation;
	return {mean, deviation};
};

/** What a job is expected to use; accelerators are taken as declared. */
export const estimateUsage = (
	job: Pick<Job, 'declared'>,
	history: UsageHistory | undefined,
	habit: CustomerUsageModel = emptyCustomerUsageModel,
	cfg: EstimateConfig = defaultEstimateConfig,
): UsageEstimate => {
	const trust = Math.min(1, (history?.samples ?? 0) / cfg.minSamples);
	const estimate = (resource: 'cores' | 'memoryMb') =>
		blend({
			declared: job.declared[resource],
			model: habit[resource],
			seen: history?.[resource],
			trust,
		});
	const cores = estimate('cores');
	const memoryMb = estimate('memoryMb');
	return {
		mean: {
			cores: cores.mean,
			memoryMb: memoryMb.mean,
			accelerators: job.declared.accelerators,
		},
		deviation: {
			cores: cores.deviation,
			memoryMb: memoryMb.deviation,
			accelerators: 0,
		},
	};
};
