/** Settings of at-most-once requests. All times are in milliseconds. */

/** Settings; the same on all entries, though none relies on it. */
export type Settings = {
	/** How long a key is remembered, counted from its `started` row. */
	readonly retentionMs: number;
	/** Longest wait for the store before a request is sent. */
	readonly storeWithinMs: number;
	/** Failed calls to the store after which a request is refused. */
	readonly storeTries: number;
	/** Nothing is sent later than this after its `started` write. */
	readonly dispatchWithinMs: number;
	/** After the deadline, how long a holder tries to record the end. */
	readonly settleWithinMs: number;
	/** Largest difference between the clocks of two entries. */
	readonly clockSkewMs: number;
	/** First and longest pause between calls to a failing store. */
	readonly pauseMs: number;
	readonly maxPauseMs: number;
	/** First and longest pause between reads of a request that runs. */
	readonly pollMs: number;
	readonly maxPollMs: number;
	/** Answers up to this stand in the row, larger ones in the object store. */
	readonly inlineBytes: number;
	/** Answers above this are not kept. */
	readonly maxAnswerBytes: number;
	/** Tries to put an answer in the object store before it is not kept. */
	readonly putTries: number;
	/**
	 * What a request is told that the store's outage keeps from running.
	 * `unknown` is true of its key. `not-run` is true of this request only:
	 * one with the same key may have run.
	 */
	readonly outageOutcome: 'unknown' | 'not-run';
	/** Reads the row before it writes; else a conflict shows the row. */
	readonly isReadFirst: boolean;
};

const hourMs = 3_600_000;

/** Settings where the operator gives none. */
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

/** Retention below this cannot be set: repeats come after minutes. */
export const minRetentionMs = 600_000;

/** An impossible setting: its key, what was found, and what is allowed. */
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

/** Finds impossible settings; an empty list means that all can be kept. */
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
