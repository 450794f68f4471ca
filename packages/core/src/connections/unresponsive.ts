/**
 * When an attempt counts as silent, and what a probe on a new connection
 * then tells: the old connections are dead, or the executor is.
 */

/** Bounds of the threshold. */
export type UnresponsiveConfig = {
	/** Quantile of service time that is estimated, in (0, 1). */
	readonly quantile: number;
	/** Multiple of the quantile that counts as silence. */
	readonly factor: number;
	readonly minMs: number;
	readonly maxMs: number;
	/** Time within which a probe is answered. */
	readonly probeTimeoutMs: number;
	/** Time between two probes of one executor, at least. */
	readonly probeGapMs: number;
};

/** Settings that the bench `faults` was measured with. */
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

/** Makes an estimate that knows nothing. */
export const createServiceTime = (): ServiceTime => ({
	meanMs: 0,
	quantileMs: 0,
	samples: 0,
});

const warmUpSamples = 20;
const meanSmoothing = 0.05;
const quantileStep = 0.2;
/** Lets an estimate that is far too high fall in thousands of samples. */
const quantileStepShare = 0.05;

/**
 * Adds one measured time. The quantile follows by steps in proportion to
 * the mean: up by `quantile`, down by `1 - quantile` (Robbins and Monro
 * 1951), so that it needs no stored samples.
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

/** Time without a byte after which an attempt counts as silent. */
export const getUnresponsiveAfterMs = (
	time: ServiceTime,
	cfg: UnresponsiveConfig,
): number =>
	time.samples < warmUpSamples
		? cfg.maxMs
		: Math.min(cfg.maxMs, Math.max(cfg.minMs, time.quantileMs * cfg.factor));

/** What is known of the connections to one executor; updated in place. */
export type UnresponsiveState = {
	/** Since when connections that were not proved later are in doubt. */
	suspectedAt: number | undefined;
	probing: boolean;
	lastProbeAt: number;
};

/** Makes the state of an executor whose connections are trusted. */
export const createUnresponsiveState = (): UnresponsiveState => ({
	suspectedAt: undefined,
	probing: false,
	lastProbeAt: Number.NEGATIVE_INFINITY,
});

/** True if connections are in doubt and a probe is to start now. */
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
 * Takes note that an attempt is silent. True if a probe on a new connection
 * is to start now; otherwise ask `startProbeIfDue` again later.
 */
export const recordUnresponsive = (
	state: UnresponsiveState,
	cfg: UnresponsiveConfig,
	now: number,
): boolean => {
	state.suspectedAt ??= now;
	return startProbeIfDue(state, cfg, now);
};

/** What a probe on a new connection showed. */
export type ProbeVerdict =
	/** New connections work and old ones do not: retire the old ones. */
	| {readonly kind: 'retire-older'; readonly before: number}
	/** Nothing is silent any more: the executor was merely slow. */
	| {readonly kind: 'recovered'}
	/** New connections do not work either. */
	| {readonly kind: 'unreachable'};

/**
 * Ends a probe that began at `state.lastProbeAt`.
 *
 * @param answered whether the new connection answered
 * @param stillSilent whether an attempt on an older connection is silent still
 */
export const recordProbe = (
	state: UnresponsiveState,
	answered: boolean,
	stillSilent: boolean,
): ProbeVerdict => {
	state.probing = false;
	state.suspectedAt = undefined;
	if (!answered) {
		return {kind: 'unreachable'};
	}

	return stillSilent
		? {kind: 'retire-older', before: state.lastProbeAt}
		: {kind: 'recovered'};
};
