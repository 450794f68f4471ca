/**
 * Outlier detection over the executors of one service as one entry sees them:
 * ejects by consecutive failures, and by failure rate or latency compared with
 * the peers. Ejections are capped, so that a common failure cannot empty the
 * pool. State is updated in place. Source: docs/design/upstream-faults.md.
 */
import type {HealthConfig} from './health-config.js';

export type EjectionReason = 'failures' | 'unreachable' | 'slow';

/** Whether an executor gets requests. */
export type HealthStatus =
	| {readonly kind: 'serving'}
	/** Slow start after an ejection; its weight grows from `since` on. */
	| {readonly kind: 'returning'; readonly since: number}
	/** Gets no requests; a probe is due from `until` on. */
	| {
			readonly kind: 'ejected';
			readonly reason: EjectionReason;
			readonly until: number;
	  };

/** Health of one executor as one entry sees it. Times in milliseconds. */
export type ExecutorHealth = {
	readonly id: string;
	status: HealthStatus;
	consecutiveFailures: number;
	failureRate: number;
	latencyMs: number;
	samples: number;
	ejections: number;
	lastEjectedAt: number;
};

/** Health of the executors of one service. */
export type PoolHealth = {
	readonly cfg: HealthConfig;
	readonly executors: Map<string, ExecutorHealth>;
};

/** Result of an attempt or a probe. */
export type HealthEvent =
	| {
			readonly kind: 'answered';
			readonly latencyMs: number;
			/** Status of 500 or above: counts only toward the failure rate. */
			readonly serverError: boolean;
	  }
	/** No answer yet after this time, a lower bound of the latency. */
	| {readonly kind: 'slow'; readonly elapsedMs: number}
	/** Reset, truncated answer, refusal or missed deadline. */
	| {readonly kind: 'failed'}
	/** A new connection could not be opened or was unresponsive. */
	| {readonly kind: 'unreachable'}
	/** A probe on a new connection was answered. */
	| {readonly kind: 'probed'};

const createExecutorHealth = (id: string): ExecutorHealth => ({
	id,
	status: {kind: 'serving'},
	consecutiveFailures: 0,
	failureRate: 0,
	latencyMs: 0,
	samples: 0,
	ejections: 0,
	lastEjectedAt: Number.NEGATIVE_INFINITY,
});

/** Creates the health of an empty pool. */
export const createPoolHealth = (cfg: HealthConfig): PoolHealth => ({
	cfg,
	executors: new Map(),
});

/** Sets the executors; those already present keep their state. */
export const setExecutors = (
	pool: PoolHealth,
	ids: readonly string[],
): void => {
	const wanted = new Set(ids);
	for (const id of pool.executors.keys()) {
		if (!wanted.has(id)) {
			pool.executors.delete(id);
		}
	}

	for (const id of wanted) {
		if (!pool.executors.has(id)) {
			pool.executors.set(id, createExecutorHealth(id));
		}
	}
};

const getMedian = (values: number[]): number | undefined => {
	values.sort((a, b) => a - b);
	return values[Math.floor(values.length / 2)];
};

const getPeers = (pool: PoolHealth, of: ExecutorHealth): ExecutorHealth[] => {
	const peers: ExecutorHealth[] = [];
	for (const each of pool.executors.values()) {
		const counts = each.samples >= pool.cfg.minSamples;
		if (each !== of && counts && each.status.kind !== 'ejected') {
			peers.push(each);
		}
	}

	return peers;
};

const countEjected = (pool: PoolHealth): number => {
	let count = 0;
	for (const each of pool.executors.values()) {
		count += each.status.kind === 'ejected' ? 1 : 0;
	}

	return count;
};

/** True if the cap allows one more ejection. */
const mayEject = (pool: PoolHealth, reason: EjectionReason): boolean => {
	const {maxFailedShare, maxSlowShare} = pool.cfg;
	const share = reason === 'slow' ? maxSlowShare : maxFailedShare;
	return countEjected(pool) + 1 <= Math.floor(share * pool.executors.size);
};

const getEjectionMs = (cfg: HealthConfig, ejections: number): number =>
	Math.min(cfg.maxEjectionMs, cfg.baseEjectionMs * 2 ** (ejections - 1));

const eject = (
	pool: PoolHealth,
	executor: ExecutorHealth,
	reason: EjectionReason,
	now: number,
): void => {
	const {cfg} = pool;
	const forget = now - executor.lastEjectedAt > cfg.forgetAfterMs;
	executor.ejections = forget ? 1 : executor.ejections + 1;
	executor.lastEjectedAt = now;
	const until = now + getEjectionMs(cfg, executor.ejections);
	executor.status = {kind: 'ejected', reason, until};
};

const isReturning = (
	cfg: HealthConfig,
	{status}: ExecutorHealth,
	now: number,
): boolean =>
	status.kind === 'returning' && now - status.since < cfg.slowStartMs;

const hasFailureRate = (pool: PoolHealth, executor: ExecutorHealth) => {
	const rates = getPeers(pool, executor).map((each) => each.failureRate);
	const median = getMedian(rates);
	return (
		median !== undefined &&
		executor.failureRate > median + pool.cfg.failureRateMargin
	);
};

