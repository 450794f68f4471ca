/** Clocks of a daemon and conservative measures of elapsed time. */

/** Sources of time. */
export type Clock = {
	/** Monotonic clock in milliseconds; does not advance during a suspension. */
	readonly now: () => number;
	/** Wall clock in milliseconds since the Unix epoch; may jump. */
	readonly epochNow: () => number;
};

/** A moment by both clocks, in milliseconds. */
export type Moment = {readonly at: number; readonly epochAt: number};

export const getMoment = ({now, epochNow}: Clock): Moment => ({
	at: now(),
	epochAt: epochNow(),
});

/**
 * Returns the longer of the times elapsed on both clocks, in milliseconds: the
 * monotonic clock omits suspensions, and the wall clock may be set back.
 */
export const getMaxElapsedMs = (clock: Clock, since: Moment): number =>
	Math.max(clock.now() - since.at, clock.epochNow() - since.epochAt);

/** Whether something was confirmed less than `ms` milliseconds ago. */
export const isConfirmedWithin = (
	clock: Clock,
	confirmed: Moment | undefined,
	ms: number,
): boolean => confirmed !== undefined && getMaxElapsedMs(clock, confirmed) < ms;

/** Resolves after `ms` milliseconds. */
export const delay = async (ms: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
