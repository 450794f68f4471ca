/**
 * Maps the end of an attempt to the error kind and outcome reported to the
 * caller. The outcome is `not-run` only if no byte of the request was sent, or
 * if the upstream refused as its settings declare.
 */
import {match} from 'ts-pattern';
import * as errors from '../errors/error-table.js';
import type {ErrorKind} from '../errors/error-table.js';
import type {Outcome} from '../types/outcome.js';
import type {Refusal} from '../types/service.js';

/** How an attempt ended on the connection. */
export type AttemptEnd =
	/** The head arrived, with the whole body or, if streamed, part of it. */
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headerNames: ReadonlySet<string>;
	  }
	/** No connection could be opened. */
	| {readonly kind: 'connect-failed'}
	/** The request cannot be written as HTTP/1.1. */
	| {readonly kind: 'invalid-request'}
	/** The entry had no free connection. */
	| {readonly kind: 'no-connection'}
	/** Closed, reset, truncated or malformed before the answer was complete. */
	| {readonly kind: 'broken'; readonly bytesSent: number}
	| {readonly kind: 'deadline'; readonly bytesSent: number}
	| {readonly kind: 'cancelled'; readonly bytesSent: number};

/** Result reported to the caller, of one attempt or of all. */
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

			// A server may send 408 when it closes an idle connection (RFC 9110,
			// 15.5.9), so this status is no answer to the request.
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
 * Returns the error of a request whose attempts all failed: the last one that
 * may have run, else the last one.
 */
export const combineErrors = (
	failures: ReadonlyArray<Extract<AttemptOutcome, {kind: 'error'}>>,
): Extract<AttemptOutcome, {kind: 'error'}> => {
	const mayHaveRun = failures.findLast((each) => each.outcome !== 'not-run');
	return (
		mayHaveRun ??
		failures.at(-1) ?? {kind: 'error', error: 'no-executor', outcome: 'not-run'}
	);
};
