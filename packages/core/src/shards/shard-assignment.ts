/**
 * Which entry should hold which shard: rendezvous hashing with a cap, so that
 * no entry holds more than its share rounded up. Where entries differ in what
 * they can carry, only the most capable ones that live get shards. Entries
 * that see the same members agree; when they do not, the lease decides.
 */
import {rankMembers} from '../limits/rendezvous.js';

/** What the machine of an entry has for the shards that it holds. */
export type EntryCapacity = {
	/** Cores that the process may use, a fraction for a share of one. */
	readonly cores: number;
	/** The machine's link, megabits a second. */
	readonly linkMbps: number;
};

/** A live entry; one of an older release doesn't tell its capacity. */
export type LiveEntry = {
	readonly entry: string;
	readonly capacity: EntryCapacity | undefined;
};

/** Entries within this factor of the largest are of the most capable class. */
export const mostCapableFactor = 2;

/**
 * Link that one core of an owner fills, megabits a second: with 0.32 cores and
 * 7 Mbit/s both are full at some 900 starts a second.
 */
export const linkMbpsPerCore = 22;

/** Cores, or fewer if the link fills before they do. */
const getUsableCores = ({capacity}: LiveEntry): number =>
	capacity ? Math.min(capacity.cores, capacity.linkMbps / linkMbpsPerCore) : 0;

/** Names of the most capable class. */
export const listMostCapable = (
	live: readonly LiveEntry[],
): readonly string[] => {
	const largest = Math.max(0, ...live.map((each) => getUsableCores(each)));
	return live
		.filter((each) => getUsableCores(each) * mostCapableFactor >= largest)
		.map(({entry}) => entry);
};

/** Shards that an entry has already, by shard. */
export type ShardHolders = ReadonlyMap<string, string>;

/**
 * Assigns every shard to an entry; none without entries. A shard whose holder
 * is among the entries stays there.
 */
export const assignShards = (
	shards: readonly string[],
	entries: readonly string[],
	holders: ShardHolders = new Map(),
): ReadonlyMap<string, string> => {
	const assigned = new Map<string, string>();
	const loads = new Map(entries.map((entry) => [entry, 0]));
	const cap = Math.ceil(shards.length / Math.max(1, entries.length));
	for (const shard of shards) {
		const holder = holders.get(shard);
		const load = holder === undefined ? undefined : loads.get(holder);
		if (holder !== undefined && load !== undefined) {
			loads.set(holder, load + 1);
			assigned.set(shard, holder);
		}
	}

	const open = shards.filter((shard) => !assigned.has(shard));
	for (const shard of open.toSorted()) {
		const ranked = rankMembers(shard, entries);
		const entry = ranked.find((each) => (loads.get(each) ?? 0) < cap);
		if (entry !== undefined) {
			loads.set(entry, (loads.get(entry) ?? 0) + 1);
			assigned.set(shard, entry);
		}
	}

	return assigned;
};

/** Shards over the entries that should hold them. */
export type ShardPlan = {
	/** Entries of the most capable class. */
	readonly capable: readonly string[];
	readonly assigned: ReadonlyMap<string, string>;
};

/**
 * Assigns shards over the most capable entries. Among equals holders don't
 * count: what is held stays there anyway, since nobody gives it back. Where
 * entries differ, shards move to the capable ones one by one, and each has to
 * find one with room.
 */
export const planShards = (
	shards: readonly string[],
	live: readonly LiveEntry[],
	holders: ShardHolders,
): ShardPlan => {
	const capable = listMostCapable(live);
	const areEqual = capable.length === live.length;
	return {
		capable,
		assigned: assignShards(shards, capable, areEqual ? new Map() : holders),
	};
};

/** What an entry knows when it asks whether to give a shard back. */
export type ShardReturnInput = {
	readonly self: string;
	readonly plan: ShardPlan;
	/** Shards that the entry holds, and for how long, milliseconds. */
	readonly heldForMs: ReadonlyMap<string, number>;
	/** How long an entry has been seen live without a break, milliseconds. */
	readonly getLiveForMs: (entry: string) => number;
	/** What both have to have lasted, so that restarts don't move shards. */
	readonly settleMs: number;
};

/**
 * A shard that a less capable entry should give back, since a capable one has
 * been live for a while and has room for it; undefined if there is none.
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
		const next = plan.assigned.get(shard);
		return (
			next !== undefined &&
			(heldForMs.get(shard) ?? 0) >= settleMs &&
			getLiveForMs(next) >= settleMs
		);
	});
};

/** What an entry should do about one shard. */
export type ShardAction = 'acquire' | 'keep' | 'release' | 'none';

/**
 * Compares what an entry holds with what it should hold. A shard is released
 * only if the entry that should hold it is another one.
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
