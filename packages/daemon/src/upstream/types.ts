/** Types of the upstream of one service. */
import type {Readable} from 'node:stream';
import * as core from '@gullstand/core';
import type {Cancellation} from '../caller/cancellation.js';

/** Header fields of a message by lower-case name. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** One request that has been admitted. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Headers;
	/** A `Uint8Array` can be sent again, a stream only once. */
	readonly body: Uint8Array | Readable | undefined;
	/** True if the request may run more than once. */
	readonly repeatable: boolean;
	/** When the caller stops waiting, in ms of the upstream's clock. */
	readonly deadline: number;
	/** Fires when the caller disconnects. */
	readonly cancellation?: Cancellation;
};

/** Result of a request after all its attempts. */
export type AttemptResult =
	| {
			readonly kind: 'answer';
			readonly outcome: 'ran';
			readonly status: number;
			readonly headers: Headers;
			/**
			 * Complete bytes, or a stream if larger than `maxBufferedBytes`. A
			 * truncated stream ends with an error; reset the caller then.
			 */
			readonly body: Uint8Array | Readable;
			readonly executor: string;
			readonly attempts: number;
	  }
	| {
			readonly kind: 'error';
			readonly error: core.errors.ErrorKind;
			readonly outcome: core.Outcome;
			readonly attempts: number;
	  };

/** Settings of an upstream; times in milliseconds. */
export type UpstreamConfig = {
	readonly health: core.healthConfig.HealthConfig;
	readonly retryBudget: core.retryBudget.RetryBudgetConfig;
	readonly reuse: core.connectionReuse.ReuseConfig;
	readonly unresponsiveDetection: core.unresponsiveConnections.UnresponsiveConfig;
	/** Most attempts of one request that sent bytes, including hedges. */
	readonly maxAttempts: number;
	/** Most further attempts of one request that sent no byte. */
	readonly maxUnsentAttempts: number;
	readonly connectTimeoutMs: number;
	/** Most open connections of this entry to one executor. */
	readonly connectionsPerExecutor: number;
	/** Answers up to this size are buffered until complete. */
	readonly maxBufferedBytes: number;
	readonly maxHeaderBytes: number;
	/** Time without a byte after which a streamed answer is aborted. */
	readonly streamIdleMs: number;
	/** `connect` sends nothing; `options` sends `OPTIONS /`. */
	readonly probe: 'connect' | 'options';
	/** Interval of probes and of closing idle connections. */
	readonly sweepMs: number;
};

/** Default settings of an upstream. */
export const defaultUpstreamConfig: UpstreamConfig = {
	health: core.healthConfig.defaultHealthConfig,
	retryBudget: core.retryBudget.defaultRetryBudgetConfig,
	reuse: core.connectionReuse.defaultReuseConfig,
	unresponsiveDetection: core.unresponsiveConnections.defaultUnresponsiveConfig,
	maxAttempts: 3,
	maxUnsentAttempts: 8,
	connectTimeoutMs: 500,
	connectionsPerExecutor: 7,
	maxBufferedBytes: 262_144,
	maxHeaderBytes: 16_384,
	streamIdleMs: 10_000,
	probe: 'options',
	sweepMs: 100,
};

/** A slot on an executor, held by one attempt. */
export type Slot = {
	readonly executor: string;
	/** `mayStillRun`: the executor may still run the aborted attempt. */
	readonly release: (mayStillRun: boolean) => void;
};

/**
 * Takes a slot on one of the candidates by weight; undefined if none has a
 * free slot. The order of the candidates has no meaning.
 */
export type TakeSlot = (
	candidates: readonly core.executorWeights.WeightedExecutor[],
) => Slot | undefined;

/** Counters since the start. */
export type UpstreamStats = {
	/** Requests with at least one attempt. */
	requests: number;
	/** Requests refused before any attempt. */
	refused: number;
	/** Started attempts, including those without a connection. */
	attempts: number;
	retries: number;
	hedges: number;
	/** Retries and hedges that the budget did not allow. */
	budgetDenied: number;
	probes: number;
	retiredConnections: number;
};
