/**
 * Assigns shards to entries by rendezvous hashing with a limit of shards per
 * entry. If entries differ in capacity, only the most capable live ones get
 * shards. Entries with the same membership compute the same assignment;
 * otherwise the lease decides.
 */
import {rankMembers} from '../limits/rendezvous.js';

/** Capacity of an entry's machine for its shards. */
export type EntryCapacity = {
	/** Cores that the process may use; may be a fraction. */
	readonly cores: number;
	/** Bandwidth of the machine's link, in megabits per second. */
	readonly linkMbps: number;
};

/** A live entry; older releases do not report their capacity. */
export type LiveEntry = {
	readonly entry: string;
	readonly capacity: EntryCapacity | undefined;
};

/**
 * An entry is among the most capable if its capacity, times this factor,
 * reaches the largest.
 */
export const mostCapableFactor = 2;

/**
 * Bandwidth that an owner uses per core, in megabits per second: with 0.32
 * cores and 7 Mbit/s both are full at some 900 starts a second.
 */
export const linkMbpsPerCore = 22;

/** Usable cores, limited by the bandwidth of the link. */
const getEffectiveCores = ({capacity}: LiveEntry): number =>
	capacity ? Math.min(capacity.cores, capacity.linkMbps / linkMbpsPerCore) : 0;

/** Lists the names of the most capable entries. */
export const listMostCapable = (
	live: readonly LiveEntry[],
): readonly string[] => {
	const largest = Math.max(0, ...live.map((each) => getEffectiveCores(each)));
	return live
		.filter((each) => getEffectiveCores(each) * mostCapableFactor >= largest)
		.map(({entry}) => entry);
};

/** Current holder of each shard. */
export type ShardHolders = ReadonlyMap<string, string>;

/**
 * Assigns every shard to an entry, or none if there are no entries. A shard
 * whose holder is among the entries stays with it.
 */
export const assignShards = (
	shards: readonly string[],
	entries: readonly string[],
	holders: ShardHolders = new Map(),
): ReadonlyMap<string, string> => {
	const assigned = new Map<string, string>();
	const shardCounts = new Map(entries.map((entry) => [entry, 0]));
	const limit = Math.ceil(shards.length / Math.max(1, entries.length));
	for (const shard of shards) {
		const holder = holders.get(shard);
		const shardCount =
			holder === undefined ? undefined : shardCounts.get(holder);
		if (holder !== undefined && shardCount !== undefined) {
			shardCounts.set(holder, shardCount + 1);
			assigned.set(shard, holder);
		}
	}

	const unassigned = shards.filter((shard) => !assigned.has(shard));
	for (const shard of unassigned.toSorted()) {
		const ranked = rankMembers(shard, entries);
		const entry = ranked.find((each) => (shardCounts.get(each) ?? 0) < limit);
		if (entry !== undefined) {
			shardCounts.set(entry, (shardCounts.get(entry) ?? 0) + 1);
			assigned.set(shard, entry);
		}
	}

	return assigned;
};

/** The assignment of shards and the entries eligible for it. */
export type ShardPlan = {
	/** Names of the most capable entries. */
	readonly capable: readonly string[];
	readonly assigned: ReadonlyMap<string, string>;
};

/**
 * Assigns shards to the most capable entries. If all live entries are equally
 * capable, current holders are ignored, since held shards are not returned
 * anyway. Otherwise, shards move to capable entries one by one, each to an
 * entry below its limit.
 */
export const planShards = (
	shards: readonly string[],
	live: readonly LiveEntry[],
	holders: ShardHolders,
): ShardPlan => {
	const capable = listMostCapable(live);
	const areEquallyCapable = capable.length === live.length;
	return {
		capable,
		assigned: assignShards(
			shards,
			capable,
			areEquallyCapable ? new Map() : holders,
		),
	};
};

/** Input of the decision to return a shard. */
export type ShardReturnInput = {
	readonly self: string;
	readonly plan: ShardPlan;
	/**
	 * Time for which the entry has held each of its shards, in milliseconds.
	 */
	readonly heldForMs: ReadonlyMap<string, number>;
	/**
	 * Time for which an entry has been live without interruption, in
	 * milliseconds.
	 */
	readonly getLiveForMs: (entry: string) => number;
	/**
	 * Minimum of both times, in milliseconds, so that restarts do not move
	 * shards.
	 */
	readonly settleMs: number;
};

/**
 * Chooses a shard that a less capable entry should return to a capable one that
 * has been live long enough and is below its limit.
 */
export const chooseShardToReturn = ({
	self,
	plan,
	heldForMs,
	getLiveForMs,
	settleMs,
}: ShardReturnInput): string | undefined => {
	if (plan.capable.includes(self)) {
		return undefined;
	}

	return [...heldForMs.keys()].toSorted().find((shard) => {
		const assignee = plan.assigned.get(shard);
		return (
			assignee !== undefined &&
			(heldForMs.get(shard) ?? 0) >= settleMs &&
			getLiveForMs(assignee) >= settleMs
		);
	});
};

/** Action of an entry on one shard. */
export type ShardAction = 'acquire' | 'keep' | 'release' | 'none';

/**
 * Compares the shards that an entry holds with its assignment. A shard is
 * released only if another entry should hold it.
 */
export const getShardAction = (
	shard: string,
	self: string,
	isHeld: boolean,
	assigned: ReadonlyMap<string, string>,
): ShardAction => {
	const isAssigned = assigned.get(shard) === self;
	if (isAssigned) {
		return isHeld ? 'keep' : 'acquire';
	}

	return isHeld && assigned.has(shard) ? 'release' : 'none';
};
