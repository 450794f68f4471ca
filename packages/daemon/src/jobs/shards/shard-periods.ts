/** Delays of claiming and returning shards, in milliseconds. */
export const shardPeriods = {
	/**
	 * Head start of the most capable daemons over all others. It exceeds the
	 * head start among the most capable ones, so that others claim only shards
	 * that none of those claims.
	 */
	capableHeadStartMs: 900,
	/** Head start of candidates over observers. */
	candidateHeadStartMs: 300,
	/** Head start of the most capable observers over the other observers. */
	observerCapableHeadStartMs: 300,
	/** Interval over which observers spread their claims at random. */
	observerSpreadMs: 200,
	/**
	 * Minimum time that a shard was held and its next holder was live before the
	 * shard is returned for that holder.
	 */
	settleMs: 3000,
	/** Time without a holder from which a shard is logged. */
	longFreeMs: 3000,
	/**
	 * Pause after a failure to run a shard. It exceeds the head starts and spreads
	 * of all other daemons.
	 */
	failurePauseMs: 2500,
	maxFailurePauseMs: 30_000,
	/** Minimum time between two returns of shards by one daemon. */
	returnPauseMs: 5000,
} as const;

/** Number of held shards beyond which further ones add no claim delay. */
export const maxSpreadShards = 4;
