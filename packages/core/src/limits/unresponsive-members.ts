/** Detects listed entries without recent messages. */

/** When each peer last sent a message or was first listed; local clock, ms. */
export type LastContactAt = Map<string, number>;

/** Time without a message after which another coordinator is picked. */
export const defaultUnresponsiveAfterMs = 250;

/**
 * Lists entries without a message for `unresponsiveAfterMs`; one that was not
 * listed before is given that time first.
 */
export const getUnresponsiveMembers = (
	lastContactAt: LastContactAt,
	listed: readonly string[],
	now: number,
	unresponsiveAfterMs: number,
): ReadonlySet<string> => {
	const unresponsive = new Set<string>();
	for (const member of listed) {
		const lastContactAtMs = lastContactAt.get(member);
		if (lastContactAtMs === undefined) {
			lastContactAt.set(member, now);
		} else if (now - lastContactAtMs > unresponsiveAfterMs) {
			unresponsive.add(member);
		}
	}

	return unresponsive;
};
