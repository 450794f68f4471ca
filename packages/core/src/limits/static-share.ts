/**
 * Static shares: slots and connections of an executor divided over the listed
 * entries without any message. Also the fallback when the home of a pool is
 * silent; docs/design/limits.md.
 */
import * as rendezvous from './rendezvous.js';

/**
 * Slots of one executor that one entry may use by itself. The shares of all
 * members add up to `slots`; the remainder goes to those ranked first.
 */
export const getStaticShare = (
	executor: string,
	slots: number,
	members: readonly string[],
	entry: string,
): number => {
	const rank = rendezvous.rankMembers(executor, members).indexOf(entry);
	if (rank === -1) {
		return 0;
	}

	const whole = Math.floor(slots / members.length);
	return whole + (rank < slots % members.length ? 1 : 0);
};

/**
 * Shares of every executor for one entry, of a part of the slots: 1 divides
 * all of them, a smaller fraction leaves the rest to be granted.
 */
export const getStaticShares = (
	slots: ReadonlyMap<string, number>,
	members: readonly string[],
	entry: string,
	fraction = 1,
): ReadonlyMap<string, number> =>
	new Map(
		[...slots].map(([executor, count]) => [
			executor,
			getStaticShare(executor, Math.floor(count * fraction), members, entry),
		]),
	);

/**
 * Part of the listed entries that may be replaced at once, their connections
 * not yet closed, without more than the limit being open.
 */
export const maxReplacedFraction = 0.5;

/**
 * Connections that an entry may keep open to one executor besides those that
 * carry a request in a granted slot. With `members` listed entries, half as
 * many replaced ones not yet closed, and every slot in use on top, the sum is
 * at most `connections`.
 */
export const getSpareConnections = (
	connections: number,
	slots: number,
	members: number,
): number => {
	const holders = Math.max(
		1,
		members + Math.ceil(members * maxReplacedFraction),
	);
	return Math.max(0, Math.floor((connections - slots) / holders));
};

/** Connections that an entry may have open to one executor now. */
export const getConnectionLimit = (
	connections: number,
	slots: number,
	members: number,
	heldSlots: number,
): number => getSpareConnections(connections, slots, members) + heldSlots;
