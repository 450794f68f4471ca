/**
 * Watches row versions for signs of life. One heartbeat row of a daemon
 * stands for all its shards, as one core group carries many light-weight
 * groups. No clocks are compared: a reader measures with its own clock how
 * long a version has stayed the same.
 */

/** When a version was first seen. */
export type ObservedVersion = {
	readonly version: number;
	/** End of the read that showed it first, in milliseconds. */
	readonly since: number;
};

/** What one reader has seen, by key of the row. */
export type Observations = {
	readonly lastReadAt: number;
	readonly rows: ReadonlyMap<string, ObservedVersion>;
};

/** Nothing seen yet. */
export const emptyObservations: Observations = {
	lastReadAt: Number.NEGATIVE_INFINITY,
	rows: new Map(),
};

/**
 * Takes in a read of all rows. After a gap without reads (an outage, a pause
 * of the reader) every row starts afresh: silence was not observed then.
 */
export const observeVersions = (
	known: Observations,
	versions: ReadonlyMap<string, number>,
	maxGapMs: number,
	now: number,
): Observations => {
	const isGap = now - known.lastReadAt > maxGapMs;
	const rows = new Map<string, ObservedVersion>();
	for (const [key, version] of versions) {
		const before = known.rows.get(key);
		const isSame = !isGap && before?.version === version;
		rows.set(key, isSame ? before : {version, since: now});
	}

	return {lastReadAt: now, rows};
};

/** How long a version has stayed the same; 0 if it is not the one seen. */
export const getUnchangedMs = (
	{rows, lastReadAt}: Observations,
	key: string,
	version: number,
): number => {
	const row = rows.get(key);
	return row?.version === version ? lastReadAt - row.since : 0;
};
