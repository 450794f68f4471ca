/**
 * Guards calls to the store with a circuit breaker, shared by reads and writes,
 * and a rate limit for each of the two.
 */
import * as core from '@gullstand/core';

/** Clock, delay and random source. */
export type Environment = {
	/** The present time, in milliseconds. */
	readonly now: () => number;
	readonly wait: (delayMs: number) => Promise<void>;
	/** Returns a number in [0, 1). */
	readonly random: () => number;
};

/** Rate limits of this daemon: its share of the fleet's rates. */
export type RateShare = {
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
};

/** Rates of the whole fleet; the rest is reserved for the platform. */
export const defaultFleetRate: RateShare = {
	readsPerSecond: 2000,
	writesPerSecond: 300,
};

/** Settings of the guard; times in milliseconds. */
export type GuardConfig = {
	readonly share: RateShare;
	/** Fraction of a rate that may be used in one burst, from 0 to 1. */
	readonly burstShare: number;
	/** A call that would have to wait longer is refused. */
	readonly maxWaitMs: number;
	readonly breaker: core.store.BreakerConfig;
};

/** Default settings, except for the share. */
export const defaultGuardConfig: Omit<GuardConfig, 'share'> = {
	burstShare: 0.2,
	maxWaitMs: 2000,
	breaker: core.store.defaultBreakerConfig,
};

/** Counters of a guard since its creation. */
export type GuardCounts = {
	reads: number;
	writes: number;
	failures: number;
	/** Calls refused by the circuit breaker, without being sent. */
	refusedByBreaker: number;
	/** Calls refused by the rate limit, without being sent. */
	refusedByRateLimit: number;
};

type CallKind = 'reads' | 'writes';

type CallResult<Value, Failure> = core.Result<
	Value,
	Failure | {readonly kind: 'unavailable'}
>;

/** Runs calls through the breaker and the rate limit. */
export type Guard = {
	readonly call: <Value, Failure extends {readonly kind: string}>(
		kind: CallKind,
		tokens: number,
		action: () => Promise<core.Result<Value, Failure>>,
	) => Promise<CallResult<Value, Failure>>;
	readonly setShare: (share: RateShare) => void;
	/** Returns the recent demand, including refused calls. */
	readonly getDemand: () => RateShare;
	readonly counts: Readonly<GuardCounts>;
	readonly getBreaker: () => core.store.Breaker;
};

type State = {
	readonly cfg: GuardConfig;
	readonly env: Environment;
	readonly counts: GuardCounts;
	readonly buckets: Record<CallKind, core.store.TokenBucket>;
	readonly demands: Record<CallKind, core.store.Demand>;
	share: RateShare;
	breaker: core.store.Breaker;
};

const getBucketConfig = (
	state: Pick<State, 'cfg' | 'share'>,
	kind: CallKind,
	rampShare: number,
): core.store.TokenBucketConfig => {
	const rate =
		kind === 'reads' ? state.share.readsPerSecond : state.share.writesPerSecond;
	return core.store.createBucketConfig(rate * rampShare, state.cfg.burstShare);
};

const getWaitMs = (
	state: State,
	kind: CallKind,
	tokens: number,
): number | undefined => {
	const {cfg, breaker} = state;
	const now = state.env.now();
	const rampShare = core.store.getRampShare(breaker, cfg.breaker, now);
	const bucket = state.buckets[kind];
	core.store.updateRate(bucket, getBucketConfig(state, kind, rampShare), now);
	return core.store.reserveTokens(bucket, tokens, now, cfg.maxWaitMs);
};

const recordResult = (state: State, isFailure: boolean): void => {
	const now = state.env.now();
	if (isFailure) {
		state.counts.failures += 1;
		state.breaker = core.store.recordFailure(
			state.breaker,
			state.cfg.breaker,
			now,
			state.env.random(),
		);
		return;
	}

	const wasClosed = state.breaker.kind === 'closed';
	state.breaker = core.store.recordAnswer(state.breaker, now);
	if (!wasClosed && state.breaker.kind === 'closed') {
		core.store.drainTokens(state.buckets.reads, now);
		core.store.drainTokens(state.buckets.writes, now);
	}
};

const isStoreFailure = (failure: {readonly kind: string}): boolean =>
	failure.kind === 'unavailable' || failure.kind === 'timeout';

const createState = (cfg: GuardConfig, env: Environment): State => {
	const base = {cfg, share: cfg.share};
	const createBucket = (kind: CallKind) =>
		core.store.createTokenBucket(getBucketConfig(base, kind, 1), env.now());
	const createDemand = () => core.store.createDemand(0, env.now());
	return {
		...base,
		env,
		demands: {reads: createDemand(), writes: createDemand()},
		buckets: {reads: createBucket('reads'), writes: createBucket('writes')},
		counts: {
			reads: 0,
			writes: 0,
			failures: 0,
			refusedByBreaker: 0,
			refusedByRateLimit: 0,
		},
		breaker: core.store.closedBreaker,
	};
};

const refuseByBreaker = (state: State) => {
	state.counts.refusedByBreaker += 1;
	return core.fail({kind: 'unavailable'} as const);
};

const runCall = async <Value, Failure extends {readonly kind: string}>(
	state: State,
	kind: CallKind,
	tokens: number,
	action: () => Promise<core.Result<Value, Failure>>,
): Promise<CallResult<Value, Failure>> => {
	const {cfg, env} = state;
	core.store.recordDemand(state.demands[kind], tokens, env.now());
	if (core.store.isRefusing(state.breaker, cfg.breaker, env.now())) {
		return refuseByBreaker(state);
	}

	const waitMs = getWaitMs(state, kind, tokens);
	if (waitMs === undefined) {
		state.counts.refusedByRateLimit += 1;
		return core.fail({kind: 'unavailable'});
	}

	if (waitMs > 0) {
		await env.wait(waitMs);
	}

	// The breaker may have opened during the wait.
	const admission = core.store.admitCall(state.breaker, cfg.breaker, env.now());
	state.breaker = admission.breaker;
	if (!admission.isAdmitted) {
		return refuseByBreaker(state);
	}

	state.counts[kind] += tokens;
	const result = await action();
	recordResult(state, !result.ok && isStoreFailure(result.error));
	return result;
};

/** Creates a guard. A refused call fails as `unavailable`, without effect. */
export const createGuard = (cfg: GuardConfig, env: Environment): Guard => {
	const state = createState(cfg, env);
	return {
		call: async (kind, tokens, action) => runCall(state, kind, tokens, action),
		setShare(share) {
			state.share = share;
		},
		getDemand: () => ({
			readsPerSecond: core.store.getDemand(state.demands.reads, env.now()),
			writesPerSecond: core.store.getDemand(state.demands.writes, env.now()),
		}),
		counts: state.counts,
		getBreaker: () => state.breaker,
	};
};
