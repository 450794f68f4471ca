/** Calls other entries by JSON-RPC 2.0 over HTTP. */
import type {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '@gullstand/core';
import {createRenewablePool, type RenewablePool} from '@gullstand/ports';
import {
	createJSONRPCRequest,
	isJSONRPCResponse,
	type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Pool} from 'undici';
import {
	createNonce,
	isSameSignature,
	peerHeaders,
	signAnswer,
	signCall,
} from './envelope.js';
import type {
	PeerError,
	PeerIdentity,
	PeerMethod,
	PeerMethods,
} from './peer-methods.js';
import {peerPath} from './peer-server.js';

/** Dependencies of a peer client. */
export type PeerClientDeps = {
	readonly key: Buffer;
	readonly self: PeerIdentity;
	readonly wallNow: () => number;
	readonly connectTimeoutMs: number;
};

/** Calls methods of peers by their address and port. */
export type PeerClient = {
	readonly call: <Method extends PeerMethod>(
		address: string,
		method: Method,
		params: PeerMethods[Method]['params'],
		timeoutMs: number,
	) => Promise<Result<PeerMethods[Method]['result'], PeerError>>;
	readonly close: () => Promise<void>;
};

/** Shorter than the idle timeout of common middleboxes. */
const idleConnectionMs = 10_000;

/**
 * Enough that concurrent calls to one shard owner do not queue until timeout. A
 * round of the fleet asks about up to 60 machines at once: of 60 calls with a
 * timeout of 400 ms, answered after 20 ms, 34 timed out over two connections.
 */
const connectionsPerPeer = 8;

const timeoutName = 'TimeoutError';

/** Codes of errors that precede the sending of a call. */
const unsentCodes: ReadonlySet<string | undefined> = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	'UND_ERR_CLOSED',
]);

/**
 * Starts the time-out of a call. After a pause of this process it is due before
 * an answer that came in time is read, so that pending data is read first.
 */
const startTimeout = (timeoutMs: number) => {
	const controller = new AbortController();
	const timer = setTimeout(
		() => {
			setImmediate(() => {
				controller.abort(new DOMException('no answer in time', timeoutName));
			});
		},
		Math.max(1, Math.trunc(timeoutMs)),
	);
	return {
		signal: controller.signal,
		clear() {
			clearTimeout(timer);
		},
	};
};

const classifyFailure = (err: unknown): PeerError => {
	const {name, message, code} = err as NodeJS.ErrnoException;
	if (name === timeoutName) {
		return {kind: 'timeout', message};
	}

	const kind = unsentCodes.has(code) ? 'unreachable' : 'connection-lost';
	return {kind, message};
};

const readAnswer = <Value>(
	response: JSONRPCResponse,
): Result<Value, PeerError> =>
	response.error
		? fail({kind: 'method-failed', message: response.error.message})
		: succeed(response.result as Value);

const parseResponse = (text: string): JSONRPCResponse | undefined => {
	try {
		const parsed: unknown = JSON.parse(text);
		return isJSONRPCResponse(parsed) ? parsed : undefined;
	} catch {
		return undefined;
	}
};

export const createPeerClient = (deps: PeerClientDeps): PeerClient => {
	const pools = new Map<string, RenewablePool>();

	const getPools = (address: string): RenewablePool => {
		const known = pools.get(address);
		if (known) {
			return known;
		}

		const created = createRenewablePool(
			() =>
				new Pool(`http://${address}`, {
					pipelining: 1,
					connections: connectionsPerPeer,
					connectTimeout: deps.connectTimeoutMs,
					keepAliveTimeout: idleConnectionMs,
					keepAliveMaxTimeout: idleConnectionMs,
				}),
		);
		pools.set(address, created);
		return created;
	};

	const createSignedHeaders = (address: string, body: string) => {
		const {entry, incarnation} = deps.self;
		const nonce = createNonce();
		const time = deps.wallNow();
		const call = {entry, incarnation, to: address, time, nonce};
		const headers = {
			'content-type': 'application/json',
			[peerHeaders.entry]: entry,
			[peerHeaders.incarnation]: incarnation,
			[peerHeaders.time]: String(time),
			[peerHeaders.nonce]: nonce,
			[peerHeaders.signature]: signCall(deps.key, call, body),
		};
		return {nonce, headers};
	};

	const post = async (address: string, body: string, timeoutMs: number) => {
		const {nonce, headers} = createSignedHeaders(address, body);
		const {pool, noteAnswer, noteSilence} = getPools(address).use();
		const timeout = startTimeout(timeoutMs);
		try {
			const res = await pool.request({
				path: peerPath,
				method: 'POST',
				headers,
				body,
				signal: timeout.signal,
			});
			noteAnswer();
			const text = await res.body.text();
			return {nonce, res, text};
		} catch (err) {
			if ((err as Error).name === timeoutName) {
				noteSilence();
			}

			throw err;
		} finally {
			timeout.clear();
		}
	};

	return {
		async call<Method extends PeerMethod>(
			address: string,
			method: Method,
			params: PeerMethods[Method]['params'],
			timeoutMs: number,
		) {
			const body = JSON.stringify(createJSONRPCRequest(1, method, params));
			try {
				const {nonce, res, text} = await post(address, body, timeoutMs);
				if (res.statusCode !== 200) {
					const message = `answered ${res.statusCode}`;
					return fail({kind: 'refused', message} as const);
				}

				const signature = String(res.headers[peerHeaders.signature] ?? '');
				const expectedSignature = signAnswer(deps.key, nonce, text);
				const response = parseResponse(text);
				return response && isSameSignature(expectedSignature, signature)
					? readAnswer<PeerMethods[Method]['result']>(response)
					: fail({
							kind: 'not-authentic',
							message: 'the signature of the answer is not valid',
						} as const);
			} catch (err) {
				return fail(classifyFailure(err));
			}
		},
		async close() {
			const closing = [...pools.values()].map(async (pool) => pool.destroy());
			pools.clear();
			await Promise.all(closing);
		},
	};
};
