/** Settings of at-most-once requests. All times are in milliseconds. */

/** Settings; normally equal on all entries, but correct if they differ. */
export type Settings = {
	/** How long a key is stored, counted from its started row. */
	readonly retentionMs: number;
	/** Longest wait for the store before a request is sent. */
	readonly storeWithinMs: number;
	/** Failed calls to the store after which a request is refused. */
	readonly storeTries: number;
	/** Longest time from the started write to the dispatch. */
	readonly dispatchWithinMs: number;
	/** How long after the deadline a holder tries to record the result. */
	readonly settleWithinMs: number;
	/** Maximum difference between the clocks of two entries. */
	readonly clockSkewMs: number;
	/** First and longest pause between calls to a failing store. */
	readonly pauseMs: number;
	readonly maxPauseMs: number;
	/** First and longest pause between reads of a running request's row. */
	readonly pollMs: number;
	readonly maxPollMs: number;
	/** Answers up to this size are stored in the row, larger ones as objects. */
	readonly inlineBytes: number;
	/** Answers above this size are not stored. */
	readonly maxAnswerBytes: number;
	/** Number of tries to store an answer in the object store. */
	readonly putTries: number;
	/**
	 * Outcome reported for a request that is refused because of a store outage.
	 * `unknown` holds for its key. `not-run` holds for this request only: an
	 * earlier one with the same key may have run.
	 */
	readonly outageOutcome: 'unknown' | 'not-run';
	/** True to read the row before writing; else a conflict returns the row. */
	readonly isReadFirst: boolean;
};

const hourMs = 3_600_000;

/** Default settings. */
export const defaultSettings: Settings = {
	retentionMs: 24 * hourMs,
	storeWithinMs: 1000,
	storeTries: 3,
	dispatchWithinMs: 300_000,
	settleWithinMs: 60_000,
	clockSkewMs: 10_000,
	pauseMs: 25,
	maxPauseMs: 1000,
	pollMs: 50,
	maxPollMs: 1000,
	inlineBytes: 4096,
	maxAnswerBytes: 4_194_304,
	putTries: 5,
	outageOutcome: 'unknown',
	isReadFirst: true,
};

/** Minimum retention, since callers may repeat requests after minutes. */
export const minRetentionMs = 600_000;

/** An invalid setting: its key, its value and the allowed range. */
export type SettingsProblem = {
	readonly key: keyof Settings;
	readonly found: number;
	readonly allowed: string;
};

/**
 * Shortest retention that is safe with the other settings: a row outlives
 * every dispatch and every write of its holder, on any entry's clock.
 */
export const getShortestRetentionMs = (settings: Settings): number =>
	Math.max(
		minRetentionMs,
		2 *
			(settings.dispatchWithinMs +
				settings.settleWithinMs +
				settings.clockSkewMs),
	);

/** Lists invalid settings. */
export const checkSettings = (settings: Settings): SettingsProblem[] => {
	const positive = Object.entries(settings).flatMap(([key, found]) =>
		typeof found !== 'number' || found > 0
			? []
			: [{key: key as keyof Settings, found, allowed: 'above 0'}],
	);
	const shortestMs = getShortestRetentionMs(settings);
	const retention =
		settings.retentionMs >= shortestMs
			? []
			: [
					{
						key: 'retentionMs' as const,
						found: settings.retentionMs,
						allowed: `at least ${shortestMs}`,
					},
				];
	return [...positive, ...retention];
};
