/** Guards against taking a pause of this process for silence of the other side. */
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import * as tap from 'tap';
import {createHttpConnection} from './connection.js';
import {timeoutKinds, type TimeoutKind} from './exchange.js';

const timeoutMs = 100;

const pauseMs = 300;

const pauseProcess = () => {
	const end = performance.now() + pauseMs;
	while (performance.now() < end) {
		// Keeps the event loop from running.
	}
};

/** Starts a server after each of whose answers the process is paused. */
const startServer = async (t: Pick<typeof tap.t, 'teardown'>) => {
	const receivedPaths: string[] = [];
	const server = http.createServer((req, res) => {
		receivedPaths.push(req.url ?? '');
		if (req.url === '/half') {
			res.writeHead(200, {'content-length': '10'});
			res.write('half');
		} else if (req.url === '/answered') {
			res.end('answer');
		}

		setImmediate(pauseProcess);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const connection = createHttpConnection({
		origin: `http://127.0.0.1:${port}`,
		timeoutMs: 5000,
		maxConnections: 1,
		maxAnswerBytes: 100,
	});
	t.teardown(async () => {
		await connection.close();
		server.closeAllConnections();
		server.close();
	});
	return {connection, receivedPaths};
};

type Case = {
	readonly name: string;
	readonly path: string;
	readonly timeoutKind: TimeoutKind;
	readonly outcome: 'answered' | 'timeout';
};

const cases: readonly Case[] = [
	{
		name: 'an answer that came meanwhile counts',
		path: '/answered',
		timeoutKind: timeoutKinds.whole,
		outcome: 'answered',
	},
	{
		name: 'an answer that came meanwhile counts, by an idle time-out',
		path: '/answered',
		timeoutKind: timeoutKinds.idle,
		outcome: 'answered',
	},
	{
		name: 'no answer stays none',
		path: '/held',
		timeoutKind: timeoutKinds.whole,
		outcome: 'timeout',
	},
	{
		name: 'half an answer is none',
		path: '/half',
		timeoutKind: timeoutKinds.whole,
		outcome: 'timeout',
	},
];

for (const {name, path, timeoutKind, outcome} of cases) {
	tap.t.test(`a paused process: ${name}`, async (t) => {
		const {connection} = await startServer(t);
		const result = await connection.call({
			method: 'POST',
			path,
			timeoutMs,
			timeoutKind,
		});
		t.equal(result.ok ? 'answered' : result.error.kind, outcome);
	});
}

tap.t.test('a paused process sends nothing after its time', async (t) => {
	const {connection, receivedPaths} = await startServer(t);
	const [first, queued] = await Promise.all([
		connection.call({method: 'POST', path: '/answered', timeoutMs}),
		connection.call({method: 'POST', path: '/queued', timeoutMs}),
	]);
	t.ok(first.ok);
	t.same(queued, {ok: false, error: {kind: 'unavailable'}});
	await connection.call({method: 'POST', path: '/answered'});
	t.same(receivedPaths, ['/answered', '/answered']);
});
