/** Scheduler settings. */

/** Settings of the owner of a service; times are in milliseconds. */
export type SchedulerConfig = {
	/**
	 * Lease of the runs on an executor. It must outlast a takeover, so that
	 * tasks survive a change of owner. A shorter lease lets the tasks of an
	 * unresponsive executor restart elsewhere sooner.
	 */
	readonly taskLeaseMs: number;
	/** Longest lease that an executor accepts; a longer one is shortened. */
	readonly maxLeaseMs: number;
	/**
	 * How long an owner keeps acting after its ownership was last confirmed. It
	 * must outlast store outages of up to six seconds.
	 */
	readonly ownershipTimeoutMs: number;
	/** Longest time until a command arrives that is answered. */
	readonly maxTransitMs: number;
	/**
	 * Longest time until a command is carried out that has no answer: seconds, by
	 * an incarnation that started after it was sent, too.
	 */
	readonly maxLateMs: number;
	/** Longest time from the start of an executor until the registry lists it. */
	readonly maxListingDelayMs: number;
	/** Longest time from the acceptance of a stop to the end of the run. */
	readonly maxStopMs: number;
	/**
	 * How long after its read the registry may be relied on: nothing may start
	 * beyond a capacity that shrank longer ago than the platform allows.
	 */
	readonly maxListingAgeMs: number;
	/** A long-running task that has not started up by then is restarted. */
	readonly startupLimitMs: number;
	/** A task is hung if it runs for this multiple of its estimate ... */
	readonly hangFactor: number;
	/** ... and its progress has not changed for this long. */
	readonly hangMs: number;
	/** Consecutive failed runs after which an executor is quarantined ... */
	readonly failuresUntilQuarantine: number;
	/** ... for this long. */
	readonly quarantineMs: number;
	/**
	 * Maximum share of the executors that may otherwise be given work in quarantine
	 * at once.
	 */
	readonly maxQuarantinedShare: number;
	/** How long ended jobs are kept for queries. */
	readonly keepEndedMs: number;
	/** An evacuation expires unless it is requested again within this time. */
	readonly evacuationTtlMs: number;
	/**
	 * How long an evacuation may have its turn without getting further, such as
	 * a command that is not sent, ...
	 */
	readonly evacuationTurnMs: number;
	/** ... and how long the executor serves before it has another turn. */
	readonly evacuationRestMs: number;
	/**
	 * How long a long-running task that fits nowhere else keeps its executor from
	 * leaving, beyond the patience of the request.
	 */
	readonly roomWaitMs: number;
	/** How long nothing starts on an executor that was said to be clear. */
	readonly reservationMs: number;
	/** During an evacuation, runs with at most this much left may finish. */
	readonly evacuationPatienceMs: number;
	/**
	 * How long an executor must be away, neither answering nor listed, until it
	 * counts as crashed: much longer than one that is disconnected may be.
	 */
	readonly absenceMs: number;
	/** Whether jobs that certainly end too late are rejected at submission. */
	readonly rejectsUnservableJobs: boolean;
	/** Whether teams share scarce room by their weights. */
	readonly sharesRoomBetweenTeams: boolean;
	/** Whether slow executors are used last and their runs may be copied. */
	readonly avoidsSlowExecutors: boolean;
	/** Whether run times are learned where declarations prove wrong. */
	readonly learnsRunTimes: boolean;
};

/** Default settings. */
export const defaultSchedulerConfig: SchedulerConfig = {
	taskLeaseMs: 4500,
	maxLeaseMs: 10_000,
	ownershipTimeoutMs: 7000,
	maxTransitMs: 500,
	maxLateMs: 12_000,
	maxListingDelayMs: 1500,
	maxStopMs: 1000,
	maxListingAgeMs: 2500,
	startupLimitMs: 6000,
	hangFactor: 3,
	hangMs: 1500,
	failuresUntilQuarantine: 3,
	quarantineMs: 3000,
	maxQuarantinedShare: 0.34,
	keepEndedMs: 120_000,
	evacuationTtlMs: 1500,
	evacuationTurnMs: 6000,
	evacuationRestMs: 3000,
	roomWaitMs: 2500,
	reservationMs: 5000,
	evacuationPatienceMs: 1500,
	absenceMs: 30_000,
	rejectsUnservableJobs: false,
	sharesRoomBetweenTeams: false,
	avoidsSlowExecutors: false,
	learnsRunTimes: true,
};
