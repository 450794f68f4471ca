/**
 * HTTP listener as a supervised part: limits header size and request times,
 * answers malformed requests from the error table and finishes requests in
 * flight on a graceful stop.
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import * as core from '@gullstand/core';
import type {errors} from '@gullstand/core';
import type {Part} from '../supervisor/supervisor.js';

/** Settings of a listener; times in milliseconds. */
export type ListenerSettings = {
	readonly address: string;
	readonly port: number;
	readonly maxHeaderBytes: number;
	readonly headersTimeoutMs: number;
	readonly requestTimeoutMs: number;
	readonly maxConnections: number;
};

/** Request handler, such as the `fetch` of a Hono app. */
export type FetchHandler = Parameters<typeof createAdaptorServer>[0]['fetch'];

/** A listener with its bound port. */
export type Listener = Part & {
	readonly getPort: () => number;
	/** Number of requests without a finished response. */
	readonly countInFlight: () => number;
};

const pollMs = 5;

const connectionsCheckMs = 500;

const kindsByCode: Readonly<Record<string, errors.ErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};

const formatRawAnswer = (kind: errors.ErrorKind): string => {
	const {status, outcome, message, retry} = core.errors.getErrorAnswer(kind);
	const body = JSON.stringify({error: kind, message, outcome, retry});
	return [
		`HTTP/1.1 ${status} ${kind}`,
		'content-type: application/json',
		`content-length: ${body.length}`,
		`gullstand-outcome: ${outcome}`,
		`gullstand-error: ${kind}`,
		'connection: close',
		'',
		body,
	].join('\r\n');
};

/** Answers a request that the HTTP parser rejected and closes the socket. */
const answerMalformed = (err: Error & {code?: string}, socket: Socket) => {
	if (err.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const kind = kindsByCode[err.code ?? ''] ?? 'bad-request';
	socket.end(formatRawAnswer(kind));
};

/** Creates a listener for a handler. */
export const createListener = (
	name: string,
	settings: ListenerSettings,
	handler: FetchHandler,
	now: () => number,
): Listener => {
	let server: Server | undefined;
	let inFlight = 0;

	const start: Part['start'] = async (reportFailure) => {
		const created = createAdaptorServer({
			fetch: handler,
			serverOptions: {
				maxHeaderSize: settings.maxHeaderBytes,
				headersTimeout: settings.headersTimeoutMs,
				requestTimeout: settings.requestTimeoutMs,
				connectionsCheckingInterval: connectionsCheckMs,
				insecureHTTPParser: false,
			},
		}) as Server;
		server = created;
		created.maxConnections = settings.maxConnections;
		created.on('clientError', answerMalformed);
		created.prependListener('request', (_req, res) => {
			inFlight += 1;
			res.once('close', () => {
				inFlight -= 1;
			});
		});
		created.listen(settings.port, settings.address);
		await once(created, 'listening');
		created.on('error', reportFailure);
	};

	const waitForRequests = async (deadline: number) => {
		const isBusy = () => inFlight > 0;
		while (isBusy() && now() < deadline) {
			server?.closeIdleConnections();
			await new Promise((resolve) => {
				setTimeout(resolve, pollMs);
			});
		}
	};

	const stop: Part['stop'] = async (deadline) => {
		if (!server) {
			return;
		}

		const closed = once(server, 'close');
		server.close();
		await waitForRequests(deadline);
		server.closeAllConnections();
		await closed;
		server = undefined;
	};

	return {
		name,
		start,
		stop,
		getPort: () => (server?.address() as AddressInfo | null)?.port ?? 0,
		countInFlight: () => inFlight,
	};
};
