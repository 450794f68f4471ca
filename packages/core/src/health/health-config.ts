/** Settings of outlier detection; docs/design/upstream-faults.md. */

/** When an executor is ejected, for how long, and how it comes back. */
export type HealthConfig = {
	/** Failures in a row that eject. */
	readonly consecutiveFailures: number;
	/** Failure rate above the median of the peers that ejects, in [0, 1]. */
	readonly failureRateMargin: number;
	/** Multiple of the peers' median latency that ejects. */
	readonly latencyFactor: number;
	/** Latency above the peers' median that is never an outlier. */
	readonly latencyMarginMs: number;
	/** Samples needed before rate or latency is judged. */
	readonly minSamples: number;
	/** Weight of the newest sample in the moving averages, in (0, 1]. */
	readonly smoothing: number;
	/** Share of the pool that failures may eject, below 1. */
	readonly maxFailedShare: number;
	/** Share of the pool that may be away when a slow executor is ejected. */
	readonly maxSlowShare: number;
	/** First ejection; doubles with each one that follows. */
	readonly baseEjectionMs: number;
	readonly maxEjectionMs: number;
	/** Time of good service after which earlier ejections are forgotten. */
	readonly forgetAfterMs: number;
	/** Time over which a returned executor's weight grows to 1. */
	readonly slowStartMs: number;
	/** Weight of an executor that has just returned, in (0, 1]. */
	readonly slowStartWeight: number;
};

/** Settings that the bench `faults` was measured with. */
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
