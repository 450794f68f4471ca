/** One caller's request on its way through an entry, and its result. */
import type {IncomingHttpHeaders} from 'node:http';
import type {
	Contract,
	errors,
	RequestClass,
	Service,
	ServiceTerms,
} from '@gullstand/core';
import type {Cancellation} from './cancellation.js';

/** A checked request of an authenticated caller. */
export type Call = {
	readonly requestId: string;
	readonly contract: Contract;
	readonly terms: ServiceTerms;
	readonly service: Service;
	readonly requestClass: RequestClass;
	readonly method: string;
	/** Path and query as the executor is to see them. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** When the entry took the request, in milliseconds of its clock. */
	readonly receivedAt: number;
	/** When an answer is late, in milliseconds of the entry's clock. */
	readonly deadline: number;
	/** False for a service or route that may not be repeated. */
	readonly idempotent: boolean;
	/** Happens when the caller goes away. */
	readonly cancellation: Cancellation;
};

/** An executor's whole answer, or a stream that ends whole or resets. */
export type AnswerBody = Uint8Array | ReadableStream<Uint8Array>;

/** What became of a call. */
export type CallResult =
	| {
			readonly kind: 'answer';
			readonly status: number;
			readonly headers: ReadonlyArray<readonly [string, string]>;
			readonly body: AnswerBody;
			/** Instance that answered. */
			readonly executor: string;
			/** Times that the request was sent to an executor. */
			readonly attempts: number;
	  }
	| {
			readonly kind: 'error';
			readonly error: errors.ErrorKind;
			/** When to come back, if the error's advice is `later` or `same-key`. */
			readonly retryAfterMs?: number;
			readonly attempts: number;
	  };

/** Handles a call; never rejects for an expected failure. */
export type CallHandler = (call: Call) => Promise<CallResult>;

/** Wraps a handler with one concern, such as admission. */
export type CallLayer = (next: CallHandler) => CallHandler;

/** An error result. */
export const createError = (
	error: errors.ErrorKind,
	attempts = 0,
	retryAfterMs?: number,
): CallResult => ({
	kind: 'error',
	error,
	attempts,
	...(retryAfterMs !== undefined && {retryAfterMs}),
});
