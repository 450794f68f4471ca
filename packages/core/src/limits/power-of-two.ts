/**
 * Power of two choices: of two executors drawn at random, picks the one with
 * fewer requests in flight relative to its weight, by local counts or by those
 * that peers piggyback. An alternative to credits, used for comparison.
 * Source: Mitzenmacher, 2001.
 */

/** Load of one executor as an entry sees it. */
export type ExecutorLoad = {
	readonly executor: string;
	readonly slots: number;
	/** Requests in flight of this entry and, with piggybacking, of its peers. */
	readonly inFlight: number;
	/** Weight from health and slow start, in [0, 1]; 0 excludes it. */
	readonly weight: number;
};

/** Picks by two draws in [0, 1); undefined if the pick has no free slot. */
export const pickOfTwo = (
	loads: readonly ExecutorLoad[],
	draws: readonly [number, number],
): string | undefined => {
	const usable = loads.filter((each) => each.weight > 0);
	const one = usable[Math.floor(draws[0] * usable.length)];
	const two = usable[Math.floor(draws[1] * usable.length)];
	if (!one || !two) {
		return undefined;
	}

	const score = (each: ExecutorLoad) => each.inFlight / each.weight;
	const picked = score(two) < score(one) ? two : one;
	return picked.inFlight < picked.slots ? picked.executor : undefined;
};

/** Sums the counts that peers report for themselves, by executor. */
export const sumPeerCounts = (
	peers: Iterable<ReadonlyMap<string, number>>,
): Map<string, number> => {
	const sums = new Map<string, number>();
	for (const counts of peers) {
		for (const [executor, count] of counts) {
			sums.set(executor, (sums.get(executor) ?? 0) + count);
		}
	}

	return sums;
};
