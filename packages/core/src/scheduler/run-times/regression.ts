/**
 * Linear regression of ln(true run time) on ln(declared time) with
 * exponentially decayed weights. Regression is used because the declaration is
 * a noisy measurement: where its error is small, the slope is near 1 and the
 * declaration counts; where its error is large, the mean of the samples counts.
 */
import {deviationsToTenth, type RunTimeEstimate} from './estimate.js';

/** Evidence of declared times and the run times that followed them. */
export type Regression = {
	/** Number of samples, without decay. */
	readonly samples: number;
	/** Sum of the decayed weights. */
	readonly weight: number;
	/** Weighted means of ln(declared) and ln(true), and their moments. */
	readonly meanDeclared: number;
	readonly meanTrue: number;
	readonly variance: number;
	readonly covariance: number;
	/** Mean square of the residuals, each predicted before its sample counted. */
	readonly residual: number;
	/** Mean square of ln(true / declared). */
	readonly error: number;
	/** Recent mean of the residuals, in standard deviations. */
	readonly drift: number;
	/** Whether predictions are used instead of the declared times. */
	readonly isInForce: boolean;
};

/** A run that ended, or the longest run of a step. */
export type RunTimeSample = {
	readonly declaredMs: number;
	readonly trueMs: number;
	/**
	 * Weight as evidence of a change of behaviour, at most 1. The runs of one
	 * step resemble each other, so together they count as one.
	 */
	readonly driftWeight: number;
};

/** The regression before the first sample. */
export const emptyRegression: Regression = {
	samples: 0,
	weight: 0,
	meanDeclared: 0,
	meanTrue: 0,
	variance: 0,
	covariance: 0,
	residual: 0,
	error: 0,
	drift: 0,
	isInForce: false,
};

/** Number of samples after which the weight of a sample has halved. */
const halfLife = 100;

const retained = 2 ** (-1 / halfLife);

/** A sample may be this many standard deviations from its prediction. */
const maxDeviations = 3;

/**
 * Least standard deviation that clamping assumes, so that samples which all
 * agree do not make the model deaf to a change.
 */
const minClampSpread = 0.25;

/** Weight from which on residuals are clamped and show drift. */
const minClampWeight = 5;

/** Weight of evidence after which the weight of earlier drift has halved. */
const driftHalfLife = 8;

/** One sample may move the drift by this many standard deviations at most. */
const maxDriftDeviations = 2;

/**
 * Drift that shows a change of behaviour: four standard deviations of the mean
 * that has `driftHalfLife`.
 */
const driftLimit = 0.85;

/**
 * Weight that earlier samples keep after a change of behaviour: as many new ones
 * count as much. With half of their weight, runs that took three times as long
 * were predicted a third too short after 40 samples.
 */
const weightAfterChange = 10;

/** A model comes into force from this many samples on ... */
const minSamples = 20;

/** ... while the root mean square of ln(true / declared) is above this ... */
const errorToStart = 0.5;

/** ... and goes out of force below this. */
const errorToStop = 0.4;

/** Weight of a slope of 1, for declared times that hardly differ. */
const slopePrior = 1;

/** Longest run time that is predicted or counted, in milliseconds: a day. */
const maxRunMs = 86_400_000;

const maxLog = Math.log(maxRunMs);

/** Largest standard deviation of predictions: a factor of 20. */
const maxSpread = 3;

const clamp = (value: number, low: number, high: number): number =>
	Math.min(high, Math.max(low, value));

const toLog = (ms: number): number => Math.log(clamp(ms, 1, maxRunMs));

const predictLog = (
	{weight, meanDeclared, meanTrue, variance, covariance}: Regression,
	declared: number,
): number => {
	if (weight === 0) {
		return declared;
	}

	const slope = clamp(
		(covariance * weight + slopePrior) / (variance * weight + slopePrior),
		0,
		1,
	);
	return meanTrue + slope * (declared - meanDeclared);
};

/** Predicts a run time, between a millisecond and a day. */
export const predict = (
	regression: Regression,
	declaredMs: number,
): RunTimeEstimate => {
	const typical = clamp(predictLog(regression, toLog(declaredMs)), 0, maxLog);
	const spread = Math.min(maxSpread, Math.sqrt(regression.residual));
	const deviation = deviationsToTenth * spread;
	return {
		lowMs: Math.exp(Math.max(0, typical - deviation)),
		typicalMs: Math.exp(typical),
		highMs: Math.exp(Math.min(maxLog, typical + deviation)),
	};
};

/** Adds a point, given as logarithms, to the decayed means and moments. */
const addPoint = (
	regression: Regression,
	declared: number,
	actual: number,
	residual: number,
): Regression => {
	const weight = regression.weight * retained + 1;
	const share = 1 / weight;
	const mix = (old: number, added: number) => old + share * (added - old);
	const byDeclared = declared - regression.meanDeclared;
	const byTrue = actual - regression.meanTrue;
	return {
		...regression,
		samples: regression.samples + 1,
		weight,
		meanDeclared: regression.meanDeclared + share * byDeclared,
		meanTrue: regression.meanTrue + share * byTrue,
		variance: (1 - share) * (regression.variance + share * byDeclared ** 2),
		covariance:
			(1 - share) * (regression.covariance + share * byDeclared * byTrue),
		residual: mix(regression.residual, residual ** 2),
		error: mix(regression.error, (actual - declared) ** 2),
	};
};

/** Moves the regression if the residuals show a change of behaviour. */
const followDrift = (
	regression: Regression,
	deviations: number,
	{
		spread,
		driftWeight,
	}: {readonly spread: number; readonly driftWeight: number},
): Regression => {
	const kept = 2 ** (-driftWeight / driftHalfLife);
	const bounded = clamp(deviations, -maxDriftDeviations, maxDriftDeviations);
	const drift = kept * regression.drift + (1 - kept) * bounded;
	return Math.abs(drift) <= driftLimit
		? {...regression, drift}
		: {
				...regression,
				meanTrue: regression.meanTrue + drift * spread,
				weight: Math.min(regression.weight, weightAfterChange),
				drift: 0,
			};
};

/** Whether a model is in force, with hysteresis. */
const updateEvidence = (regression: Regression): Regression => {
	const {samples, error, isInForce} = regression;
	const limit = isInForce ? errorToStop : errorToStart;
	return {
		...regression,
		isInForce: samples >= minSamples && Math.sqrt(error) > limit,
	};
};

/**
 * Adds a sample. One that is far from its prediction is clamped, so that
 * outliers do not distort the model.
 */
export const addSample = (
	regression: Regression,
	{declaredMs, trueMs, driftWeight}: RunTimeSample,
): Regression => {
	const declared = toLog(declaredMs);
	const predicted = predictLog(regression, declared);
	const residual = toLog(trueMs) - predicted;
	if (regression.weight < minClampWeight) {
		return updateEvidence(
			addPoint(regression, declared, predicted + residual, residual),
		);
	}

	const spread = Math.max(minClampSpread, Math.sqrt(regression.residual));
	const limit = maxDeviations * spread;
	const clamped = clamp(residual, -limit, limit);
	const added = addPoint(regression, declared, predicted + clamped, clamped);
	return updateEvidence(
		followDrift(added, clamped / spread, {spread, driftWeight}),
	);
};
