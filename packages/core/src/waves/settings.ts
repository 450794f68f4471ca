/** Settings of maintenance waves. Source: docs/design/waves.md. */
import {
	returnDefaults,
	type ReturnSettings,
} from '../budget/return-instance.js';
import type {ReserveKind} from '../budget/reserve.js';

/** What a wave is to save, in one unit that the operator chooses. */
export type WaveWeights = {
	/** Cost of moving one job. */
	readonly moves: number;
	/** Cost of one core held idle for one hour. */
	readonly bufferCoreHours: number;
	/** Cost of one hour by which an instance holds the wave up. */
	readonly rollOutHours: number;
};

/** How failure domains are taken. */
export const domainRules = ['only-whole', 'prefer-whole'] as const;

/** How failure domains are taken. */
export type DomainRule = (typeof domainRules)[number];

/** In which order racks are taken. */
export const waveOrders = ['any', 'by-availability-zone'] as const;

/** In which order racks are taken. */
export type WaveOrder = (typeof waveOrders)[number];

/** Settings of one wave. */
export type WaveSettings = {
	readonly weights: WaveWeights;
	/** Failure domain that must be able to fail during the wave. */
	readonly reserve: ReserveKind;
	/**
	 * `only-whole` waits for every job of a rack and takes it in one
	 * transaction; `prefer-whole` takes parts when no whole rack fits.
	 */
	readonly domains: DomainRule;
	/** Finishes begun availability zones first, or takes racks in any order. */
	readonly order: WaveOrder;
	/** Instances of a service that are emptied ahead of its budget. */
	readonly lookahead: number;
	/** Part of a pool without services that is at work at once, at most. */
	readonly unpromisedShare: number;
	/** Instances that are emptied or away at once, at most. */
	readonly maxInstances: number;
	/** Racks that are emptied or away at once, at most. */
	readonly maxDomains: number;
	/** A rack is put off no longer, whatever it costs to empty it. */
	readonly deferWithinMs: number;
	/** Expected time from a take until it is given back, in milliseconds. */
	readonly cycleMs: number;
	/** Time after which one that did not come back counts as lost. */
	readonly returnWithinMs: number;
	/** What an instance must show before it is given back. */
	readonly returns: ReturnSettings;
	/** Racks that one step compares before it chooses, at most. */
	readonly window: number;
};

const minuteMs = 60_000;

/** Defaults: moves, idle capacity and time weighed alike. */
export const waveDefaults: WaveSettings = {
	weights: {moves: 0.3, bufferCoreHours: 0.01, rollOutHours: 1},
	reserve: 'none',
	domains: 'prefer-whole',
	order: 'any',
	lookahead: 0,
	unpromisedShare: 0.1,
	maxInstances: Number.MAX_SAFE_INTEGER,
	maxDomains: Number.MAX_SAFE_INTEGER,
	deferWithinMs: 7 * 24 * 60 * minuteMs,
	cycleMs: 15 * minuteMs,
	returnWithinMs: 60 * minuteMs,
	returns: returnDefaults,
	window: 24,
};

/** Weights that save moves: jobs are waited for rather than moved. */
export const fewMovesWeights: WaveWeights = {
	moves: 2,
	bufferCoreHours: 0.005,
	rollOutHours: 0.1,
};

/** Weights that save idle capacity: jobs are moved rather than waited for. */
export const littleBufferWeights: WaveWeights = {
	moves: 0.02,
	bufferCoreHours: 0.05,
	rollOutHours: 0.5,
};

/** Weights that save time. */
export const fastWeights: WaveWeights = {
	moves: 0.1,
	bufferCoreHours: 0.002,
	rollOutHours: 3,
};
