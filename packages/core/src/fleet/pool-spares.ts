/**
 * How many machines each pool can spare at once, whatever takes them: waves,
 * moves and machines that are down count together. What a pool keeps follows
 * from what runs, waits and arrives in its queues, up to half of its machines,
 * so that a wave of a whole pool takes two turns.
 */

/** A machine, as it counts for its pool. */
export type PoolMember = {
	readonly pool: string;
	/** It is up, and nothing is to take it away. */
	readonly isServing: boolean;
	/** It is away, or to be taken away, and expected back in its pool. */
	readonly isReturning: boolean;
	readonly cpuMillis: number;
};

/** Demand of a pool's queues in thousandths of a core. */
export type PoolNeeds = ReadonlyMap<
	string,
	/** `unknown`: its owner has not reported it. */
	number | 'unknown'
>;

/** How many machines may be taken from a pool now. */
export type PoolSpare = {
	readonly normal: number;
	/** For a claimant that is late otherwise. */
	readonly urgent: number;
};

type PoolCounts = {
	total: number;
	serving: number;
	returning: number;
	cpuMillis: number;
};

const countPools = (
	members: readonly PoolMember[],
): ReadonlyMap<string, PoolCounts> => {
	const pools = new Map<string, PoolCounts>();
	for (const {pool, isServing, isReturning, cpuMillis} of members) {
		const counts = pools.get(pool) ?? {
			total: 0,
			serving: 0,
			returning: 0,
			cpuMillis: 0,
		};
		counts.total += 1;
		counts.serving += Number(isServing);
		counts.returning += Number(isReturning);
		counts.cpuMillis += cpuMillis;
		pools.set(pool, counts);
	}

	return pools;
};

/** Machines that a pool of several keeps, at most. */
const getMaxKept = (total: number): number => Math.ceil(total / 2);

/** Machines of a pool that may be away at once, if its queues need all. */
export const getMaxTurn = (total: number): number =>
	Math.max(1, total - getMaxKept(total));

const countKept = (
	{total, cpuMillis}: PoolCounts,
	need: number | 'unknown',
): number => {
	if (need === 'unknown') {
		return getMaxKept(total);
	}

	const needed = Math.ceil((need * total) / Math.max(1, cpuMillis));
	const atLeast = total > 1 || need > 0 ? 1 : 0;
	return Math.max(atLeast, Math.min(needed, getMaxKept(total)));
};

/** Counts what pools with queues can spare; other pools can spare everything. */
export const countSpares = (
	members: readonly PoolMember[],
	needs: PoolNeeds,
): ReadonlyMap<string, PoolSpare> =>
	new Map(
		[...countPools(members)].flatMap(([pool, counts]) => {
			const need = needs.get(pool);
			if (need === undefined) {
				return [];
			}

			const {serving, returning} = counts;
			const isLast = serving === 1 && returning === 0;
			const spare = {
				normal: Math.max(0, serving - countKept(counts, need)),
				urgent: Math.max(0, serving - (isLast ? 0 : 1)),
			};
			return [[pool, spare] as const];
		}),
	);
