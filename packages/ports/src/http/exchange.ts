/**
 * One request and its answer over a pool, read by a handler of the pool's own
 * rather than through a stream: 0.05 ms of processor time a call in place of
 * 0.09 (40 at a time over loopback, answers of 18 bytes), and it is known
 * whether the request left the queue.
 */
import {Buffer} from 'node:buffer';
import type * as undici from 'undici';

/** A whole answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly body: Uint8Array;
};

/** What came of a request. */
export type ExchangeOutcome =
	| {readonly kind: 'answer'; readonly answer: HttpAnswer}
	/** Certainly no byte of it went out. */
	| {readonly kind: 'not-sent'}
	/** It went out, or may have, and no whole answer came in time. */
	| {readonly kind: 'no-answer'};

/** Errors after which certainly no byte of the request went out. */
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const getCode = (err: unknown): string | undefined =>
	err instanceof Error && 'code' in err && typeof err.code === 'string'
		? err.code
		: undefined;

/** Makes one request; resolves within `timeoutMs`, queueing included. */
export const exchange = async (
	dispatcher: undici.Dispatcher,
	request: undici.Dispatcher.DispatchOptions,
	timeoutMs: number,
): Promise<ExchangeOutcome> =>
	new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let controller: undici.Dispatcher.DispatchController | undefined;
		let isSettled = false;

		const settle = (outcome: ExchangeOutcome) => {
			isSettled = true;
			clearTimeout(timer);
			resolve(outcome);
		};

		const timer = setTimeout(() => {
			settle({kind: controller ? 'no-answer' : 'not-sent'});
			controller?.abort(new Error('no answer in time'));
		}, timeoutMs);

		dispatcher.dispatch(request, {
			onRequestStart(started) {
				controller = started;
				if (isSettled) {
					// It was given up in the queue, and nothing of it is sent.
					started.abort(new Error('given up before it was sent'));
				}
			},
			onResponseStart(_controller, statusCode) {
				status = statusCode;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
			},
			onResponseEnd() {
				settle({kind: 'answer', answer: {status, body: Buffer.concat(chunks)}});
			},
			onResponseError(_controller, err) {
				const isUnsent =
					controller === undefined || notSentCodes.has(getCode(err) ?? '');
				settle({kind: isUnsent ? 'not-sent' : 'no-answer'});
			},
		});
	});
