/**
 * Selects the peers whose heartbeats an entry monitors: the next few entries in
 * the order of names. Each entry is monitored by as many peers at a cost that
 * does not grow with the fleet, and one range read returns all of them.
 */

/** Number of peers that each entry monitors. */
export const monitoredPeerCount = 3;

/** Lists the entries that follow one in a ring of names, without itself. */
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
