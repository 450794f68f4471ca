/**
 * What one attempt's end means: the error kind and the outcome that a caller
 * may be told. `not-run` only where no byte of the request went out, or the
 * upstream refused as its settings declare.
 */
import {match} from 'ts-pattern';
import * as errors from '../errors/error-table.js';
import type {ErrorKind} from '../errors/error-table.js';
import type {Outcome} from '../types/outcome.js';
import type {Refusal} from '../types/service.js';

/** How an attempt ended on the wire. */
export type AttemptEnd =
	/** The head came, and the body whole or, if streamed, in part. */
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headerNames: ReadonlySet<string>;
	  }
	/** No connection was made. */
	| {readonly kind: 'connect-failed'}
	/** The request cannot be written as HTTP/1.1. */
	| {readonly kind: 'invalid-request'}
	/** The entry had no connection to spare. */
	| {readonly kind: 'no-connection'}
	/** Closed, reset, cut or malformed before the answer was whole. */
	| {readonly kind: 'broken'; readonly bytesSent: number}
	| {readonly kind: 'deadline'; readonly bytesSent: number}
	| {readonly kind: 'cancelled'; readonly bytesSent: number};

/** What the caller may be told of one attempt or of all. */
export type AttemptOutcome =
	| {readonly kind: 'answer'; readonly outcome: 'ran'}
	| {
			readonly kind: 'error';
			readonly error: ErrorKind;
			readonly outcome: Outcome;
	  };

const requestTimeoutStatus = 408;

const isRefusal = (
	status: number,
	headerNames: ReadonlySet<string>,
	refusal: Refusal,
): boolean =>
	refusal.statuses.includes(status) &&
	(refusal.header === undefined || headerNames.has(refusal.header));

const toError = (error: ErrorKind): AttemptOutcome => ({
	kind: 'error',
	error,
	outcome: errors.errorTable[error].outcome,
});

/** Decides the outcome of one attempt. */
export const decideOutcome = (
	end: AttemptEnd,
	refusal: Refusal,
): AttemptOutcome =>
	match(end)
		.returnType<AttemptOutcome>()
		.with({kind: 'answered'}, ({status, headerNames}) => {
			if (isRefusal(status, headerNames, refusal)) {
				return toError('upstream-refused');
			}

			// A server that closes an idle connection may send 408 just as
			// the request goes out (RFC 9110, 15.5.9): it answers nothing.
			return status === requestTimeoutStatus
				? toError('upstream-reset')
				: {kind: 'answer', outcome: 'ran'};
		})
		.with({kind: 'invalid-request'}, () => toError('bad-request'))
		.with({kind: 'connect-failed'}, () => toError('upstream-unreachable'))
		.with({kind: 'no-connection'}, () => toError('overloaded'))
		.with({kind: 'broken'}, ({bytesSent}) =>
			toError(bytesSent > 0 ? 'upstream-reset' : 'upstream-unreachable'),
		)
		.with({kind: 'deadline'}, ({bytesSent}) =>
			toError(bytesSent > 0 ? 'upstream-timeout' : 'deadline-in-queue'),
		)
		.with({kind: 'cancelled'}, ({bytesSent}) => ({
			kind: 'error',
			error: 'cancelled',
			outcome: bytesSent > 0 ? 'unknown' : 'not-run',
		}))
		.exhaustive();

/**
 * The error of a request whose attempts all failed: that of the last one,
 * unless an earlier one leaves more doubt.
 */
export const combineErrors = (
	failures: ReadonlyArray<Extract<AttemptOutcome, {kind: 'error'}>>,
): Extract<AttemptOutcome, {kind: 'error'}> => {
	const doubtful = failures.findLast((each) => each.outcome !== 'not-run');
	return (
		doubtful ??
		failures.at(-1) ?? {kind: 'error', error: 'no-executor', outcome: 'not-run'}
	);
};
