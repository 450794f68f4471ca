/** Settings of maintenance waves. Source: docs/design/waves.md. */
import {
	returnDefaults,
	type ReturnSettings,
} from '../budget/return-instance.js';
import type {ReserveKind} from '../budget/reserve.js';

/** Costs that a wave minimizes, in a common unit that the operator chooses. */
export type WaveWeights = {
	/** Cost of moving one job. */
	readonly moves: number;
	/** Cost of one core held idle for one hour. */
	readonly bufferCoreHours: number;
	/** Cost of one hour by which an instance delays the wave. */
	readonly rollOutHours: number;
};

/** Whether racks must be withdrawn as a whole. */
export const domainRules = ['only-whole', 'prefer-whole'] as const;

/** Whether racks must be withdrawn as a whole. */
export type DomainRule = (typeof domainRules)[number];

/** Order in which racks are maintained. */
export const waveOrders = ['any', 'by-availability-zone'] as const;

/** Order in which racks are maintained. */
export type WaveOrder = (typeof waveOrders)[number];

/** Settings of one wave. */
export type WaveSettings = {
	readonly weights: WaveWeights;
	/** Failure domain whose loss the services must survive during the wave. */
	readonly reserve: ReserveKind;
	/**
	 * `only-whole` waits for every job of a rack and withdraws the rack in one
	 * transaction; `prefer-whole` withdraws parts when no whole rack fits.
	 */
	readonly domains: DomainRule;
	/**
	 * `by-availability-zone` maintains one zone after another; `any` ignores
	 * zones.
	 */
	readonly order: WaveOrder;
	/** Number of instances of a service that may evacuate ahead of its budget. */
	readonly lookahead: number;
	/**
	 * Maximum share, from 0 to 1, of a pool without services that is in
	 * maintenance at once.
	 */
	readonly unpromisedShare: number;
	/** Maximum number of instances evacuating or withdrawn at once. */
	readonly maxInstances: number;
	/** Maximum number of racks with evacuating or withdrawn instances at once. */
	readonly maxDomains: number;
	/**
	 * Maximum time, in milliseconds, for which a rack is deferred because of its
	 * evacuation cost.
	 */
	readonly deferWithinMs: number;
	/** Expected time from withdrawal to return, in milliseconds. */
	readonly cycleMs: number;
	/**
	 * Time in milliseconds after which an instance that has not returned counts
	 * as lost.
	 */
	readonly returnWithinMs: number;
	/** Evidence that an instance must show before it returns. */
	readonly returns: ReturnSettings;
	/** Maximum number of racks that one step compares. */
	readonly window: number;
};

const minuteMs = 60_000;

/** Defaults, which balance moves, idle capacity and time. */
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

/** Weights that favour waiting for jobs over moving them. */
export const fewMovesWeights: WaveWeights = {
	moves: 2,
	bufferCoreHours: 0.005,
	rollOutHours: 0.1,
};

/** Weights that favour moving jobs over waiting for them. */
export const littleBufferWeights: WaveWeights = {
	moves: 0.02,
	bufferCoreHours: 0.05,
	rollOutHours: 0.5,
};

/** Weights that favour a short wave. */
export const fastWeights: WaveWeights = {
	moves: 0.1,
	bufferCoreHours: 0.002,
	rollOutHours: 3,
};
