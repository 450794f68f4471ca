import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import * as tap from 'tap';
import {request} from 'undici';
import {z} from 'zod';
import {peerHeaders, signCall} from './envelope.js';
import {createPeerChannel, type PeerChannel} from './peer-channel.js';

const keyHex = 'ab'.repeat(32);

const createChannel = (entry: string, key = keyHex, wallOffsetMs = 0) =>
	createPeerChannel({
		settings: {address: '127.0.0.1', port: 0, keyHex: key},
		self: {entry, incarnation: `${entry}-1`},
		now: () => performance.now(),
		wallNow: () => Date.now() + wallOffsetMs,
		logger: {warn: () => undefined as never},
	});

const startPair = async (t: tap.Test, caller: PeerChannel) => {
	const received: Array<[number, string]> = [];
	const callee = createChannel('e2');
	callee.addMethod('ping', z.object({entry: z.string()}), ({entry}, from) => {
		received.push([
			received.length,
			`${entry} ${from.entry} ${from.incarnation}`,
		]);
		return {incarnation: 'e2-1', revision: 7, confirmedAgeMs: 0};
	});
	await callee.start(() => undefined);
	await caller.start(() => undefined);
	t.teardown(async () => {
		await caller.stop(0);
		await callee.stop(0);
	});
	return {callee, received};
};

tap.t.test('an entry calls another', async (t) => {
	const caller = createChannel('e1');
	const {callee, received} = await startPair(t, caller);
	const address = callee.getAddress();
	const answer = await caller.call(address, 'ping', {entry: 'e1'}, 2000);
	t.match(answer, {ok: true, value: {revision: 7}});
	t.same(received, [[0, 'e1 e1 e1-1']]);
});

const unauthenticated = [
	['another key', createChannel('e1', 'cd'.repeat(32))],
	['a clock too far ahead', createChannel('e1', keyHex, 60_000)],
	['a clock too far behind', createChannel('e1', keyHex, -60_000)],
] as const;

for (const [name, caller] of unauthenticated) {
	tap.t.test(`a message has no effect: ${name}`, async (t) => {
		const {callee, received} = await startPair(t, caller);
		const address = callee.getAddress();
		const answer = await caller.call(address, 'ping', {entry: 'e1'}, 2000);
		t.match(answer, {ok: false, error: {kind: 'refused'}});
		t.same(received, []);
		t.equal(callee.countRefused(), 1);
	});
}

const signed = (to: string, body: string, nonce = 'n1') => {
	const call = {entry: 'e1', incarnation: 'i', to, time: Date.now(), nonce};
	return {
		[peerHeaders.entry]: call.entry,
		[peerHeaders.incarnation]: call.incarnation,
		[peerHeaders.time]: String(call.time),
		[peerHeaders.nonce]: nonce,
		[peerHeaders.signature]: signCall(Buffer.from(keyHex, 'hex'), call, body),
	};
};

const ping = JSON.stringify({
	jsonrpc: '2.0',
	id: 1,
	method: 'ping',
	params: {entry: 'e1'},
});

tap.t.test('a captured message cannot be replayed', async (t) => {
	const {callee, received} = await startPair(t, createChannel('e1'));
	const address = callee.getAddress();
	const post = async (headers: Record<string, string>, body: string) => {
		const url = `http://${address}/peer`;
		const res = await request(url, {method: 'POST', headers, body});
		await res.body.dump();
		return res.statusCode;
	};

	const headers = signed(address, ping);
	t.equal(await post(headers, ping), 200);
	t.equal(await post(headers, ping), 401, 'repeated');
	t.equal(await post(signed('127.0.0.1:1', ping, 'n2'), ping), 401, 'other');
	const changed = ping.replace('"e1"', '"e9"');
	t.equal(await post(signed(address, ping, 'n3'), changed), 401, 'changed');
	t.equal(await post({}, ping), 401, 'no signature');
	t.equal(received.length, 1);
});

tap.t.test('malformed parameters do not reach the method', async (t) => {
	const caller = createChannel('e1');
	const {callee, received} = await startPair(t, caller);
	const answer = await caller.call(
		callee.getAddress(),
		'ping',
		{entry: 5} as never,
		2000,
	);
	t.match(answer, {ok: false, error: {kind: 'method-failed'}});
	t.same(received, []);
});

tap.t.test('an answer without a valid signature is refused', async (t) => {
	const caller = createChannel('e1');
	const {callee} = await startPair(t, caller);
	const unsignedServer = createServer((_req, res) => {
		res.end('{"jsonrpc":"2.0","id":1,"result":{"revision":99}}');
	});
	unsignedServer.listen(0, '127.0.0.1');
	await once(unsignedServer, 'listening');
	t.teardown(() => unsignedServer.close());
	const {port} = unsignedServer.address() as AddressInfo;
	const wrong = await caller.call(
		`127.0.0.1:${port}`,
		'ping',
		{entry: 'e1'},
		2000,
	);
	t.match(wrong, {ok: false, error: {kind: 'not-authentic'}});
	await callee.stop(0);
	const unreachable = await caller.call(
		callee.getAddress(),
		'ping',
		{entry: 'e1'},
		500,
	);
	t.match(unreachable, {ok: false, error: {kind: /unreachable|timeout/}});
});
