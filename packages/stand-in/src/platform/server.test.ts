import * as tap from 'tap';
import * as platform from '@gullstand/ports';
import {startPlatformServer} from './server.js';

const write: platform.Write = {
	kind: 'put',
	table: 't',
	key: 'a',
	value: {n: 1},
	when: {kind: 'absent'},
};

const startServerAndClient = async (t: tap.Test, timeoutMs = 2000) => {
	const server = await startPlatformServer({random: () => 0.5});
	const connection = platform.createHttpConnection({
		...platform.defaultHttpOptions,
		origin: server.origin,
		timeoutMs,
	});
	t.teardown(async () => {
		await connection.close();
		await server.close();
	});
	return {
		server,
		connection,
		tables: platform.createHttpTableService(connection),
	};
};

const kinds: Array<[platform.faults.FaultKind, string | undefined, boolean]> = [
	['none', undefined, true],
	['unavailable', 'unavailable', false],
	['request-lost', 'timeout', false],
	['reply-lost', 'timeout', true],
];

for (const [kind, error, hasEffect] of kinds) {
	tap.t.test(`commit with fault ${kind}`, async (t) => {
		const {server, tables} = await startServerAndClient(t);
		server.faults.script([kind]);
		const result = await tables.commit([write], 'op-1');
		t.equal(result.ok ? undefined : result.error.kind, error);
		const read = await tables.get('t', 'a');
		t.equal(read.ok && read.value?.operationId === 'op-1', hasEffect);
	});
}

tap.t.test('a call to a slow platform ends at its timeout', async (t) => {
	const {server, tables} = await startServerAndClient(t, 50);
	server.faults.set({delayMs: 10_000});
	t.match(await tables.get('t', 'a'), {error: {kind: 'timeout'}});
});

tap.t.test('a call to a closed port is unavailable, not unknown', async (t) => {
	const {server, tables} = await startServerAndClient(t);
	await server.close();
	const result = await tables.commit([write], 'op-1');
	t.match(result, {error: {kind: 'unavailable'}});
});

tap.t.test('table calls work as in memory', async (t) => {
	const {tables} = await startServerAndClient(t);
	t.same(await tables.get('t', 'a'), {ok: true, value: undefined});
	t.match(await tables.commit([write], 'op-1'), {value: {versions: [1]}});
	t.match(await tables.commit([write], 'op-2'), {
		error: {kind: 'conflict', current: {version: 1, operationId: 'op-1'}},
	});
	const conflicting: platform.Write = {
		...write,
		when: {kind: 'version', version: 7},
		key: 'b',
	};
	t.same(await tables.commit([conflicting], 'op-3'), {
		ok: false,
		error: {kind: 'conflict', table: 't', key: 'b', current: undefined},
	});
	t.match(await tables.range({table: 't', prefix: '', limit: 9}), {
		value: [{key: 'a', value: {n: 1}}],
	});
	const large = {...write, value: 'x'.repeat(100_000)};
	t.match(await tables.commit([large], 'op-4'), {error: {kind: 'too-large'}});
});

tap.t.test(
	'objects, instance list and workers work as in memory',
	async (t) => {
		const {server, connection} = await startServerAndClient(t);
		const objects = platform.createHttpObjectStore(connection);
		t.same(await objects.get('a/b'), {ok: true, value: undefined});
		const body = new Uint8Array([1, 2, 3]);
		t.match(await objects.put('a/b', body), {ok: true});
		t.match(await objects.get('a/b'), {value: body});
		t.match(await objects.delete('a/b'), {ok: true});
		t.same(await objects.get('a/b'), {ok: true, value: undefined});
		const list = platform.createHttpInstanceList(connection);
		t.same(await list.list(), {ok: true, value: []});
		server.faults.set({isListStale: true});
		server.instances.set({
			id: 'e1',
			role: 'entry',
			address: '127.0.0.1:1',
			availabilityZone: 'a',
			state: 'live',
			incarnation: '1',
		});
		t.same(await list.list(), {ok: true, value: []});
		server.faults.set({isListStale: false});
		t.match(await list.list(), {value: [{id: 'e1'}]});
		const workers = platform.createHttpWorkers(connection);
		t.match(await workers.report('w1'), {error: {kind: 'unreachable'}});
	},
);

tap.t.test('an invalid answer leaves the outcome unknown', async (t) => {
	const server = await startPlatformServer({
		random: () => 0.5,
		ports: {
			tables: {
				...platform.createMemoryTableService(),
				commit: async () => ({ok: true, value: {versions: [-1]}}),
			},
		},
	});
	const connection = platform.createHttpConnection({
		...platform.defaultHttpOptions,
		origin: server.origin,
	});
	t.teardown(async () => {
		await connection.close();
		await server.close();
	});
	const tables = platform.createHttpTableService(connection);
	t.match(await tables.commit([write], 'op-1'), {error: {kind: 'timeout'}});
});
