/**
 * Which entry should hold which shard: rendezvous hashing with a cap, so that
 * no entry holds more than its share rounded up. Entries that see the same
 * members agree; when they do not, the lease decides.
 */
import {rankMembers} from '../limits/rendezvous.js';

/** Assigns every shard to an entry; none without entries. */
export const assignShards = (
	shards: readonly string[],
	entries: readonly string[],
): ReadonlyMap<string, string> => {
	const assigned = new Map<string, string>();
	const loads = new Map(entries.map((entry) => [entry, 0]));
	const cap = Math.ceil(shards.length / Math.max(1, entries.length));
	for (const shard of shards.toSorted()) {
		const ranked = rankMembers(shard, entries);
		const entry = ranked.find((each) => (loads.get(each) ?? 0) < cap);
		if (entry !== undefined) {
			loads.set(entry, (loads.get(entry) ?? 0) + 1);
			assigned.set(shard, entry);
		}
	}

	return assigned;
};

/** What an entry should do about one shard. */
export type ShardDuty = 'acquire' | 'keep' | 'release' | 'none';

/**
 * Compares what an entry holds with what it should hold. A shard is released
 * only if the entry that should hold it is another one.
 */
export const getShardDuty = (
	shard: string,
	self: string,
	isHeld: boolean,
	assigned: ReadonlyMap<string, string>,
): ShardDuty => {
	const isAssigned = assigned.get(shard) === self;
	if (isAssigned) {
		return isHeld ? 'keep' : 'acquire';
	}

	return isHeld && assigned.has(shard) ? 'release' : 'none';
};
