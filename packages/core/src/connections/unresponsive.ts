/**
 * Detects unresponsive attempts. A probe on a new connection then shows
 * whether the old connections or the executor failed.
 */

/** Settings of the detection. */
export type UnresponsiveConfig = {
	/** Estimated quantile of service time, in (0, 1). */
	readonly quantile: number;
	/** Multiple of the quantile after which an attempt is unresponsive. */
	readonly factor: number;
	readonly minMs: number;
	readonly maxMs: number;
	/** Time within which a probe must be answered. */
	readonly probeTimeoutMs: number;
	/** Minimum time between two probes of one executor. */
	readonly probeGapMs: number;
};

/** Default settings. */
export const defaultUnresponsiveConfig: UnresponsiveConfig = {
	quantile: 0.99,
	factor: 2,
	minMs: 50,
	maxMs: 700,
	probeTimeoutMs: 500,
	probeGapMs: 500,
};

/** Running estimate of service time; updated in place. */
export type ServiceTime = {
	meanMs: number;
	quantileMs: number;
	samples: number;
};

/** Creates an estimate without samples. */
export const createServiceTime = (): ServiceTime => ({
	meanMs: 0,
	quantileMs: 0,
	samples: 0,
});

const warmUpSamples = 20;
const meanSmoothing = 0.05;
const quantileStep = 0.2;
/** Minimum step relative to the quantile, so that a high estimate can fall. */
const quantileStepShare = 0.05;

/**
 * Adds one measured time. The quantile is estimated without stored samples, by
 * steps in proportion to the mean: up by `quantile`, down by `1 - quantile`
 * (Robbins and Monro, 1951).
 */
export const recordServiceTime = (
	time: ServiceTime,
	cfg: UnresponsiveConfig,
	sampleMs: number,
): void => {
	time.samples += 1;
	if (time.samples <= warmUpSamples) {
		time.meanMs += (sampleMs - time.meanMs) / time.samples;
		time.quantileMs = Math.max(time.quantileMs, sampleMs);
		return;
	}

	time.meanMs += meanSmoothing * (sampleMs - time.meanMs);
	const above = sampleMs > time.quantileMs;
	const step = Math.max(
		quantileStep * time.meanMs,
		quantileStepShare * time.quantileMs,
	);
	time.quantileMs += step * (above ? cfg.quantile : cfg.quantile - 1);
};

/** Time without a byte after which an attempt counts as unresponsive. */
export const getUnresponsiveAfterMs = (
	time: ServiceTime,
	cfg: UnresponsiveConfig,
): number =>
	time.samples < warmUpSamples
		? cfg.maxMs
		: Math.min(cfg.maxMs, Math.max(cfg.minMs, time.quantileMs * cfg.factor));

/** State of the connections to one executor; updated in place. */
export type UnresponsiveState = {
	/** Since when connections without received bytes are suspected. */
	suspectedAt: number | undefined;
	probing: boolean;
	lastProbeAt: number;
};

/** Creates the state without suspicion. */
export const createUnresponsiveState = (): UnresponsiveState => ({
	suspectedAt: undefined,
	probing: false,
	lastProbeAt: Number.NEGATIVE_INFINITY,
});

/** True if connections are suspected and a probe is due; marks it started. */
export const startProbeIfDue = (
	state: UnresponsiveState,
	cfg: UnresponsiveConfig,
	now: number,
): boolean => {
	const tooSoon = now - state.lastProbeAt < cfg.probeGapMs;
	if (state.suspectedAt === undefined || state.probing || tooSoon) {
		return false;
	}

	state.probing = true;
	state.lastProbeAt = now;
	return true;
};

/**
 * Records that an attempt is unresponsive. True if a probe on a new connection
 * must start now; otherwise call `startProbeIfDue` later.
 */
export const recordUnresponsive = (
	state: UnresponsiveState,
	cfg: UnresponsiveConfig,
	now: number,
): boolean => {
	state.suspectedAt ??= now;
	return startProbeIfDue(state, cfg, now);
};

/** Result of a probe on a new connection. */
export type ProbeVerdict =
	/** New connections work: retire those opened before `before`. */
	| {readonly kind: 'retire-older'; readonly before: number}
	/** No attempt is unresponsive any longer: the executor was slow. */
	| {readonly kind: 'recovered'}
	/** New connections don't work either. */
	| {readonly kind: 'unreachable'};

/**
 * Records the result of the probe that started at `state.lastProbeAt`.
 *
 * @param answered whether the new connection answered
 * @param isStillUnresponsive whether an attempt on an older connection is
 *   still unresponsive
 */
export const recordProbe = (
	state: UnresponsiveState,
	answered: boolean,
	isStillUnresponsive: boolean,
): ProbeVerdict => {
	state.probing = false;
	state.suspectedAt = undefined;
	if (!answered) {
		return {kind: 'unreachable'};
	}

	return isStillUnresponsive
		? {kind: 'retire-older', before: state.lastProbeAt}
		: {kind: 'recovered'};
};
