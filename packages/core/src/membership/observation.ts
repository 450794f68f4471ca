/**
 * Detects unresponsive daemons from row versions. One heartbeat row of a daemon
 * covers all its shards, as one core group carries many lightweight groups. No
 * clocks are compared: a reader measures with its local clock how long a
 * version has not changed.
 */

/** A version and when it was first read. */
export type ObservedVersion = {
	readonly version: number;
	/** End of the read that returned it first, in milliseconds. */
	readonly since: number;
};

/** Observations of one reader, by key of the row. */
export type Observations = {
	readonly lastReadAt: number;
	readonly rows: ReadonlyMap<string, ObservedVersion>;
};

/** Observations before the first read. */
export const emptyObservations: Observations = {
	lastReadAt: Number.NEGATIVE_INFINITY,
	rows: new Map(),
};

/**
 * Applies a read of all rows. After a gap between reads (an outage, a pause of
 * the reader), every row starts from zero, since nothing was observed during
 * the gap.
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
		const previous = known.rows.get(key);
		const isSame = !isGap && previous?.version === version;
		rows.set(key, isSame ? previous : {version, since: now});
	}

	return {lastReadAt: now, rows};
};

/**
 * Time for which a version has not changed, in milliseconds; 0 if the row has
 * another version.
 */
export const getUnchangedMs = (
	{rows, lastReadAt}: Observations,
	key: string,
	version: number,
): number => {
	const row = rows.get(key);
	return row?.version === version ? lastReadAt - row.since : 0;
};
