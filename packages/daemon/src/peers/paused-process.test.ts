/** Guards against taking a pause of this process for silence of a peer. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import * as tap from 'tap';
import {peerHeaders, signAnswer} from './envelope.js';
import {createPeerClient} from './peer-client.js';

const key = Buffer.alloc(32, 1);

const timeoutMs = 100;

const pauseMs = 300;

const pauseProcess = () => {
	const end = performance.now() + pauseMs;
	while (performance.now() < end) {
		// Keeps the event loop from running.
	}
};

const answer = JSON.stringify({
	jsonrpc: '2.0',
	id: 1,
	result: {incarnation: 'p-1', revision: 7, confirmedAgeMs: 0},
});

/** Starts a peer after each of whose answers this process is paused. */
const startPeer = async (
	t: Pick<typeof tap.t, 'teardown'>,
	answers: boolean,
): Promise<string> => {
	const server = http.createServer((req, res) => {
		req.resume();
		req.on('end', () => {
			if (answers) {
				const nonce = String(req.headers[peerHeaders.nonce]);
				res.setHeader(peerHeaders.signature, signAnswer(key, nonce, answer));
				res.end(answer);
			}

			setImmediate(pauseProcess);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

for (const [name, answers, outcome] of [
	['an answer that came meanwhile counts', true, {ok: true}],
	['no answer stays none', false, {ok: false, error: {kind: 'timeout'}}],
] as const) {
	tap.t.test(`a paused process: ${name}`, async (t) => {
		const client = createPeerClient({
			key,
			self: {entry: 'e', incarnation: 'e-1'},
			wallNow: () => Date.now(),
			connectTimeoutMs: 500,
		});
		t.teardown(client.close);
		const address = await startPeer(t, answers);
		const result = await client.call(address, 'ping', {entry: 'e'}, timeoutMs);
		t.match(result, outcome);
	});
}
