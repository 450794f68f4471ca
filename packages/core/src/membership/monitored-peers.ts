/**
 * Which entries one entry watches: the next few in the order of their names.
 * Each is watched by as many others, at a cost that does not grow with the
 * fleet, and one range read brings all of them.
 */

/** Entries that each entry watches. */
export const monitoredPeerCount = 3;

/** The next entries after one in a ring of names, without itself. */
export const listMonitoredPeers = (
	self: string,
	entries: readonly string[],
	count = monitoredPeerCount,
): readonly string[] => {
	const others = entries.filter((entry) => entry !== self).toSorted();
	const firstAfter = others.findIndex((entry) => entry > self);
	const start = firstAfter === -1 ? 0 : firstAfter;
	return [...others.slice(start), ...others.slice(0, start)].slice(0, count);
};
