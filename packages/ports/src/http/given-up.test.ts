/**
 * A request that was given up while it waited for a connection costs nothing
 * more. Each one that is taken out of the queue ends the connection that has
 * come free, so that the next request pays for a new one: a burst behind a
 * slow link costs as many connections as it has late requests.
 */
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import * as tap from 'tap';
import {createHttpConnection} from './connection.js';

tap.t.test('requests given up in the queue cost no connection', async (t) => {
	const held: http.ServerResponse[] = [];
	const arrived: string[] = [];
	let connections = 0;
	const server = http.createServer((req, res) => {
		arrived.push(req.url ?? '');
		if (req.url === '/held') {
			held.push(res);
		} else {
			res.end('answer');
		}
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
	const first = connection.call({
		method: 'POST',
		path: '/held',
		body: '{}',
		timeoutMs: 4000,
	});
	await Promise.all(
		Array.from({length: 5}, async (_, index) =>
			connection.call({
				method: 'POST',
				path: `/late-${index}`,
				body: '{}',
				timeoutMs: 50,
			}),
		),
	);
	for (const res of held) {
		res.end('late');
	}

	const answered = await first;
	t.ok(answered.ok);
	const last = await connection.call({
		method: 'POST',
		path: '/last',
		body: '{}',
	});
	t.ok(last.ok);
	t.same(arrived, ['/held', '/last'], 'what was given up is never sent');
	t.equal(connections, 1);
});
