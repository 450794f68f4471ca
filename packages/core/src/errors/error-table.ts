/**
 * All error kinds with their answers. An answer has the outcome `not-run` only
 * if no byte of the request was sent to an upstream, or if the upstream refused
 * as its settings declare.
 */
import type {Outcome, RetryAdvice} from '../types/outcome.js';

/** HTTP answer for one kind of error. */
export type ErrorAnswer = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly retry: RetryAdvice;
	readonly message: string;
};

/** Answers by kind; documented for operators in docs/operators/errors.md. */
export const errorTable = {
	'bad-request': {
		status: 400,
		outcome: 'not-run',
		retry: 'never',
		message: 'the request is malformed',
	},
	'key-required': {
		status: 400,
		outcome: 'not-run',
		retry: 'never',
		message: 'this route needs an Idempotency-Key',
	},
	'key-invalid': {
		status: 400,
		outcome: 'not-run',
		retry: 'never',
		message: 'the Idempotency-Key is malformed or too long',
	},
	unauthenticated: {
		status: 401,
		outcome: 'not-run',
		retry: 'never',
		message: 'the token is missing or unknown',
	},
	forbidden: {
		status: 403,
		outcome: 'not-run',
		retry: 'never',
		message: 'the token does not allow this',
	},
	'unknown-service': {
		status: 404,
		outcome: 'not-run',
		retry: 'never',
		message: 'no service of that name',
	},
	'unknown-queue': {
		status: 404,
		outcome: 'not-run',
		retry: 'never',
		message: 'no such queue',
	},
	'unknown-job': {
		status: 410,
		outcome: 'not-run',
		retry: 'never',
		message: 'no such job',
	},
	'job-conflict': {
		status: 409,
		outcome: 'not-run',
		retry: 'never',
		message: 'another job was accepted under this id',
	},
	'job-cancelled': {
		status: 409,
		outcome: 'not-run',
		retry: 'never',
		message: 'the job was cancelled before it was accepted',
	},
	'no-configuration': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'this entry has no configuration yet',
	},
	'configuration-unconfirmed': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'this entry cannot tell now whether the key is valid',
	},
	'submission-unknown': {
		status: 504,
		outcome: 'unknown',
		retry: 'same-key',
		message: 'the store did not answer; the job may have been accepted',
	},
	'queue-moved': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the queue is moving to another service; the job is not stored',
	},
	'job-unread': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the state of the job cannot be read now',
	},
	'not-found': {
		status: 404,
		outcome: 'not-run',
		retry: 'never',
		message: 'no such object',
	},
	'version-conflict': {
		status: 409,
		outcome: 'not-run',
		retry: 'never',
		message: 'the object has changed since it was read',
	},
	'request-timeout': {
		status: 408,
		outcome: 'not-run',
		retry: 'later',
		message: 'the caller did not send its request in time',
	},
	'still-running': {
		status: 409,
		outcome: 'unknown',
		retry: 'same-key',
		message: 'a request with this key was started and has no answer yet',
	},
	'outcome-unknown': {
		status: 409,
		outcome: 'unknown',
		retry: 'never',
		message:
			'a request with this key was started and its outcome is lost; it will not be run again',
	},
	'answer-not-kept': {
		status: 410,
		outcome: 'ran',
		retry: 'never',
		message: 'the request with this key ran; its answer was not kept',
	},
	'body-too-large': {
		status: 413,
		outcome: 'not-run',
		retry: 'never',
		message: 'the body is larger than this route takes',
	},
	'key-reused': {
		status: 422,
		outcome: 'not-run',
		retry: 'never',
		message: 'the Idempotency-Key was used with another request',
	},
	'over-cap': {
		status: 422,
		outcome: 'not-run',
		retry: 'never',
		message: 'a task is larger than the cap of its team',
	},
	'not-storable': {
		status: 422,
		outcome: 'not-run',
		retry: 'never',
		message:
			'the store never takes this, for instance because the job is too large; nothing was stored',
	},
	'promise-impossible': {
		status: 422,
		outcome: 'not-run',
		retry: 'never',
		message: 'a contract stands in the way',
	},
	'version-required': {
		status: 428,
		outcome: 'not-run',
		retry: 'never',
		message: 'If-Match or If-None-Match is required',
	},
	'over-contract': {
		status: 429,
		outcome: 'not-run',
		retry: 'later',
		message: 'the customer is over its contract and capacity is short',
	},
	'over-rate': {
		status: 429,
		outcome: 'not-run',
		retry: 'later',
		message: 'the team is over its rate and capacity is short',
	},
	'headers-too-large': {
		status: 431,
		outcome: 'not-run',
		retry: 'never',
		message: 'the request header is too large',
	},
	cancelled: {
		status: 499,
		outcome: 'unknown',
		retry: 'if-idempotent',
		message: 'the caller went away',
	},
	internal: {
		status: 500,
		outcome: 'unknown',
		retry: 'if-idempotent',
		message: 'internal error',
	},
	'upstream-unreachable': {
		status: 502,
		outcome: 'not-run',
		retry: 'later',
		message: 'no connection to an executor could be made',
	},
	'upstream-reset': {
		status: 502,
		outcome: 'unknown',
		retry: 'if-idempotent',
		message: 'the executor closed the connection before its answer was whole',
	},
	overloaded: {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the request cannot be answered in time',
	},
	'queue-overloaded': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the queue has too little capacity to end the job in time',
	},
	'no-executor': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'no executor of the service is serving',
	},
	'entry-isolated': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'this entry cannot confirm its membership; others may serve',
	},
	'upstream-refused': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the executor refused the request',
	},
	'store-unavailable': {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'the table service is down and this request needs it',
	},
	'store-unknown': {
		status: 503,
		outcome: 'unknown',
		retry: 'same-key',
		message: 'the table service did not answer; the write may have happened',
	},
	'answer-unavailable': {
		status: 503,
		outcome: 'ran',
		retry: 'same-key',
		message: 'the request with this key ran; its answer cannot be read now',
	},
	'key-unread': {
		status: 503,
		outcome: 'unknown',
		retry: 'same-key',
		message:
			'refused before the Idempotency-Key could be looked up; this request was not sent, but an earlier one with the key may have run',
	},
	stopping: {
		status: 503,
		outcome: 'not-run',
		retry: 'later',
		message: 'this entry is stopping',
	},
	'deadline-in-queue': {
		status: 504,
		outcome: 'not-run',
		retry: 'later',
		message: 'the deadline passed before the request was sent',
	},
	'upstream-timeout': {
		status: 504,
		outcome: 'unknown',
		retry: 'if-idempotent',
		message: 'the executor did not answer within the deadline',
	},
} as const satisfies Record<string, ErrorAnswer>;

/** Kinds of errors that callers and operators may receive. */
export type ErrorKind = keyof typeof errorTable;

export const getErrorAnswer = (kind: ErrorKind): ErrorAnswer =>
	errorTable[kind];
