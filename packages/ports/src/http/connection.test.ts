import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import * as tap from 'tap';
import {createHttpConnection, type HttpConnection} from './connection.js';
import type {TimeoutKind} from './exchange.js';

type World = {
	readonly connection: HttpConnection;
	/** Paths that arrived, in order. */
	readonly arrived: readonly string[];
	/** Answers what is held. */
	readonly release: () => void;
	/** Connections that were opened. */
	readonly countConnections: () => number;
};

/** Parts of the slow answer and the time between two, in milliseconds. */
const slowAnswer = {parts: 40, partMs: 30} as const;

const sendSlowly = async (res: http.ServerResponse): Promise<void> => {
	for (let part = 0; part < slowAnswer.parts && !res.destroyed; part += 1) {
		await delay(slowAnswer.partMs);
		res.write('x');
	}

	res.end();
};

/** A server that answers most paths at once, and a pool of one. */
const createWorld = async (
	t: Pick<typeof tap.t, 'teardown'>,
): Promise<World> => {
	const arrived: string[] = [];
	const held: http.ServerResponse[] = [];
	let connections = 0;
	const server = http.createServer((req, res) => {
		arrived.push(req.url ?? '');
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
		arrived,
		countConnections: () => connections,
		release() {
			for (const res of held.splice(0)) {
				res.end('late');
			}
		},
	};
};

const post = {method: 'POST', body: '{"some":"body"}'} as const;

tap.t.test('an answer is whole', async (t) => {
	const {connection} = await createWorld(t);
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
		const {connection, release} = await createWorld(t);
		const result = await connection.call({...post, path, timeoutMs: 100});
		t.same(result, {ok: false, error});
		release();
	});
}

/** Shorter than the slow answer, longer than any of its silences. */
const slowTimeoutMs = 600;

const bounds: ReadonlyArray<{
	readonly path: string;
	readonly bound: TimeoutKind;
	readonly timeoutMs: number;
	readonly end: unknown;
}> = [
	{
		path: '/slow',
		bound: 'whole',
		timeoutMs: slowTimeoutMs,
		end: {kind: 'timeout', receivedBytes: Number},
	},
	{
		path: '/slow',
		bound: 'silence',
		timeoutMs: slowTimeoutMs,
		end: {kind: 'whole', bytes: slowAnswer.parts},
	},
	{
		path: '/stalled',
		bound: 'silence',
		timeoutMs: 100,
		end: {kind: 'timeout', receivedBytes: 4},
	},
	{
		path: '/held',
		bound: 'silence',
		timeoutMs: 100,
		end: {kind: 'timeout', receivedBytes: undefined},
	},
];

for (const {path, bound, timeoutMs, end} of bounds) {
	tap.t.test(`the time bounds the ${bound} of ${path}`, async (t) => {
		const {connection, release} = await createWorld(t);
		const result = await connection.call({
			method: 'GET',
			path,
			timeoutMs,
			timeoutKind: bound,
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

tap.t.test(
	'a request that waited in vain for a connection was not sent',
	async (t) => {
		const {connection, arrived, release} = await createWorld(t);
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
		t.same(arrived, ['/held', '/three'], 'what was given up is never sent');
	},
);

/**
 * Each one that was taken out of the queue ended the connection that had come
 * free, so that the next request paid for a new one: a burst behind a slow link
 * cost as many connections as it had late requests.
 */
tap.t.test('requests given up in the queue cost no connection', async (t) => {
	const {connection, arrived, release, countConnections} = await createWorld(t);
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
	t.same(arrived, ['/held', '/last'], 'what was given up is never sent');
	t.equal(countConnections(), 1);
});

tap.t.test('nothing listens', async (t) => {
	const {connection} = await createWorld(t);
	await connection.close();
	t.same(await connection.call({...post, path: '/one'}), {
		ok: false,
		error: {kind: 'unavailable'},
	});
});
