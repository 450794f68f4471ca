/**
 * How much slower service is than its estimates say. These look back many
 * seconds; a moving average over the last few answers of all classes tells of
 * a change within a few service times, and a slot that is long overdue tells
 * of one before any answer has come.
 */

import type {ServiceTime} from './service-time.js';

/** Weight of one answer. */
const answerWeight = 1 / 16;
/** A ratio up to this is chance. */
const chanceRatio = 1.4;
/** Answers of a class after which its estimate is worth comparing with. */
const warmSamples = 32;
/** Longest ratio that one answer can tell. */
const highestRatio = 20;
/** Expected gaps between two free slots that may pass without one. */
const patientGaps = 4;

/** Moving average of measured over expected service time. */
export type Slowdown = {
	ratio: number;
	/** When a slot was last given back. */
	lastReleasedAt: number;
};

/** Creates a slowdown that says that the estimates are right. */
export const createSlowdown = (now: number): Slowdown => ({
	ratio: 1,
	lastReleasedAt: now,
});

/** Takes in one answer to a request that was expected to take its mean. */
export const recordRatio = (
	slowdown: Slowdown,
	estimate: ServiceTime,
	serviceMs: number,
	expectedMs: number,
): void => {
	if (estimate.samples <= warmSamples) {
		return;
	}

	const ratio = Math.min(highestRatio, serviceMs / expectedMs);
	slowdown.ratio += (ratio - slowdown.ratio) * answerWeight;
};

/** Factor on times by recent answers; 1 unless it is beyond chance. */
export const getServiceFactor = ({ratio}: Slowdown): number =>
	ratio <= chanceRatio ? 1 : ratio;

/** Factor on a wait by the time since a slot was last given back. */
export const getStallFactor = (
	slowdown: Slowdown,
	expectedGapMs: number,
	now: number,
): number => {
	const overdueMs = now - slowdown.lastReleasedAt;
	return Math.max(1, overdueMs / (expectedGapMs * patientGaps));
};
