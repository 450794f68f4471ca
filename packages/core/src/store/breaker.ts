/**
 * Circuit breaker before the table service. While open it refuses at once;
 * then one probe at a time goes through; after the return the admitted rate
 * rises slowly, so that many daemons do not return as one burst.
 * Source: M. Nygard, Release It!; docs/design/platform-port.md.
 */
import {match} from 'ts-pattern';

/** Settings of a breaker; times in milliseconds. */
export type BreakerConfig = {
	/** Failures in a row that open it. */
	readonly openAfterFailures: number;
	readonly firstOpenMs: number;
	readonly maxOpenMs: number;
	/** A probe without an outcome counts as failed after this. */
	readonly probeTimeoutMs: number;
	/** Time in which the admitted rate rises to all of it. */
	readonly rampMs: number;
	/** Share of the rate right after the return, from 0 to 1. */
	readonly firstShare: number;
};

/** Settings in force when none are given. */
export const defaultBreakerConfig: BreakerConfig = {
	openAfterFailures: 5,
	firstOpenMs: 500,
	maxOpenMs: 4000,
	probeTimeoutMs: 5000,
	rampMs: 10_000,
	firstShare: 0.2,
};

/** State of a breaker. */
export type Breaker =
	| {
			readonly kind: 'closed';
			readonly failures: number;
			/** When it last closed; absent if it never opened. */
			readonly closedAt?: number;
	  }
	/** `openings` counts those since it was last closed. */
	| {readonly kind: 'open'; readonly until: number; readonly openings: number}
	| {
			readonly kind: 'probing';
			readonly since: number;
			readonly openings: number;
	  };

/** A breaker that has seen nothing. */
export const closedBreaker: Breaker = {kind: 'closed', failures: 0};

/** Whether a call may go, and the state after it has been asked. */
export type Admission = {
	readonly breaker: Breaker;
	readonly isAdmitted: boolean;
};

/** Decides on one call. An admitted call must report its outcome. */
export const admitCall = (
	breaker: Breaker,
	cfg: BreakerConfig,
	now: number,
): Admission =>
	match(breaker)
		.with({kind: 'closed'}, () => ({breaker, isAdmitted: true}))
		.with({kind: 'open'}, ({until, openings}) =>
			now < until
				? {breaker, isAdmitted: false}
				: {
						breaker: {kind: 'probing', since: now, openings} as const,
						isAdmitted: true,
					},
		)
		.with({kind: 'probing'}, ({since, openings}) =>
			now - since < cfg.probeTimeoutMs
				? {breaker, isAdmitted: false}
				: {
						breaker: {kind: 'probing', since: now, openings} as const,
						isAdmitted: true,
					},
		)
		.exhaustive();

/** True if a call that starts now would be refused; changes nothing. */
export const isRefusing = (
	breaker: Breaker,
	cfg: BreakerConfig,
	now: number,
): boolean => !admitCall(breaker, cfg, now).isAdmitted;

/** Takes in a call that the service answered. */
export const recordAnswer = (breaker: Breaker, now: number): Breaker =>
	match(breaker)
		.with({kind: 'closed'}, (closed) =>
			closed.failures === 0 ? closed : {...closed, failures: 0},
		)
		.with({kind: 'probing'}, () => ({
			kind: 'closed' as const,
			failures: 0,
			closedAt: now,
		}))
		// A late answer to a call from before; the probe will tell.
		.with({kind: 'open'}, (open) => open)
		.exhaustive();

/** Half to all of an exponentially growing time. */
const getOpenMs = (
	cfg: BreakerConfig,
	openings: number,
	random: number,
): number => {
	const grownMs = cfg.firstOpenMs * 2 ** Math.min(openings, 30);
	return Math.min(cfg.maxOpenMs, grownMs) * (0.5 + random / 2);
};

/**
 * Takes in a call that failed as unavailable or timed out.
 * @param random - A number in [0, 1) for jitter.
 */
export const recordFailure = (
	breaker: Breaker,
	cfg: BreakerConfig,
	now: number,
	random: number,
): Breaker => {
	const open = (openings: number): Breaker => ({
		kind: 'open',
		until: now + getOpenMs(cfg, openings, random),
		openings: openings + 1,
	});
	return match(breaker)
		.with({kind: 'closed'}, (closed) => {
			const failures = closed.failures + 1;
			return failures < cfg.openAfterFailures ? {...closed, failures} : open(0);
		})
		.with({kind: 'probing'}, ({openings}) => open(openings))
		.with({kind: 'open'}, (still) => still)
		.exhaustive();
};

/** Share of the rate that may be used now, from 0 to 1. */
export const getRampShare = (
	breaker: Breaker,
	cfg: BreakerConfig,
	now: number,
): number => {
	if (breaker.kind !== 'closed') {
		return cfg.firstShare;
	}

	if (breaker.closedAt === undefined) {
		return 1;
	}

	const passed = Math.max(0, now - breaker.closedAt) / cfg.rampMs;
	return Math.min(1, cfg.firstShare + (1 - cfg.firstShare) * passed);
};
