/**
 * Streaming estimate of service times: a histogram with buckets of constant
 * ratio whose samples decay exponentially with age (Cormode et al., "Forward
 * Decay", ICDE 2009). A prior counts as a few samples, so that a cold or long
 * idle estimate falls back to it.
 */

const lowestMs = 0.5;
const bucketRatio = 1.1;
/** Covers 0.5 ms to about 200 s. */
const bucketCount = 136;
const logRatio = Math.log(bucketRatio);

/** Number of samples that the prior counts as. */
const priorSamples = 2;
/** Part of the prior's weight at twice its median. */
const priorTail = 0.2;
/** Mean and quantiles are recomputed after this many samples or this time. */
const refreshEvery = 16;
const refreshEveryMs = 100;
/** Up to this many samples they are recomputed for each sample. */
const refreshAlwaysUpTo = 32;
/** Above this weight of a new sample the counts are rescaled. */
const maxWeight = 1e9;

/** Estimate of one class of one service; times in milliseconds. */
export type ServiceTime = {
	readonly halfLifeMs: number;
	prior: {readonly medianMs: number; readonly meanMs: number};
	readonly counts: Float64Array;
	total: number;
	sumMs: number;
	/** When a new sample has weight 1. */
	originAt: number;
	samples: number;
	refreshedAt: number;
	/** Time of the last sample or probe. */
	lastAt: number;
	meanMs: number;
	/** Median and 90th percentile. */
	p50Ms: number;
	p90Ms: number;
};

const getBucket = (ms: number): number => {
	const bucket = Math.floor(Math.log(ms / lowestMs) / logRatio);
	return Math.min(bucketCount - 1, Math.max(0, bucket));
};

/** The geometric middle of a bucket. */
const getBucketMs = (bucket: number): number =>
	lowestMs * bucketRatio ** (bucket + 0.5);

/** Creates an estimate without samples. */
export const createServiceTime = (
	priorMs: number,
	halfLifeMs: number,
	now: number,
): ServiceTime => {
	const meanMs = priorMs * (1 + priorTail);
	const prior = {medianMs: priorMs, meanMs};
	return {
		halfLifeMs,
		prior,
		counts: new Float64Array(bucketCount),
		total: 0,
		sumMs: 0,
		originAt: now,
		samples: 0,
		refreshedAt: now,
		lastAt: Number.NEGATIVE_INFINITY,
		meanMs,
		p50Ms: priorMs,
		p90Ms: priorMs * 2,
	};
};

/** Changes the prior; an estimate without samples follows at once. */
export const updatePrior = (estimate: ServiceTime, priorMs: number): void => {
	const meanMs = priorMs * (1 + priorTail);
	estimate.prior = {medianMs: priorMs, meanMs};
	if (estimate.samples === 0) {
		estimate.meanMs = meanMs;
		estimate.p50Ms = priorMs;
		estimate.p90Ms = priorMs * 2;
	}
};

/** Weight of the prior in a bucket if a new sample has weight `weight`. */
const getPriorWeight = (
	estimate: ServiceTime,
	bucket: number,
	weight: number,
): number => {
	const {medianMs} = estimate.prior;
	let share = 0;
	if (bucket === getBucket(medianMs)) {
		share += 1 - priorTail;
	}

	if (bucket === getBucket(medianMs * 2)) {
		share += priorTail;
	}

	return share * priorSamples * weight;
};

const refresh = (estimate: ServiceTime, weight: number): void => {
	const priorTotal = priorSamples * weight;
	const total = estimate.total + priorTotal;
	const priorSumMs = estimate.prior.meanMs * priorTotal;
	estimate.meanMs = (estimate.sumMs + priorSumMs) / total;
	let seen = 0;
	let p50Found = false;
	for (let bucket = 0; bucket < bucketCount; bucket++) {
		seen += estimate.counts[bucket]! + getPriorWeight(estimate, bucket, weight);
		if (!p50Found && seen >= total * 0.5) {
			estimate.p50Ms = getBucketMs(bucket);
			p50Found = true;
		}

		if (seen >= total * 0.9) {
			estimate.p90Ms = getBucketMs(bucket);
			return;
		}
	}
};

const rescale = (estimate: ServiceTime, weight: number, now: number): void => {
	for (let bucket = 0; bucket < bucketCount; bucket++) {
		estimate.counts[bucket]! /= weight;
	}

	estimate.total /= weight;
	estimate.sumMs /= weight;
	estimate.originAt = now;
};

export const recordServiceTime = (
	estimate: ServiceTime,
	serviceMs: number,
	now: number,
): void => {
	let weight = 2 ** ((now - estimate.originAt) / estimate.halfLifeMs);
	if (weight > maxWeight) {
		rescale(estimate, weight, now);
		weight = 1;
	}

	estimate.counts[getBucket(serviceMs)]! += weight;
	estimate.total += weight;
	estimate.sumMs += serviceMs * weight;
	estimate.samples++;
	estimate.lastAt = now;
	const {samples} = estimate;
	const due =
		samples <= refreshAlwaysUpTo ||
		samples % refreshEvery === 0 ||
		now - estimate.refreshedAt >= refreshEveryMs;
	if (due) {
		refresh(estimate, weight);
		estimate.refreshedAt = now;
	}
};
