/** Executors that answer at once. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

const answer = JSON.stringify({premium: 1234, currency: 'GBP'});

const keepAliveTimeoutMs = 60_000;

const startExecutor = async (): Promise<Server> => {
	const server = createServer((req, res) => {
		req.resume();
		res.setHeader('content-type', 'application/json');
		res.setHeader('content-length', answer.length);
		res.end(answer);
	});
	server.keepAliveTimeout = keepAliveTimeoutMs;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
};

/** Starts executors, each on a free port of 127.0.0.1. */
export const startUpstreams = async (count: number) => {
	const servers = await Promise.all(
		Array.from({length: count}, async () => startExecutor()),
	);
	return {
		ports: servers.map((server) => (server.address() as AddressInfo).port),
		async close() {
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
};
