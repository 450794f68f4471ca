/** The peer channel: one listener, one client and typed methods. */
import {Buffer} from 'node:buffer';
import * as core from '@gullstand/core';
import {createListener} from '../http/listener.js';
import type {Logger} from '../log/logger.js';
import type {Part} from '../supervisor/supervisor.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import type {PeerIdentity} from './peer-methods.js';
import {createPeerServer, type PeerServer} from './peer-server.js';

/** Settings of the peer channel. */
export type PeerSettings = {
	readonly address: string;
	readonly port: number;
	readonly keyHex: string;
};

/** Dependencies of the peer channel. */
export type PeerChannelDeps = {
	readonly settings: PeerSettings;
	readonly self: PeerIdentity;
	readonly now: () => number;
	/** Wall clock, in milliseconds; those of peers may differ by 30 s. */
	readonly wallNow: () => number;
	readonly logger: Pick<Logger, 'warn'>;
};

/** The peer channel of one entry. */
export type PeerChannel = Part &
	Pick<PeerServer, 'addMethod'> &
	Pick<PeerClient, 'call'> & {
		/** Address and port at which peers reach this entry. */
		readonly getAddress: () => string;
		/** Number of refused messages since the start. */
		readonly countRefused: () => number;
	};

const limits = {
	maxHeaderBytes: 8192,
	headersTimeoutMs: 5000,
	requestTimeoutMs: 10_000,
	maxConnections: 1024,
} as const;

const maxBodyBytes = 8 * 1024 * 1024;

const maxApartMs = 30_000;

const connectTimeoutMs = 500;

/** Creates the peer channel; add its methods before the start. */
export const createPeerChannel = (deps: PeerChannelDeps): PeerChannel => {
	const {settings, self, now, wallNow, logger} = deps;
	const key = Buffer.from(settings.keyHex, 'hex');
	let refused = 0;

	const server = createPeerServer({
		key,
		getAddress: () => `${settings.address}:${listener.getPort()}`,
		wallNow,
		maxBodyBytes,
		maxClockSkewMs: maxApartMs,
		onRefused(reason) {
			refused += 1;
			logger.warn('peer message refused', {reason});
		},
	});
	const listener = createListener(
		'peers',
		{...settings, ...limits},
		server.app.fetch,
		now,
	);
	let client: PeerClient | undefined;
	return {
		name: 'peers',
		async start(reportFailure) {
			client = createPeerClient({key, self, wallNow, connectTimeoutMs});
			await listener.start(reportFailure);
		},
		async stop(deadline) {
			const closing = client;
			client = undefined;
			await listener.stop(deadline);
			await closing?.close();
		},
		addMethod: server.addMethod,
		call: async (address, method, params, timeoutMs) =>
			client
				? client.call(address, method, params, timeoutMs)
				: core.fail({kind: 'unreachable', message: 'stopped'} as const),
		getAddress: () => `${settings.address}:${listener.getPort()}`,
		countRefused: () => refused,
	};
};
