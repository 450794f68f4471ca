/** Types of the path from an entry to the executors of one service. */
import type {Readable} from 'node:stream';
import * as core from '@gullstand/core';
import type {Cancellation} from '../caller/cancellation.js';

/** Header of a message; names in lower case. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** One request that has been admitted. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Headers;
	/** Bytes may be sent again; a stream goes out once. */
	readonly body: Uint8Array | Readable | undefined;
	/** True if it may run twice. */
	readonly repeatable: boolean;
	/** When the caller stops waiting, by the clock of the upstream. */
	readonly deadline: number;
	/** Happens when the caller goes away. */
	readonly cancellation?: Cancellation;
};

/** What became of a request. */
export type AttemptResult =
	| {
			readonly kind: 'answer';
			readonly outcome: 'ran';
			readonly status: number;
			readonly headers: Headers;
			/**
			 * Whole bytes, checked; or a stream when larger than the bound. A
			 * stream that is cut ends with an error: reset the caller then.
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

/** Settings of the path; times in milliseconds. */
export type UpstreamConfig = {
	readonly health: core.healthConfig.HealthConfig;
	readonly retryBudget: core.retryBudget.RetryBudgetConfig;
	readonly reuse: core.connectionReuse.ReuseConfig;
	readonly silence: core.unresponsiveConnections.UnresponsiveConfig;
	/** Attempts of one request that sent bytes, hedges included. */
	readonly maxAttempts: number;
	/** Attempts of one request beyond those, of which no byte went out. */
	readonly maxUnsentAttempts: number;
	readonly connectTimeoutMs: number;
	/** Open connections of this entry to one executor, at most. */
	readonly connectionsPerExecutor: number;
	/** An answer up to this size is checked whole before it is passed on. */
	readonly maxBufferedBytes: number;
	readonly maxHeaderBytes: number;
	/** Time without a byte after which a streamed answer is cut. */
	readonly streamIdleMs: number;
	/** `connect` sends nothing; `options` sends `OPTIONS /`. */
	readonly probe: 'connect' | 'options';
	/** Time between two rounds of probes and of closing idle connections. */
	readonly sweepMs: number;
};

/** Settings that the bench `faults` was measured with. */
export const defaultUpstreamConfig: UpstreamConfig = {
	health: core.healthConfig.defaultHealthConfig,
	retryBudget: core.retryBudget.defaultRetryBudgetConfig,
	reuse: core.connectionReuse.defaultReuseConfig,
	silence: core.unresponsiveConnections.defaultUnresponsiveConfig,
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
	/** `mayStillRun`: the attempt was given up, the executor may not know. */
	readonly release: (mayStillRun: boolean) => void;
};

/**
 * Chooses one of the candidates and takes a slot on it; undefined if all
 * are full. Candidates are in order of no preference but their weight.
 */
export type TakeSlot = (
	candidates: readonly core.executorWeights.WeightedExecutor[],
) => Slot | undefined;

/** What has been counted since the start. */
export type UpstreamStats = {
	/** Requests of which at least one attempt was launched. */
	requests: number;
	/** Requests refused before any attempt. */
	refused: number;
	/** Attempts launched, whether or not a connection could be made. */
	attempts: number;
	retries: number;
	hedges: number;
	/** Retries and hedges that the budget did not allow. */
	budgetDenied: number;
	probes: number;
	retiredConnections: number;
};
