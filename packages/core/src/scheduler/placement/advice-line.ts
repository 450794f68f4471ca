/**
 * When a daemon calls the advice service. The service handles one call at a time
 * for each calling machine, and a call that is given up still takes its turn, so
 * that sending it again only makes the line longer. One call is under way for all
 * owners of a daemon. Only if it takes much longer than the service's stated time
 * is a further one sent, since an answer may be lost: each waits longer for its
 * turn than the one before.
 */
import {match} from 'ts-pattern';

/** Settings of the line; times are in milliseconds. */
export type AdviceLineConfig = {
	/** Calls under way, overdue ones among them. */
	readonly maxCalls: number;
	/** A call is overdue after this multiple of its expected time ... */
	readonly overdueFactor: number;
	/** ... and this, for the network. */
	readonly allowanceMs: number;
	/** Shortest time after which a call is given up. */
	readonly timeoutMs: number;
	/** Pause after a call that failed; it doubles with each further one ... */
	readonly pauseMs: number;
	/** ... up to this. */
	readonly maxPauseMs: number;
	/** Highest known ratio of the time taken to the stated one. */
	readonly maxSlowness: number;
};

/** Default settings. */
export const defaultAdviceLineConfig: AdviceLineConfig = {
	maxCalls: 4,
	overdueFactor: 2,
	allowanceMs: 300,
	timeoutMs: 15_000,
	pauseMs: 250,
	maxPauseMs: 4000,
	maxSlowness: 16,
};

/** A call without an answer so far. */
export type AdviceCall = {
	readonly sentAt: number;
	/** Stated time that the service takes for it, in milliseconds. */
	readonly costMs: number;
	/** Until its answer, those of the calls before included, in milliseconds. */
	readonly expectedMs: number;
	readonly overdueAt: number;
	/** After which it is given up. */
	readonly timeoutMs: number;
};

/** The calls of a daemon, and how the service has answered lately. */
export type AdviceLine = {
	readonly calls: readonly AdviceCall[];
	/** Ratio of the time that the service takes to the stated one, at least 1. */
	readonly slowness: number;
	/** Calls that failed since the last answer. */
	readonly failures: number;
	readonly pausedUntil: number;
};

export const emptyAdviceLine: AdviceLine = {
	calls: [],
	slowness: 1,
	failures: 0,
	pausedUntil: Number.NEGATIVE_INFINITY,
};

/** How a call ended. `busy`: the service has too many calls of this machine. */
export type AdviceOutcome = 'answered' | 'busy' | 'no-answer';

/** Returns when the next call may be sent, unless one ends before. */
export const getNextCallAt = (
	{calls, pausedUntil}: AdviceLine,
	cfg: AdviceLineConfig = defaultAdviceLineConfig,
): number =>
	calls.length >= cfg.maxCalls
		? Number.POSITIVE_INFINITY
		: Math.max(pausedUntil, ...calls.map(({overdueAt}) => overdueAt));

/** Adds a call that is sent now. */
export const beginAdviceCall = (
	line: AdviceLine,
	costMs: number,
	now: number,
	cfg: AdviceLineConfig = defaultAdviceLineConfig,
): {readonly line: AdviceLine; readonly call: AdviceCall} => {
	const {calls, slowness} = line;
	const stated = costMs + calls.reduce((sum, each) => sum + each.costMs, 0);
	const expectedMs = stated * slowness;
	const allowedMs = cfg.overdueFactor * expectedMs + cfg.allowanceMs;
	const call = {
		sentAt: now,
		costMs,
		expectedMs,
		overdueAt: now + allowedMs,
		timeoutMs: Math.max(cfg.timeoutMs, 2 * allowedMs),
	};
	return {line: {...line, calls: [...calls, call]}, call};
};

/** Doubles or halves it at most, as the answer to one call says little. */
const updateSlowness = (
	slowness: number,
	{sentAt, expectedMs}: AdviceCall,
	now: number,
	{allowanceMs, maxSlowness}: AdviceLineConfig,
): number => {
	const takenMs = Math.max(0, now - sentAt - allowanceMs);
	const ratio = expectedMs > 0 ? takenMs / expectedMs : 1;
	return Math.min(
		maxSlowness,
		Math.max(1, slowness * Math.min(2, Math.max(1 / 2, ratio))),
	);
};

/**
 * Removes a call that has ended. `random`, from 0 to 1, spreads the calls of
 * daemons that were refused together.
 */
export const endAdviceCall = (
	line: AdviceLine,
	call: AdviceCall,
	outcome: AdviceOutcome,
	{
		now,
		random,
		cfg = defaultAdviceLineConfig,
	}: {
		readonly now: number;
		readonly random: number;
		readonly cfg?: AdviceLineConfig;
	},
): AdviceLine => {
	const calls = line.calls.filter((each) => each !== call);
	return match(outcome)
		.with('answered', () => ({
			calls,
			slowness: updateSlowness(line.slowness, call, now, cfg),
			failures: 0,
			pausedUntil: now,
		}))
		.with('busy', 'no-answer', () => {
			const pauseMs = Math.min(
				cfg.maxPauseMs,
				cfg.pauseMs * 2 ** Math.min(line.failures, 16),
			);
			return {
				...line,
				calls,
				failures: line.failures + 1,
				pausedUntil: now + pauseMs * (0.5 + random / 2),
			};
		})
		.exhaustive();
};
