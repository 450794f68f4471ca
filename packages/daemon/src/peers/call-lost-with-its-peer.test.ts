/** Guards against a call counted as not sent that its peer has carried out. */
import {once} from 'node:events';
import {createServer, type Server, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import * as tap from 'tap';
import {createPeerChannel} from './peer-channel.js';

type Case = {
	readonly name: string;
	/** Whether the caller itself stops during the call. */
	readonly isStopping?: boolean;
	/** What the peer does with the call; absent if nothing listens. */
	readonly listen?: (server: Server) => void;
	readonly kind: string;
};

const cases: readonly Case[] = [
	{name: 'a peer that does not listen', kind: 'unreachable'},
	{
		name: 'a peer that ends the connection after the call',
		listen(server) {
			server.on('connection', (socket) => {
				socket.once('data', () => {
					socket.end();
				});
			});
		},
		kind: 'connection-lost',
	},
	{
		name: 'a peer that resets the connection after the call',
		listen(server) {
			server.on('connection', (socket) => {
				socket.once('data', () => {
					socket.resetAndDestroy();
				});
			});
		},
		kind: 'connection-lost',
	},
	{
		name: 'a peer that is killed within its answer',
		listen(server) {
			server.on('connection', (socket) => {
				socket.once('data', () => {
					socket.end('HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"json');
				});
			});
		},
		kind: 'connection-lost',
	},
	{
		name: 'a caller that stops during the call',
		isStopping: true,
		listen(server) {
			server.on('connection', (socket) => {
				socket.resume();
			});
		},
		kind: 'connection-lost',
	},
	{
		name: 'a peer that never answers',
		listen(server) {
			server.on('connection', (socket) => {
				socket.resume();
			});
		},
		kind: 'timeout',
	},
];

for (const {name, listen, isStopping, kind} of cases) {
	tap.t.test(`${name}: ${kind}`, async (t) => {
		const server = createServer();
		listen?.(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const caller = createPeerChannel({
			settings: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
			self: {entry: 'e1', incarnation: 'e1-1'},
			now: () => performance.now(),
			wallNow: () => Date.now(),
			logger: {warn: () => undefined as never},
		});
		await caller.start(() => undefined);
		t.teardown(async () => {
			await caller.stop(0);
			server.close();
		});
		if (!listen) {
			server.close();
			await once(server, 'close');
		}

		const address = `127.0.0.1:${port}`;
		const call = caller.call(address, 'ping', {entry: 'e1'}, 500);
		if (isStopping) {
			await once(server, 'connection');
			await caller.stop(0);
		}

		const answer = await call;
		t.match(answer, {ok: false, error: {kind}});
	});
}
