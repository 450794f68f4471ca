/** Settings of the owner of a service; times in milliseconds. */

/** Settings of an owner. */
export type SchedulerConfig = {
	/**
	 * Lease granted to what runs on an executor. Longer than a takeover takes,
	 * so that tasks outlive their owner; shorter means that work on a silent
	 * executor can start elsewhere sooner.
	 */
	readonly taskLeaseMs: number;
	/**
	 * How long an owner acts without having confirmed that it is the owner:
	 * outages of the store last up to six seconds, and what runs outlives them.
	 */
	readonly ownershipTimeoutMs: number;
	/** Time in which an order that was sent may still be under way. */
	readonly maxTransitMs: number;
	/** A lasting task that is not at work after this is started elsewhere. */
	readonly startupLimitMs: number;
	/** Run time, in multiples of the estimate, after which a task is hung ... */
	readonly hangFactor: number;
	/** ... if its progress has stood still for this long. */
	readonly hangMs: number;
	/** Failed runs in a row on one executor after which it rests ... */
	readonly failuresUntilQuarantine: number;
	/** ... for so long. */
	readonly quarantineMs: number;
	/** Largest share of a service's executors that may rest at once. */
	readonly maxQuarantinedShare: number;
	/** Ended jobs are kept, and shown, for this long. */
	readonly keepEndedMs: number;
	/** An evacuation ends unless it is asked for again within this time. */
	readonly evacuationTtlMs: number;
	/** A run with at most this much left is waited for in an evacuation. */
	readonly evacuationPatienceMs: number;
};

/** Settings in force where the deployment gives none. */
export const defaultSchedulerConfig: SchedulerConfig = {
	taskLeaseMs: 4500,
	ownershipTimeoutMs: 7000,
	maxTransitMs: 500,
	startupLimitMs: 6000,
	hangFactor: 3,
	hangMs: 1500,
	failuresUntilQuarantine: 3,
	quarantineMs: 3000,
	maxQuarantinedShare: 0.34,
	keepEndedMs: 120_000,
	evacuationTtlMs: 1500,
	evacuationPatienceMs: 1500,
};
