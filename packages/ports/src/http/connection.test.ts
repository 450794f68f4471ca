import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import * as tap from 'tap';
import {createHttpConnection, type HttpConnection} from './connection.js';
import type {TimeoutKind} from './exchange.js';

type TestEnvironment = {
	readonly connection: HttpConnection;
	/** Paths of the requests received, in order. */
	readonly receivedPaths: readonly string[];
	/** Answers the held requests. */
	readonly release: () => void;
	/** Returns the number of connections opened. */
	readonly countConnections: () => number;
};

/** Number of parts of the slow answer and the interval in milliseconds. */
const slowAnswer = {parts: 40, partMs: 30} as const;

const sendSlowly = async (res: http.ServerResponse): Promise<void> => {
	for (let part = 0; part < slowAnswer.parts && !res.destroyed; part += 1) {
		await delay(slowAnswer.partMs);
		res.write('x');
	}

	res.end();
};

/** Starts a server and a pool of one connection to it. */
const startTestServer = async (
	t: Pick<typeof tap.t, 'teardown'>,
): Promise<TestEnvironment> => {
	const receivedPaths: string[] = [];
	const held: http.ServerResponse[] = [];
	let connections = 0;
	const server = http.createServer((req, res) => {
		receivedPaths.push(req.url ?? '');
		if (req.url === '/held') {
			held.push(res);
			return;
		}

		if (req.url === '/broken') {
			res.writeHead(200, {'content-length': '10'});
			res.write('half', () => {
				res.destroy();
			});
			return;
		}

		if (req.url === '/stalled') {
			res.write('half');
			return;
		}

		if (req.url === '/slow') {
			void sendSlowly(res);
			return;
		}

		req.resume();
		req.on('end', () => {
			res.statusCode = 201;
			res.end(`answer to ${req.url}`);
		});
	});
	server.on('connection', () => {
		connections += 1;
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
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
	return {
		connection,
		receivedPaths,
		countConnections: () => connections,
		release() {
			for (const res of held.splice(0)) {
				res.end('late');
			}
		},
	};
};

const post = {method: 'POST', body: '{"some":"body"}'} as const;

tap.t.test('an answer is received completely', async (t) => {
	const {connection} = await startTestServer(t);
	const result = await connection.call({...post, path: '/one'});
	t.ok(result.ok);
	if (result.ok) {
		t.equal(result.value.status, 201);
		t.equal(new TextDecoder().decode(result.value.body), 'answer to /one');
	}
});

const failures = [
	{path: '/held', error: {kind: 'timeout'}},
	{path: '/broken', error: {kind: 'timeout', receivedBytes: 4}},
] as const;

for (const {path, error} of failures) {
	tap.t.test(`${path} may have taken effect`, async (t) => {
		const {connection, release} = await startTestServer(t);
		const result = await connection.call({...post, path, timeoutMs: 100});
		t.same(result, {ok: false, error});
		release();
	});
}

/** Shorter than the slow answer, longer than any of its pauses. */
const slowTimeoutMs = 600;

const timeouts: ReadonlyArray<{
	readonly path: string;
	readonly timeoutKind: TimeoutKind;
	readonly timeoutMs: number;
	readonly end: unknown;
}> = [
	{
		path: '/slow',
		timeoutKind: 'whole',
		timeoutMs: slowTimeoutMs,
		end: {kind: 'timeout', receivedBytes: Number},
	},
	{
		path: '/slow',
		timeoutKind: 'silence',
		timeoutMs: slowTimeoutMs,
		end: {kind: 'whole', bytes: slowAnswer.parts},
	},
	{
		path: '/stalled',
		timeoutKind: 'silence',
		timeoutMs: 100,
		end: {kind: 'timeout', receivedBytes: 4},
	},
	{
		path: '/held',
		timeoutKind: 'silence',
		timeoutMs: 100,
		end: {kind: 'timeout', receivedBytes: undefined},
	},
];

for (const {path, timeoutKind, timeoutMs, end} of timeouts) {
	tap.t.test(`${path} with a timeout of kind ${timeoutKind}`, async (t) => {
		const {connection, release} = await startTestServer(t);
		const result = await connection.call({
			method: 'GET',
			path,
			timeoutMs,
			timeoutKind,
		});
		t.match(
			result.ok
				? {kind: 'whole', bytes: result.value.body.length}
				: result.error,
			end,
		);
		release();
	});
}

tap.t.test('a request that timed out in the queue was not sent', async (t) => {
	const {connection, receivedPaths, release} = await startTestServer(t);
	const first = connection.call({...post, path: '/held', timeoutMs: 4000});
	const queued = await connection.call({
		...post,
		path: '/two',
		timeoutMs: 50,
	});
	t.same(queued, {ok: false, error: {kind: 'unavailable'}});
	release();
	const held = await first;
	const third = await connection.call({...post, path: '/three'});
	t.ok(held.ok && third.ok);
	t.same(
		receivedPaths,
		['/held', '/three'],
		'a timed-out request is never sent',
	);
});

/** Guards against closing a free connection for each timed-out request. */
tap.t.test(
	'requests that time out in the queue close no connection',
	async (t) => {
		const {connection, receivedPaths, release, countConnections} =
			await startTestServer(t);
		const first = connection.call({...post, path: '/held', timeoutMs: 4000});
		await Promise.all(
			Array.from({length: 5}, async (_, index) =>
				connection.call({...post, path: `/late-${index}`, timeoutMs: 50}),
			),
		);
		release();
		const answered = await first;
		t.ok(answered.ok);
		const last = await connection.call({...post, path: '/last'});
		t.ok(last.ok);
		t.same(
			receivedPaths,
			['/held', '/last'],
			'a timed-out request is never sent',
		);
		t.equal(countConnections(), 1);
	},
);

tap.t.test('a call to a closed pool is unavailable', async (t) => {
	const {connection} = await startTestServer(t);
	await connection.close();
	t.same(await connection.call({...post, path: '/one'}), {
		ok: false,
		error: {kind: 'unavailable'},
	});
});

tap.t.test(
	'a call that may take longer than others of its pool is not cut short',
	async (t) => {
		const answerMs = 2500;
		const server = http.createServer((_req, res) => {
			setTimeout(() => {
				res.end('late');
			}, answerMs);
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const connection = createHttpConnection({
			origin: `http://127.0.0.1:${port}`,
			timeoutMs: 100,
			maxConnections: 1,
			maxAnswerBytes: 100,
		});
		t.teardown(async () => {
			await connection.close();
			server.closeAllConnections();
			server.close();
		});
		const result = await connection.call({
			method: 'POST',
			path: '/',
			timeoutMs: 2 * answerMs,
		});
		t.match(result, {ok: true, value: {status: 200}});
	},
);
