/**
 * One TCP connection to an executor and the undici client upon it. The
 * client never connects again by itself: when the connection is gone, so is
 * the client, and every byte handed to the socket is counted.
 */
import * as net from 'node:net';
import {Client} from 'undici';
import {startPauseTolerantTimer} from './pause-tolerant-timer.js';
import type {UpstreamConfig} from './types.js';

/** An open connection. Times by the clock of the upstream. */
export type Connection = {
	readonly socket: net.Socket;
	readonly client: Client;
	readonly openedAt: number;
	/** When it was made or last received bytes. */
	provedAt: number;
	/** Carries no further request. */
	retired: boolean;
	/** True once the other end has closed, or an error came. */
	ended: boolean;
};

const createClient = (
	address: string,
	socket: net.Socket,
	cfg: UpstreamConfig,
): Client => {
	let taken = false;
	return new Client(`http://${address}`, {
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: cfg.streamIdleMs,
		keepAliveTimeout: cfg.reuse.maxIdleMs,
		keepAliveMaxTimeout: cfg.reuse.maxIdleMs,
		maxHeaderSize: cfg.maxHeaderBytes,
		connect(_options, callback) {
			const gone = taken;
			taken = true;
			// The client expects its answer in a later step.
			queueMicrotask(() => {
				if (gone) {
					callback(new Error('the connection is gone'), null);
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

/** Opens a connection to `address` (IP number and port), or fails in time. */
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

		// Before the client's own listeners: an answer that ends only because
		// the connection did must be told from a whole one.
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
 * True if the connection can carry a request. Bytes that wait unread before
 * any request was sent are no answer to it.
 */
export const isUsable = ({socket, ended, retired}: Connection): boolean =>
	!ended && !retired && !socket.destroyed && socket.readableLength === 0;

/** Destroys a connection; whatever comes on it later is never seen. */
export const destroyConnection = (connection: Connection): void => {
	connection.retired = true;
	connection.socket.destroy();
	connection.client.destroy(null, () => undefined);
};
