/**
 * Detects that service is slower than its estimates, which average over many
 * seconds: a moving average over the last answers of all classes shows a
 * change within a few service times, and an overdue slot release shows one
 * before any answer has arrived.
 */

import type {ServiceTime} from './service-time.js';

/** Weight of one answer in the moving average. */
const answerWeight = 1 / 16;
/** Ratios up to this are treated as noise. */
const noiseRatio = 1.4;
/** Answers of a class after which its estimate is reliable. */
const warmSamples = 32;
/** Cap on the ratio of one answer. */
const maxRatio = 20;
/** Expected release intervals without a release before waits are scaled up. */
const toleratedGaps = 4;

/** Moving average of measured over expected service time. */
export type Slowdown = {
	ratio: number;
	/** When a slot was last released. */
	lastReleasedAt: number;
};

/** Creates a slowdown of ratio 1. */
export const createSlowdown = (now: number): Slowdown => ({
	ratio: 1,
	lastReleasedAt: now,
});

/** Records the service time of one answer against its expected time. */
export const recordRatio = (
	slowdown: Slowdown,
	estimate: ServiceTime,
	serviceMs: number,
	expectedMs: number,
): void => {
	if (estimate.samples <= warmSamples) {
		return;
	}

	const ratio = Math.min(maxRatio, serviceMs / expectedMs);
	slowdown.ratio += (ratio - slowdown.ratio) * answerWeight;
};

/** Factor on service times by recent answers; 1 within the noise. */
export const getServiceFactor = ({ratio}: Slowdown): number =>
	ratio <= noiseRatio ? 1 : ratio;

/** Factor on a wait by the time since the last slot release; at least 1. */
export const getStallFactor = (
	slowdown: Slowdown,
	expectedGapMs: number,
	now: number,
): number => {
	const overdueMs = now - slowdown.lastReleasedAt;
	return Math.max(1, overdueMs / (expectedGapMs * toleratedGaps));
};
