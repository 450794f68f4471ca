/**
 * Static shares: slots and connections of an executor divided among the listed
 * entries without messages. Slot shares are the fallback when the credit
 * coordinator of a pool is unresponsive. Source: docs/design/limits.md.
 */
import * as rendezvous from './rendezvous.js';

/**
 * Slots of one executor that one entry may use without credits. The shares of
 * all members add up to `slots`; the remainder goes to those ranked first.
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
 * Shares of one entry on every executor. `fraction` is the part of the slots to
 * divide; the rest is left to be granted as credits.
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
 * Replaced entries whose connections may still be open, as a part of the
 * listed entries, for which the connection limit still holds.
 */
export const maxReplacedFraction = 0.5;

/**
 * Connections that an entry may keep open to one executor in addition to those
 * in use by a granted slot. With `members` listed entries, half as many
 * replaced ones still connected, and all slots in use, the sum is at most
 * `connections`.
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

/** Connections that an entry may currently have open to one executor. */
export const getConnectionLimit = (
	connections: number,
	slots: number,
	members: number,
	heldSlots: number,
): number => getSpareConnections(connections, slots, members) + heldSlots;
