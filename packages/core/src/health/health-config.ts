/** Settings of outlier detection. Source: docs/design/upstream-faults.md. */

/** Conditions and duration of ejections, and slow start after them. */
export type HealthConfig = {
	/** Number of consecutive failures that ejects. */
	readonly consecutiveFailures: number;
	/** Failure rate above the median of the peers that ejects, in [0, 1]. */
	readonly failureRateMargin: number;
	/** Multiple of the peers' median latency that ejects. */
	readonly latencyFactor: number;
	/** Latency above the peers' median that is never an outlier. */
	readonly latencyMarginMs: number;
	/** Samples needed before failure rate or latency is evaluated. */
	readonly minSamples: number;
	/** Weight of the newest sample in the moving averages, in (0, 1]. */
	readonly smoothing: number;
	/** Maximum share of the pool ejected for failures, below 1. */
	readonly maxFailedShare: number;
	/** Maximum share of the pool ejected in total when one is ejected as slow. */
	readonly maxSlowShare: number;
	/** Duration of the first ejection; doubles with each further one. */
	readonly baseEjectionMs: number;
	readonly maxEjectionMs: number;
	/** Time after the last ejection after which the duration starts over. */
	readonly forgetAfterMs: number;
	/** Time in which the weight of a returning executor grows to 1. */
	readonly slowStartMs: number;
	/** Initial weight of a returning executor, in (0, 1]. */
	readonly slowStartWeight: number;
};

/** Default settings. */
export const defaultHealthConfig: HealthConfig = {
	consecutiveFailures: 3,
	failureRateMargin: 0.15,
	latencyFactor: 4,
	latencyMarginMs: 20,
	minSamples: 12,
	smoothing: 0.1,
	maxFailedShare: 0.9,
	maxSlowShare: 0.4,
	baseEjectionMs: 1000,
	maxEjectionMs: 30_000,
	forgetAfterMs: 60_000,
	slowStartMs: 5000,
	slowStartWeight: 0.1,
};
