/** Which listed entries have not been heard of for too long. */

/** When each peer was last heard of, or first listed; own clock, ms. */
export type LastContactAt = Map<string, number>;

/** Silence after which another home is turned to. */
export const defaultUnresponsiveAfterMs = 250;

/**
 * Listed entries without any message for `silentAfterMs`; one that was not
 * listed before is given that time first.
 */
export const getUnresponsiveMembers = (
	heardAt: LastContactAt,
	listed: readonly string[],
	now: number,
	silentAfterMs: number,
): ReadonlySet<string> => {
	const silent = new Set<string>();
	for (const member of listed) {
		const heardAtMs = heardAt.get(member);
		if (heardAtMs === undefined) {
			heardAt.set(member, now);
		} else if (now - heardAtMs > silentAfterMs) {
			silent.add(member);
		}
	}

	return silent;
};
