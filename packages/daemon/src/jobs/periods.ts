/** Periods and timeouts of the jobs side of a daemon, in milliseconds. */
import type {FollowPeriods} from './rows/feed-follower.js';

/** Periods that do not depend on the deployment. */
export const periods = {
	/** Between heartbeats; `leaseMs` tolerates three lost ones. */
	heartbeatIntervalMs: 500,
	/** Time without a heartbeat after which a daemon's shards may be claimed. */
	leaseMs: 1800,
	/** Gap between reads after which heartbeats are observed from the start. */
	observationGapMs: 1500,
	/** Between checks for shards to claim. */
	claimIntervalMs: 100,
	/** Head start of the daemon that a shard is assigned to. */
	claimHeadStartMs: 500,
	/** Extra delay per shard that a daemon holds, to spread the shards. */
	claimSpreadMs: 150,
	/** Timeout of a call to the store, whose slowest answers take 300 ms. */
	storeTimeoutMs: 1200,
	/** Timeout of a call to another daemon. */
	peerTimeoutMs: 400,
	/** Between checks whether the store confirms the configuration. */
	confirmIntervalMs: 400,
	/**
	 * Age of the store's confirmation from which other daemons are asked: later
	 * than any that the feed of the configuration shows while the store answers.
	 */
	confirmByPeerAfterMs: 1700,
	/** Delay of a flush of progress while no job has ended. */
	flushDelayMs: 15,
	/** Pause before a failed flush or read is retried. */
	flushRetryMs: 100,
	/** Between looks at rows that the store refuses for good. */
	refusedRetryMs: 200,
	/** Until an executor that the store refuses in a roster is tried again. */
	refusedExecutorRetryMs: 2000,
	/** Between two plans while nothing changes. */
	planIntervalMs: 100,
	/**
	 * Age from which the reading of an executor's clock is renewed, though nothing
	 * runs there. The lease of a first start is shorter by the drift over it.
	 */
	idlePollMs: 30_000,
	/** How long an executor may delay the answer to a poll until a run ends. */
	pollWaitMs: 800,
	/** Shortest wait of a poll that watches an isolated run. */
	minPollWaitMs: 50,
	/** Timeout of a poll, in addition to its wait. */
	pollTimeoutMs: 600,
	/** Timeout of a command to start, stop or throttle a run. */
	commandTimeoutMs: 600,
	/**
	 * Pause for the flush of unacknowledged ends, which takes 15 to 30 ms: a poll
	 * that would list them again is answered at once.
	 */
	ackPauseMs: 35,
	/**
	 * Longest time for which an acknowledgement waits for the answers to starts,
	 * longer than `commandTimeoutMs`.
	 */
	ackDelayMs: 1000,
	/** Shortest gap between two polls for which a timer is started. */
	minPollGapMs: 10,
	/** Between checks whether the previous owner has released the shard. */
	previousHolderRetryMs: 300,
	/** First pause after an unanswered poll; it doubles with each further one. */
	pollRetryMs: 50,
	/** Longest pause after an unanswered poll. */
	pollRetryMaxMs: 400,
	/** Pause after a poll that was refused for a higher fencing token. */
	fencedRetryMs: 3000,
} as const;

/** How each feed is followed. */
export const followPeriods = {
	/** Long poll at the store, so that a configuration applies at once. */
	operator: {waitMs: 700, pauseMs: 0, timeoutMs: 500, retryMs: 100},
	/** Long poll at the store, since leases rarely change. */
	lease: {waitMs: 900, pauseMs: 0, timeoutMs: 600, retryMs: 100},
	/** Polled, since heartbeats change constantly. */
	daemon: {waitMs: 0, pauseMs: 400, timeoutMs: 1200, retryMs: 150},
	executors: {waitMs: 0, pauseMs: 250, timeoutMs: 1200, retryMs: 100},
	/** Long poll at the store, since shares change rarely and waiting costs. */
	teamShare: {waitMs: 900, pauseMs: 0, timeoutMs: 600, retryMs: 100},
	/** Fallback for the rows that peers send, which arrive sooner. */
	job: {waitMs: 0, pauseMs: 500, timeoutMs: 1200, retryMs: 100},
} as const satisfies Record<string, FollowPeriods>;

/** Periods of an observer, which neither holds shards nor is a candidate. */
export const observerPeriods = {
	/** Longer, since answers to its calls also show a change of owner. */
	lease: {waitMs: 2000},
	/** Between reads of the heartbeats. */
	daemon: {pauseMs: 700},
	/** Between reads of the heartbeats while a holder is suspected. */
	suspectDaemon: {pauseMs: 200},
	/** Age of a holder's heartbeat from which the holder is suspected. */
	suspectMs: 650,
	/** For how long after its start an observer sends heartbeats. */
	startupHeartbeatsMs: 2000,
} as const;
