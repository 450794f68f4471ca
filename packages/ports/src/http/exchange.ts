/**
 * One request and its answer over a pool, read by a handler of the pool's own
 * rather than through a stream: 0.05 ms of processor time a call in place of
 * 0.09 (40 at a time over loopback, answers of 18 bytes), and it is known
 * whether the request left the queue.
 */
import {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '@gullstand/core';
import type * as undici from 'undici';

/** A whole answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly body: Uint8Array;
};

/**
 * `unavailable`: certainly no byte of the request went out. `timeout`: it may
 * have gone out, and its effect is unknown.
 */
export type HttpFailure =
	| {readonly kind: 'unavailable'}
	| {
			readonly kind: 'timeout';
			/** Bytes of the answer's body that had come; absent if none had. */
			readonly receivedBytes?: number;
	  };

/** A whole answer, or why there is none. */
export type HttpResult = Result<HttpAnswer, HttpFailure>;

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
): Promise<HttpResult> =>
	new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		let status = 0;
		let controller: undici.Dispatcher.DispatchController | undefined;
		let isSettled = false;

		const settle = (result: HttpResult) => {
			isSettled = true;
			clearTimeout(timer);
			resolve(result);
		};

		const failUnknown = () => {
			settle(
				fail({kind: 'timeout', ...(receivedBytes > 0 && {receivedBytes})}),
			);
		};

		const timer = setTimeout(() => {
			if (controller) {
				failUnknown();
			} else {
				settle(fail({kind: 'unavailable'}));
			}

			controller?.abort(new Error('no answer in time'));
		}, timeoutMs);

		dispatcher.dispatch(request, {
			onRequestStart(started) {
				if (isSettled) {
					// Nothing of it is sent, and the connection stays, which an abort
					// would end.
					throw new Error('given up before it was sent');
				}

				controller = started;
			},
			onResponseStart(_controller, statusCode) {
				status = statusCode;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
				receivedBytes += chunk.length;
			},
			onResponseEnd() {
				settle(succeed({status, body: Buffer.concat(chunks)}));
			},
			onResponseError(_controller, err) {
				const isUnsent =
					controller === undefined || notSentCodes.has(getCode(err) ?? '');
				if (isUnsent) {
					settle(fail({kind: 'unavailable'}));
				} else {
					failUnknown();
				}
			},
		});
	});
