/** Clocks of a daemon, and how long something is ago at most. */

/** Sources of time. */
export type Clock = {
	/** Steady clock in milliseconds; stands still while suspended. */
	readonly now: () => number;
	/** Time of day in milliseconds since 1970; may jump. */
	readonly epochNow: () => number;
};

/** One moment by both clocks. */
export type Moment = {readonly at: number; readonly epochAt: number};

/** The present moment. */
export const getMoment = ({now, epochNow}: Clock): Moment => ({
	at: now(),
	epochAt: epochNow(),
});

/**
 * Time since a moment by the clock that shows more: the steady clock does not
 * count a suspension, the time of day may be set back.
 */
export const getMaxElapsedMs = (clock: Clock, since: Moment): number =>
	Math.max(clock.now() - since.at, clock.epochNow() - since.epochAt);

/**
 * Whether something that was confirmed at a moment may still be counted on.
 * It is not before it was ever confirmed.
 */
export const isConfirmedWithin = (
	clock: Clock,
	confirmed: Moment | undefined,
	ms: number,
): boolean => confirmed !== undefined && getMaxElapsedMs(clock, confirmed) < ms;

/** Resolves after a time. */
export const delay = async (ms: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
