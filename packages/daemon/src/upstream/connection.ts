/**
 * One TCP connection to an executor with its undici client. The client never
 * reconnects, so the socket's byte counter covers all requests of the client.
 */
import * as net from 'node:net';
import {Client} from 'undici';
import {startPauseTolerantTimer} from './pause-tolerant-timer.js';
import type {UpstreamConfig} from './types.js';

/** An open connection; times are read from the clock of the upstream. */
export type Connection = {
	readonly socket: net.Socket;
	readonly client: Client;
	readonly openedAt: number;
	/** When it was established or last received bytes. */
	provedAt: number;
	/** True if no further request may be sent on it. */
	retired: boolean;
	/** True once the executor has closed it or an error occurred. */
	ended: boolean;
};

const createClient = (
	address: string,
	socket: net.Socket,
	cfg: UpstreamConfig,
): Client => {
	let isSocketTaken = false;
	return new Client(`http://${address}`, {
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: cfg.streamIdleMs,
		keepAliveTimeout: cfg.reuse.maxIdleMs,
		keepAliveMaxTimeout: cfg.reuse.maxIdleMs,
		maxHeaderSize: cfg.maxHeaderBytes,
		connect(_options, callback) {
			const wasTaken = isSocketTaken;
			isSocketTaken = true;
			// The client expects the callback to be called asynchronously.
			queueMicrotask(() => {
				if (wasTaken) {
					callback(new Error('the connection has been closed'), null);
				} else {
					callback(null, socket);
				}
			});
		},
	});
};

const splitAddress = (address: string): {host: string; port: number} => {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon).replaceAll(/[[\]]/g, ''),
		port: Number(address.slice(colon + 1)),
	};
};

/**
 * Opens a connection to `address` (IP number and port); undefined if that
 * fails or takes longer than `connectTimeoutMs`.
 */
export const openConnection = async (
	address: string,
	cfg: UpstreamConfig,
	clock: () => number,
): Promise<Connection | undefined> =>
	new Promise((resolve) => {
		const socket = net.connect({...splitAddress(address), noDelay: true});
		const timer = startPauseTolerantTimer(cfg.connectTimeoutMs, () => {
			socket.destroy();
		});
		const connection = {
			socket,
			client: createClient(address, socket, cfg),
			openedAt: clock(),
			provedAt: clock(),
			retired: false,
			ended: false,
		};
		const end = () => {
			connection.ended = true;
			timer.cancel();
			resolve(undefined);
		};

		// Added before the client's listeners, so that an answer ended only by
		// the end of the connection is not mistaken for a complete one.
		socket.on('end', end);
		socket.on('error', end);
		socket.on('close', end);
		socket.once('connect', () => {
			timer.cancel();
			connection.provedAt = clock();
			resolve(connection);
		});
	});

/**
 * True if a request can be sent on the connection. Bytes received before the
 * request are no answer to it, so they make the connection unusable.
 */
export const isUsable = ({socket, ended, retired}: Connection): boolean =>
	!ended && !retired && !socket.destroyed && socket.readableLength === 0;

/** Destroys a connection; bytes that arrive later are ignored. */
export const destroyConnection = (connection: Connection): void => {
	connection.retired = true;
	connection.socket.destroy();
	connection.client.destroy(null, () => undefined);
};
