/** In-process HTTP/1.1 executors for the embedded daemon. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** An executor that can be rebooted. */
export type EmbeddedExecutor = {
	readonly id: string;
	readonly getAddress: () => string;
	readonly reboot: () => Promise<void>;
	readonly close: () => Promise<void>;
};

const serviceTimeMs = 5;

const listen = async (server: Server, port: number) => {
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const createEchoServer = (id: string): Server =>
	createServer((req, res) => {
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		req.once('end', () => {
			setTimeout(() => {
				const bytes = Buffer.concat(chunks).length;
				res.setHeader('content-type', 'application/json');
				res.end(JSON.stringify({executor: id, path: req.url, bytes}));
			}, serviceTimeMs);
		});
	});

const closeServer = async (server: Server) => {
	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
};

/** Starts an executor on a free port of 127.0.0.1. */
export const startEmbeddedExecutor = async (
	id: string,
): Promise<EmbeddedExecutor> => {
	let server = createEchoServer(id);
	const port = await listen(server, 0);
	return {
		id,
		getAddress: () => `127.0.0.1:${port}`,
		async reboot() {
			await closeServer(server);
			server = createEchoServer(id);
			await listen(server, port);
		},
		close: async () => closeServer(server),
	};
};
