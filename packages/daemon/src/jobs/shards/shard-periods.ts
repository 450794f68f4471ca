/** Times by which shards are claimed and given back, in milliseconds. */
export const shardPeriods = {
	/**
	 * Head start of the capable daemons over all others: more than theirs
	 * among each other, so that the others claim only what nobody else does.
	 */
	capableHeadStartMs: 900,
	/** Head start of candidates over observers. */
	candidateHeadStartMs: 300,
	/** Among observers, head start of the more capable ones. */
	observerCapableHeadStartMs: 300,
	/** Time over which observers spread their claims. */
	observerSpreadMs: 200,
	/** Before a shard moves both daemons have had their part for so long. */
	settleMs: 3000,
	/** Between two shards that a daemon gives back. */
	returnPauseMs: 5000,
} as const;

/** Shards held after which each more delays a claim no further. */
export const maxSpreadShards = 4;
