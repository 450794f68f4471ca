/** Types of a caller's request and its result. */
import type {IncomingHttpHeaders} from 'node:http';
import type {
	Contract,
	errors,
	RequestClass,
	Service,
	ServiceTerms,
} from '@gullstand/core';
import type {Cancellation} from './cancellation.js';

/** A validated request of an authenticated caller. */
export type Call = {
	readonly requestId: string;
	readonly contract: Contract;
	readonly terms: ServiceTerms;
	readonly service: Service;
	readonly requestClass: RequestClass;
	readonly method: string;
	/** Path and query as sent to the executor. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** When the entry received the request, in milliseconds of its clock. */
	readonly receivedAt: number;
	/** Latest time for an answer, in milliseconds of the entry's clock. */
	readonly deadline: number;
	/** False for a service or route whose requests may not be repeated. */
	readonly idempotent: boolean;
	/** Fires when the caller disconnects. */
	readonly cancellation: Cancellation;
};

/** An executor's complete answer, or a stream that completes or fails. */
export type AnswerBody = Uint8Array | ReadableStream<Uint8Array>;

/** Result of a call. */
export type CallResult =
	| {
			readonly kind: 'answer';
			readonly status: number;
			readonly headers: ReadonlyArray<readonly [string, string]>;
			readonly body: AnswerBody;
			/** Id of the instance that answered. */
			readonly executor: string;
			/** Number of times the request was sent to an executor. */
			readonly attempts: number;
	  }
	| {
			readonly kind: 'error';
			readonly error: errors.ErrorKind;
			/** Delay before a retry, if the error allows `later` or `same-key`. */
			readonly retryAfterMs?: number;
			readonly attempts: number;
	  };

/** Handles a call; never rejects for an expected failure. */
export type CallHandler = (call: Call) => Promise<CallResult>;

/** Wraps a handler, for example with admission. */
export type CallLayer = (next: CallHandler) => CallHandler;

/** Creates an error result. */
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
