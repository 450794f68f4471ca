/**
 * When the next plan may be made. Answers come by the hundred a second and
 * each may allow an order; a plan for each left an owner with a backlog no
 * time to hear the answers.
 */

/** Least time between two plans, in milliseconds: 60 answers come together. */
const leastPauseMs = 10;

/** A plan is followed by a pause of so many times its own length ... */
const pausePerPlan = 4;

/** ... up to this, in milliseconds, so that a slow plan delays nothing long. */
const mostPauseMs = 200;

/** Pause after a plan that took so long, in milliseconds. */
export const getPlanPauseMs = (tookMs: number): number =>
	Math.min(mostPauseMs, Math.max(leastPauseMs, pausePerPlan * tookMs));
