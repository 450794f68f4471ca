/**
 * One HTTP connection pool to the platform. Every call ends within its time
 * bound, and its failure says whether it may have taken effect.
 */
import * as undici from 'undici';
import {
	exchange,
	timeoutKinds,
	type HttpResult,
	type TimeoutKind,
} from './exchange.js';

/** Settings of the client. */
export type PlatformHttpOptions = {
	/** Such as `http://10.0.0.1:7000`; an IP number, not a name. */
	readonly origin: string;
	/** Time of a call that names none, in milliseconds. */
	readonly timeoutMs: number;
	readonly maxConnections: number;
	readonly maxAnswerBytes: number;
	/** How long an idle connection is kept, in milliseconds. */
	readonly keepIdleMs?: number;
};

/** Options in force where none are given. */
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
	/** Time for this call, in place of the pool's. */
	readonly timeoutMs?: number;
	/** What the time bounds; the whole call unless it is said. */
	readonly timeoutKind?: TimeoutKind;
	readonly body?: string | Uint8Array;
};

/** Calls to one origin. */
export type HttpConnection = {
	readonly call: (request: HttpCall) => Promise<HttpResult>;
	readonly close: () => Promise<void>;
};

const headersOf = (request: HttpCall): Record<string, string> =>
	request.contentType === undefined
		? {...request.headers}
		: {...request.headers, 'content-type': request.contentType};

/** Opens a pool. One request is in flight on a connection at a time. */
export const createHttpConnection = (
	options: PlatformHttpOptions,
): HttpConnection => {
	const {timeoutMs} = options;
	const pool = new undici.Pool(options.origin, {
		connections: options.maxConnections,
		pipelining: 1,
		connectTimeout: timeoutMs / 2,
		// The time of each call bounds it; these only catch what it misses.
		headersTimeout: 2 * timeoutMs,
		bodyTimeout: 2 * timeoutMs,
		maxResponseSize: options.maxAnswerBytes,
		keepAliveTimeout: options.keepIdleMs ?? defaultHttpOptions.keepIdleMs,
		keepAliveMaxTimeout: options.keepIdleMs ?? defaultHttpOptions.keepIdleMs,
	});
	return {
		call: async (request) =>
			exchange(
				pool,
				{
					method: request.method,
					path: request.path,
					headers: headersOf(request),
					body: request.body ?? null,
				},
				request.timeoutMs ?? timeoutMs,
				request.timeoutKind ?? timeoutKinds.whole,
			),
		async close() {
			await pool.destroy();
		},
	};
};
