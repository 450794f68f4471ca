/**
 * HTTP connection pool to one origin of the platform. Every call is bounded in
 * time, and a failure says whether the call may have taken effect.
 */
import * as undici from 'undici';
import {
	exchange,
	timeoutKinds,
	type HttpResult,
	type TimeoutKind,
} from './exchange.js';
import {createRenewablePool} from './renewable-pool.js';

/** Settings of a connection pool. */
export type PlatformHttpOptions = {
	/** Such as `http://10.0.0.1:7000`; an IP address, not a host name. */
	readonly origin: string;
	/** Default timeout of a call, in milliseconds. */
	readonly timeoutMs: number;
	readonly maxConnections: number;
	readonly maxAnswerBytes: number;
	/** How long an idle connection is kept open, in milliseconds. */
	readonly keepIdleMs?: number;
};

/** Default options. */
export const defaultHttpOptions = {
	timeoutMs: 2000,
	maxConnections: 8,
	maxAnswerBytes: 64 * 1024 * 1024,
	keepIdleMs: 4000,
} as const;

/** One HTTP request. */
export type HttpCall = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly contentType?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** Overrides the timeout of the pool, in milliseconds. */
	readonly timeoutMs?: number;
	/** What the timeout limits; by default the whole call. */
	readonly timeoutKind?: TimeoutKind;
	readonly body?: string | Uint8Array;
};

/** Calls to one origin. */
export type HttpConnection = {
	readonly call: (request: HttpCall) => Promise<HttpResult>;
	readonly close: () => Promise<void>;
};

const getHeaders = (request: HttpCall): Record<string, string> =>
	request.contentType === undefined
		? {...request.headers}
		: {...request.headers, 'content-type': request.contentType};

/** Opens a pool, with one request in flight per connection. */
export const createHttpConnection = (
	options: PlatformHttpOptions,
): HttpConnection => {
	const {timeoutMs} = options;
	const pools = createRenewablePool(
		() =>
			new undici.Pool(options.origin, {
				connections: options.maxConnections,
				pipelining: 1,
				connectTimeout: timeoutMs / 2,
				maxResponseSize: options.maxAnswerBytes,
				keepAliveTimeout: options.keepIdleMs ?? defaultHttpOptions.keepIdleMs,
				keepAliveMaxTimeout:
					options.keepIdleMs ?? defaultHttpOptions.keepIdleMs,
			}),
	);
	return {
		async call(request) {
			const {pool, noteAnswer, noteSilence} = pools.use();
			const callTimeoutMs = request.timeoutMs ?? timeoutMs;
			// A safety net only: the exchange ends by itself in time.
			const netMs = 2 * callTimeoutMs;
			const result = await exchange(
				pool,
				{
					method: request.method,
					path: request.path,
					headers: getHeaders(request),
					body: request.body ?? null,
					headersTimeout: netMs,
					bodyTimeout: netMs,
				},
				callTimeoutMs,
				request.timeoutKind ?? timeoutKinds.whole,
			);
			if (result.ok) {
				noteAnswer();
			} else if (
				result.error.kind === 'timeout' &&
				result.error.receivedBytes === undefined
			) {
				noteSilence();
			}

			return result;
		},
		close: pools.destroy,
	};
};
