/**
 * Circuit breaker for the table service. While open, it refuses calls at once;
 * then it admits one probe at a time. After recovery the admitted rate rises
 * slowly, so that daemons do not return in one burst.
 * Source: M. Nygard, Release It!; docs/design/platform-port.md.
 */
import {match} from 'ts-pattern';

/** Settings of a breaker; times in milliseconds. */
export type BreakerConfig = {
	/** Consecutive failures that open the breaker. */
	readonly openAfterFailures: number;
	readonly firstOpenMs: number;
	readonly maxOpenMs: number;
	/** Time after which a probe without an outcome counts as failed. */
	readonly probeTimeoutMs: number;
	/** Time in which the admitted rate rises to the full rate. */
	readonly rampMs: number;
	/** Share of the rate at recovery, from 0 to 1. */
	readonly firstShare: number;
};

/** Default settings. */
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
			/** When the breaker last closed; absent if it never opened. */
			readonly closedAt?: number;
	  }
	/** `openings` counts how often it opened since it was last closed. */
	| {readonly kind: 'open'; readonly until: number; readonly openings: number}
	| {
			readonly kind: 'probing';
			readonly since: number;
			readonly openings: number;
	  };

/** Initial state. */
export const closedBreaker: Breaker = {kind: 'closed', failures: 0};

/** The decision on a call and the new state. */
export type Admission = {
	readonly breaker: Breaker;
	readonly isAdmitted: boolean;
};

/**
 * Decides whether a call is admitted. The caller must report the outcome of an
 * admitted call.
 */
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

/** Whether a call that starts now would be refused; changes nothing. */
export const isRefusing = (
	breaker: Breaker,
	cfg: BreakerConfig,
	now: number,
): boolean => !admitCall(breaker, cfg, now).isAdmitted;

/** Records a call that the service answered. */
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
		// A late answer to an earlier call; only the probe decides.
		.with({kind: 'open'}, (open) => open)
		.exhaustive();

/**
 * Exponentially growing open time, with jitter on its upper half, in
 * milliseconds.
 */
const getOpenMs = (
	cfg: BreakerConfig,
	openings: number,
	random: number,
): number => {
	const uncappedMs = cfg.firstOpenMs * 2 ** Math.min(openings, 30);
	return Math.min(cfg.maxOpenMs, uncappedMs) * (0.5 + random / 2);
};

/**
 * Records a call that failed as unavailable or timed out.
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

/** Share of the rate that is admitted now, from 0 to 1. */
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

	const elapsedShare = Math.max(0, now - breaker.closedAt) / cfg.rampMs;
	return Math.min(1, cfg.firstShare + (1 - cfg.firstShare) * elapsedShare);
};
