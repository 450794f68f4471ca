/** Times of the jobs side of a daemon, in milliseconds. */
import type {FollowPeriods} from './rows/feed-follower.js';

/** Times that do not depend on the deployment. */
export const periods = {
	/**
	 * Between heartbeats. With the lease below, three may be lost before a
	 * daemon's shards are taken over.
	 */
	heartbeatIntervalMs: 500,
	/** Silence of a heartbeat after which its daemon's shards are free. */
	leaseMs: 1800,
	/** A gap in the own reads after which silence is measured afresh. */
	observationGapMs: 1500,
	/** Between two looks at which shards to claim. */
	claimIntervalMs: 100,
	/** Head start of the daemon that a shard is assigned to. */
	claimHeadStartMs: 500,
	/** More for each shard that a daemon holds already, to spread them. */
	claimSpreadMs: 150,
	/** A call to the store; its answers take some ms, on slow days 300. */
	storeTimeoutMs: 1200,
	/** A call to another daemon on behalf of a caller. */
	peerTimeoutMs: 400,
	/** Between two flushes of progress while no job has ended. */
	flushDelayMs: 15,
	/** Pause after a flush that failed. */
	flushRetryMs: 100,
	/** Between two plans while nothing happens. */
	planIntervalMs: 100,
	/** How long an executor holds a look back for a new end. */
	pollWaitMs: 800,
	/** Bound on the rest of a look. */
	pollTimeoutMs: 600,
	/** Bound on a start, a stop or a change of pace. */
	commandTimeoutMs: 600,
	/**
	 * A look is answered at once while it lists ends that are not acknowledged:
	 * the next one waits for their flush, which takes 15 to 30 ms.
	 */
	ackPauseMs: 35,
	/** A shorter gap between two looks is not worth a timer. */
	minPollGapMs: 10,
	/** A question to the advice service, which takes them one at a time. */
	adviceTimeoutMs: 3000,
	/** Between two questions whether the owner before has let go. */
	previousHolderRetryMs: 300,
	/** First pause after a look that was not answered; it doubles ... */
	pollRetryMs: 50,
	/** ... up to this. */
	pollRetryMaxMs: 400,
} as const;

/** How each feed is followed. */
export const followPeriods = {
	/** Waits at the store, so that a configuration is in force at once. */
	operator: {waitMs: 700, pauseMs: 0, timeoutMs: 500, retryMs: 100},
	/** Waits at the store: a deposed owner and a new address are rare news. */
	lease: {waitMs: 900, pauseMs: 0, timeoutMs: 600, retryMs: 100},
	/** Heartbeats change all the time, so this one is polled. */
	daemon: {waitMs: 0, pauseMs: 400, timeoutMs: 1200, retryMs: 150},
	executors: {waitMs: 0, pauseMs: 250, timeoutMs: 1200, retryMs: 100},
	/** Behind the peers' word, which is faster. */
	job: {waitMs: 0, pauseMs: 500, timeoutMs: 1200, retryMs: 100},
} as const satisfies Record<string, FollowPeriods>;

/** Where an observer differs, which neither holds shards nor is a candidate. */
export const observerPeriods = {
	/** It learns of a new owner from the answers to its calls, too. */
	lease: {waitMs: 2000},
	/** Between reads of the heartbeats ... */
	daemon: {pauseMs: 700},
	/** ... and once that of a holder stands still. */
	suspectDaemon: {pauseMs: 200},
	/** A holder's heartbeat that stands still for longer may be missing. */
	suspectMs: 650,
	/** A daemon that has just started sends heartbeats, for the others to see. */
	startupHeartbeatsMs: 2000,
} as const;