const isSlow = (pool: PoolHealth, executor: ExecutorHealth): boolean => {
	const {latencyFactor, latencyMarginMs} = pool.cfg;
	const peers = getPeers(pool, executor).map((each) => each.latencyMs);
	const median = getMedian(peers);
	return (
		median !== undefined &&
		executor.latencyMs > median * latencyFactor &&
		executor.latencyMs > median + latencyMarginMs
	);
};

/** Returns the reason to eject an executor, if any. */
const findReason = (
	pool: PoolHealth,
	executor: ExecutorHealth,
	now: number,
): EjectionReason | undefined => {
	const {cfg} = pool;
	const returning = isReturning(cfg, executor, now);
	const allowed = returning ? 1 : cfg.consecutiveFailures;
	if (executor.consecutiveFailures >= allowed) {
		return 'failures';
	}

	if (executor.samples < cfg.minSamples / (returning ? 2 : 1)) {
		return undefined;
	}

	if (hasFailureRate(pool, executor)) {
		return 'failures';
	}

	return isSlow(pool, executor) ? 'slow' : undefined;
};

const addLatency = (
	{smoothing}: HealthConfig,
	executor: ExecutorHealth,
	latencyMs: number,
): void => {
	const weight = executor.samples === 0 ? 1 : smoothing;
	executor.latencyMs += weight * (latencyMs - executor.latencyMs);
	executor.samples += 1;
};

const addFailureRate = (
	{smoothing}: HealthConfig,
	executor: ExecutorHealth,
	failed: boolean,
): void => {
	const sample = failed ? 1 : 0;
	executor.failureRate += smoothing * (sample - executor.failureRate);
};

/** Ends an ejection; resets all statistics but the number of ejections. */
const readmit = (executor: ExecutorHealth, now: number): void => {
	executor.status = {kind: 'returning', since: now};
	executor.consecutiveFailures = 0;
	executor.failureRate = 0;
	executor.samples = 0;
};

/** True if every executor that is not ejected is failing. */
export const isFailOpen = (pool: PoolHealth): boolean => {
	for (const each of pool.executors.values()) {
		const failing = each.consecutiveFailures >= pool.cfg.consecutiveFailures;
		if (each.status.kind !== 'ejected' && !failing) {
			return false;
		}
	}

	return pool.executors.size > 0;
};

const evaluate = (
	pool: PoolHealth,
	executor: ExecutorHealth,
	now: number,
): void => {
	if (executor.status.kind === 'ejected') {
		return;
	}

	const reason = findReason(pool, executor, now);
	if (reason !== undefined && mayEject(pool, reason)) {
		eject(pool, executor, reason, now);
	}
};

/** Ejects failing executors that the cap had kept in the pool. */
const evaluateAll = (pool: PoolHealth, now: number): void => {
	for (const each of pool.executors.values()) {
		evaluate(pool, each, now);
	}
};

const applyAnswer = (
	pool: PoolHealth,
	executor: ExecutorHealth,
	event: Extract<HealthEvent, {kind: 'answered'}>,
	now: number,
): void => {
	if (executor.status.kind === 'ejected') {
		// Sent before the ejection, unless the pool has failed open.
		if (isFailOpen(pool)) {
			readmit(executor, now);
			evaluateAll(pool, now);
		}

		return;
	}

	executor.consecutiveFailures = 0;
	addLatency(pool.cfg, executor, event.latencyMs);
	addFailureRate(pool.cfg, executor, event.serverError);
};

const applyUnreachable = (
	pool: PoolHealth,
	executor: ExecutorHealth,
	now: number,
): void => {
	const {cfg} = pool;
	executor.consecutiveFailures = Math.max(
		executor.consecutiveFailures + 1,
		cfg.consecutiveFailures,
	);
	const {status} = executor;
	const isAlreadyEjected = status.kind === 'ejected' && now < status.until;
	// A failed probe of an ejected executor doesn't increase the number ejected.
	if (
		!isAlreadyEjected &&
		(status.kind === 'ejected' || mayEject(pool, 'unreachable'))
	) {
		eject(pool, executor, 'unreachable', now);
	}
};

/** Records a result; ejects or readmits the executor accordingly. */
export const recordEvent = (
	pool: PoolHealth,
	id: string,
	event: HealthEvent,
	now: number,
): void => {
	const executor = pool.executors.get(id);
	if (executor === undefined) {
		return;
	}

	switch (event.kind) {
		case 'answered': {
			applyAnswer(pool, executor, event, now);
			break;
		}

		case 'slow': {
			addLatency(pool.cfg, executor, event.elapsedMs);
			break;
		}

		case 'failed': {
			executor.consecutiveFailures += 1;
			executor.samples += 1;
			addFailureRate(pool.cfg, executor, true);
			break;
		}

		case 'unreachable': {
			applyUnreachable(pool, executor, now);
			break;
		}

		case 'probed': {
			const {status} = executor;
			if (status.kind === 'ejected' && now >= status.until) {
				readmit(executor, now);
			}

			break;
		}
	}

	evaluate(pool, executor, now);
};
