import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import type * as core from '@gullstand/core';
import * as tap from 'tap';
import {defaultUpstreamConfig} from './types.js';
import * as upstream from './upstream.js';

type Cleanup = {readonly teardown: (fn: () => Promise<unknown>) => void};

const service: core.Service = {
	name: 'quotes',
	pool: 'quotes',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: []},
};

/** Starts an upstream with one raw TCP server as its executor. */
const start = async (
	t: Cleanup,
	onSocket: (socket: net.Socket) => void,
): Promise<upstream.Upstream> => {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		onSocket(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	const path = upstream.createUpstream({
		service,
		cfg: defaultUpstreamConfig,
		clock: Date.now,
		random: () => 0,
	});
	const address = `127.0.0.1:${port}`;
	path.setExecutors([{id: 'e', address, availabilityZone: 'a'}]);
	t.teardown(async () => {
		server.close();
		await path.close(0);
	});
	return path;
};

/** Returns the body of the answer, or the error and its outcome. */
const send = async (path: upstream.Upstream): Promise<string> => {
	const result = await path.dispatch({
		method: 'GET',
		path: '/',
		headers: {},
		body: undefined,
		repeatable: false,
		deadline: Date.now() + 20_000,
	});
	return result.kind === 'answer'
		? Buffer.from(result.body as Uint8Array).toString()
		: `${result.error}, ${result.outcome}`;
};

const head = 'HTTP/1.1 200 OK\r\n';
const lost = 'upstream-reset, unknown';
const rawAnswerCases: ReadonlyArray<[string, string, string]> = [
	['whole', `${head}Content-Length: 2\r\n\r\nok`, 'ok'],
	[
		'whole chunks',
		`${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
		'ok',
	],
	[
		'early hints first',
		`HTTP/1.1 103 Early Hints\r\n\r\n${head}Content-Length: 2\r\n\r\nok`,
		'ok',
	],
	['no bytes', '', lost],
	['half a head', head, lost],
	['short body', `${head}Content-Length: 3\r\n\r\nok`, lost],
	[
		'short body, close announced',
		`${head}Connection: close\r\nContent-Length: 3\r\n\r\nok`,
		lost,
	],
	[
		'no last chunk',
		`${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
		lost,
	],
	[
		'no last chunk, close announced',
		`${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
		lost,
	],
	['neither length nor chunks', `${head}Connection: close\r\n\r\nok`, lost],
	[
		'both length and chunks',
		`${head}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
		lost,
	],
	[
		'bad chunk size',
		`${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n`,
		lost,
	],
	[
		'two lengths',
		`${head}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok`,
		lost,
	],
	['not HTTP', 'hello there\r\n\r\n', lost],
	[
		'a head past the bound',
		`${head}X-Long: ${'x'.repeat(20_000)}\r\nContent-Length: 2\r\n\r\nok`,
		lost,
	],
	[
		'a request timeout',
		'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n',
		lost,
	],
];

for (const [name, rawAnswer, wanted] of rawAnswerCases) {
	tap.t.test(`raw answer: ${name}: ${wanted}`, async (t) => {
		const path = await start(t, (socket) => {
			socket.once('data', () => socket.end(rawAnswer));
		});
		t.equal(await send(path), wanted);
	});
}

tap.t.test('bytes after an answer are not the next answer', async (t) => {
	let requests = 0;
	const path = await start(t, (socket) => {
		socket.on('data', () => {
			requests += 1;
			const answer = `${head}Content-Length: 1\r\n\r\n${requests}`;
			socket.write(`${answer}${head}Content-Length: 5\r\n\r\nWRONG`);
		});
	});
	for (const wanted of ['1', '2', '3']) {
		t.equal(await send(path), wanted);
	}
});
