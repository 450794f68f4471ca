/** A large object on a slow link must not run into the call timeout. */
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import * as tap from 'tap';
import {createHttpConnection} from './connection.js';
import {createHttpObjectStore} from './object-store.js';

const partBytes = 1000;
const parts = 40;
const partMs = 30;

/** Longer than any pause of the answer, shorter than the whole answer. */
const timeoutMs = 600;

tap.t.test('a large object arrives over a slow link', async (t) => {
	const server = http.createServer(async (_req, res) => {
		for (let part = 0; part < parts && !res.destroyed; part += 1) {
			await delay(partMs);
			res.write('x'.repeat(partBytes));
		}

		res.end();
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const connection = createHttpConnection({
		origin: `http://127.0.0.1:${port}`,
		timeoutMs,
		maxConnections: 1,
		maxAnswerBytes: parts * partBytes,
	});
	t.teardown(async () => {
		await connection.close();
		server.closeAllConnections();
		server.close();
	});
	const object = await createHttpObjectStore(connection).get('name');
	t.ok(object.ok);
	t.equal(object.ok && object.value?.length, parts * partBytes);
});
