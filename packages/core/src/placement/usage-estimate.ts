/**
 * Estimates the usage of a job from its reports. Reports arrive late and a
 * young job has not reached its peak, so until enough samples exist the
 * estimate also uses the declared size, corrected by the model of its customer.
 * Source: docs/design/placement.md.
 */
import type {Job, Resources} from '../types/job.js';
import * as declarations from './declaration-model.js';

/** Settings of the estimate. */
export type EstimateConfig = {
	/** Weight of a new sample in the mean and the deviation, from 0 to 1. */
	readonly sampleWeight: number;
	/** Samples after which the declared size is ignored. */
	readonly minSamples: number;
};

/** Default settings. */
export const defaultEstimateConfig: EstimateConfig = {
	sampleWeight: 0.25,
	minSamples: 6,
};

/** Exponentially weighted mean and deviation, and the peak. */
export type RunningStatistics = {
	readonly mean: number;
	readonly deviation: number;
	readonly peak: number;
};

/** Observed usage of one job. */
export type UsageHistory = {
	readonly samples: number;
	readonly cores: RunningStatistics;
	readonly memoryMb: RunningStatistics;
	/** Measurement time of the latest sample, in milliseconds. */
	readonly measuredAt: number;
};

/** Relation of declared to actual usage of the jobs of one customer. */
export type CustomerUsageModel = {
	readonly cores: declarations.DeclarationModel;
	readonly memoryMb: declarations.DeclarationModel;
};

/** Expected usage of a job and its deviation. */
export type UsageEstimate = {
	readonly mean: Resources;
	readonly deviation: Resources;
};

/** Model of a customer without ended jobs. */
export const emptyCustomerUsageModel: CustomerUsageModel = {
	cores: declarations.emptyDeclarationModel,
	memoryMb: declarations.emptyDeclarationModel,
};

const startStatistics = (value: number): RunningStatistics => ({
	mean: value,
	deviation: 0,
	peak: value,
});

const updateStatistics = (
	statistics: RunningStatistics | undefined,
	value: number,
	weight: number,
): RunningStatistics => {
	if (!statistics) {
		return startStatistics(value);
	}

	const error = value - statistics.mean;
	return {
		mean: statistics.mean + weight * error,
		deviation:
			statistics.deviation + weight * (Math.abs(error) - statistics.deviation),
		peak: Math.max(statistics.peak, value),
	};
};

/**
 * Adds a usage sample; a sample that is not newer than the latest is ignored.
 */
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
		cores: updateStatistics(history?.cores, sample.cores, cfg.sampleWeight),
		memoryMb: updateStatistics(
			history?.memoryMb,
			sample.memoryMb,
			cfg.sampleWeight,
		),
		measuredAt: sample.measuredAt,
	};
};

/**
 * Updates the model of a customer from an ended job. A job with fewer than
 * `minSamples` samples may not have reached its peak and is ignored.
 */
export const addEndedJob = (
	customerModel: CustomerUsageModel,
	declared: Resources,
	history: UsageHistory,
	cfg: EstimateConfig = defaultEstimateConfig,
): CustomerUsageModel =>
	history.samples < cfg.minSamples
		? customerModel
		: {
				cores: declarations.addDeclaration(
					customerModel.cores,
					declared.cores,
					history.cores.peak,
				),
				memoryMb: declarations.addDeclaration(
					customerModel.memoryMb,
					declared.memoryMb,
					history.memoryMb.peak,
				),
			};

type BlendInput = {
	readonly declared: number;
	readonly model: declarations.DeclarationModel;
	readonly observed: RunningStatistics | undefined;
	/**
	 * Weight of the observed usage, from 0 (only declared) to 1 (only observed).
	 */
	readonly observedWeight: number;
};

const blendEstimates = ({
	declared,
	model,
	observed,
	observedWeight,
}: BlendInput) => {
	const fit = declarations.fitDeclarations(model);
	const predicted = declarations.predictUsage(fit, declared);
	if (!observed) {
		return predicted;
	}

	// The observed mean is a lower bound, since the usage of a young job grows.
	const mean = Math.max(
		observed.mean,
		observedWeight * observed.mean + (1 - observedWeight) * predicted.mean,
	);
	const deviation =
		observedWeight * observed.deviation +
		(1 - observedWeight) * predicted.deviation;
	return {mean, deviation};
};

/** Estimates the usage of a job; accelerators count as declared. */
export const estimateUsage = (
	job: Pick<Job, 'declared'>,
	history: UsageHistory | undefined,
	customerModel: CustomerUsageModel = emptyCustomerUsageModel,
	cfg: EstimateConfig = defaultEstimateConfig,
): UsageEstimate => {
	const observedWeight = Math.min(1, (history?.samples ?? 0) / cfg.minSamples);
	const estimate = (resource: 'cores' | 'memoryMb') =>
		blendEstimates({
			declared: job.declared[resource],
			model: customerModel[resource],
			observed: history?.[resource],
			observedWeight,
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
