import {Buffer} from 'node:buffer';
import * as tap from 'tap';
import * as core from '@gullstand/core';
import type {Service} from '@gullstand/core';
import * as platform from '@gullstand/ports';
import {commitChange, type ChangeOptions} from './commit-change.js';
import {
	createSnapshotWriter,
	readSnapshot,
	getSnapshotName,
} from './snapshot-store.js';
import {readChanges, toJson} from './tables.js';
import {createViewFollower, type FollowerOptions} from './view-follower.js';
import {encodeSnapshot} from './view-image.js';

const createClock = (): platform.client.Environment => {
	let at = 0;
	return {
		now: () => at,
		async wait(delayMs) {
			at += delayMs;
		},
		random: () => 0.5,
	};
};

const createFixture = () => {
	const env = createClock();
	const store = platform.createMemoryTableService();
	const faults = platform.faults.createFaultControl({
		random: () => 0.999,
		wait: env.wait,
		timeoutMs: 100,
	});
	const table = platform.faults.wrapTableService(store, faults);
	const objects = platform.createMemoryObjectStore();
	const follow = (options: FollowerOptions = {}) =>
		createViewFollower(table, 1000, {env, ...options});
	let ids = 0;
	const put = async (name: string, options: ChangeOptions = {}) => {
		ids += 1;
		const value = toJson(createService(name));
		const change = {table: 'service', key: name, value} as const;
		return commitChange(
			table,
			[{...change, when: {kind: 'any'}}],
			`op-${ids}`,
			{env, ...options},
		);
	};

	return {env, store, table, faults, objects, follow, put};
};

const createService = (name: string): Service => ({
	name,
	pool: 'p',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
});

tap.t.test('follows each change, with its author', async (t) => {
	const {table, follow, put} = createFixture();
	const seen: number[] = [];
	const follower = follow({
		onChange: ({view}) => seen.push(view.revision),
	});
	await put('a', {author: 'ann'});
	await follower.poll();
	await put('b', {author: 'bob'});
	await put('c', {author: 'cid'});
	await follower.poll();
	t.same([...follower.getView().services.keys()], ['a', 'b', 'c']);
	t.same(seen, [1, 3]);
	const log = await readChanges(table, 1);
	t.match(log, {value: [{author: 'bob'}, {author: 'cid', previousId: 'op-2'}]});
});

const scripts: Array<[string, platform.faults.FaultKind[]]> = [
	['the reply', ['none', 'reply-lost']],
	['the request', ['none', 'request-lost']],
	['several replies in a row', ['none', 'reply-lost', 'request-lost', 'none']],
];

for (const [name, script] of scripts) {
	tap.t.test(`a change commits once when ${name} is lost`, async (t) => {
		const {faults, follow, put} = createFixture();
		await put('a');
		faults.script(script);
		t.match(await put('b'), {ok: true, value: {revision: 2}});
		const follower = follow();
		await follower.poll();
		t.equal(follower.getView().revision, 2);
	});
}

tap.t.test('racing changes all commit', async (t) => {
	const {follow, put} = createFixture();
	const names = Array.from({length: 30}, (_, index) => `s${index}`);
	const results = await Promise.all(names.map(async (name) => put(name)));
	t.ok(results.every(({ok}) => ok));
	const follower = follow();
	await follower.poll();
	t.equal(follower.getView().revision, 30);
	t.equal(follower.getView().services.size, 30);
});

tap.t.test('a stale read after a newer one changes nothing', async (t) => {
	const {store, follow, put} = createFixture();
	await put('a');
	const backup = store.dump();
	await put('b');
	const follower = follow();
	await follower.poll();
	store.restore(backup);
	await follower.poll();
	t.equal(follower.getView().revision, 2);
	t.match(follower.getCondition(), {kind: 'store-behind', lost: 1});
	const known = follower.getFollowed();
	t.match(await put('c', {known}), {error: {kind: 'unavailable'}});
	// A writer that does not know the newer view forks the history.
	await put('d');
	await follower.poll();
	t.match(follower.getCondition(), {refusal: {kind: 'diverged'}});
	await put('e');
	await follower.poll();
	t.match(follower.getCondition(), {refusal: {kind: 'diverged'}});
	t.same([...follower.getView().services.keys()], ['a', 'b']);
});

tap.t.test('changes from peers apply in any order', async (t) => {
	const {table, faults, follow, put} = createFixture();
	await put('a');
	const follower = follow();
	await follower.poll();
	await put('b');
	await put('c');
	const log = await readChanges(table, 1);
	const [second, third] = log.ok ? log.value : [];
	faults.set({isDown: true});
	follower.offerDeltas([third!]);
	await follower.poll();
	t.equal(follower.getView().revision, 1);
	follower.offerDeltas([third!, second!]);
	t.equal(follower.getView().revision, 3);
	faults.set({isDown: false});
	await follower.poll();
	t.same(follower.getCondition(), {kind: 'following'});
});

tap.t.test('starts without the store, then follows it', async (t) => {
	const {faults, objects, follow, put} = createFixture();
	await put('a');
	const first = follow();
	await first.poll();
	await objects.put(
		getSnapshotName(1),
		encodeSnapshot(first.getFollowed(), 'f'),
	);
	await put('b');
	await first.poll();
	faults.set({isDown: true});
	const fromPeer = {
		origin: 'peer',
		read: async () => first.getFollowed(),
	} as const;
	const fromSnapshot = {
		origin: 'snapshot',
		async read() {
			const read = await readSnapshot(objects, 'f');
			return read.ok ? read.value : undefined;
		},
	} as const;
	const noPeer = {origin: 'peer', read: async () => undefined} as const;
	const starts = [
		{startSources: [fromPeer, fromSnapshot], origin: 'peer', revision: 2},
		{startSources: [noPeer, fromSnapshot], origin: 'snapshot', revision: 1},
		{startSources: [noPeer], origin: 'none', revision: 0},
	] as const;
	for (const {startSources, origin, revision} of starts) {
		faults.set({isDown: true});
		const follower = follow({startSources});
		await follower.start((err) => t.error(err));
		t.equal(follower.getOrigin(), origin);
		t.equal(follower.getView().revision, revision);
		faults.set({isDown: false});
		await follower.poll();
		t.equal(follower.getView().revision, 2);
		await follower.stop(0);
	}
});

const followed = {
	view: {...core.emptyView, revision: 7},
	deltaId: 'd7',
};
const intact = encodeSnapshot(followed, 'f');
const damaged = Uint8Array.from(intact);
damaged[intact.length - 3] = 0;
const renamed = Buffer.from(
	Buffer.from(intact).toString().replace('"fleet":"f"', '"fleet":"g"'),
);

const snapshots: Array<[string, Uint8Array, object]> = [
	['intact', intact, {ok: true, value: followed}],
	['truncated', intact.subarray(0, -1), {error: {fault: 'torn'}}],
	['empty', intact.subarray(0, 0), {error: {fault: 'torn'}}],
	['damaged', damaged, {error: {fault: 'torn'}}],
	[
		'concatenated with another',
		Buffer.concat([intact, intact]),
		{error: {fault: 'torn'}},
	],
	[
		'of another fleet',
		encodeSnapshot(followed, 'g'),
		{error: {fault: 'foreign'}},
	],
	['relabelled', renamed, {error: {fault: 'torn'}}],
	['no snapshot', Buffer.from('[1]\nx'), {error: {fault: 'torn'}}],
	[
		'later format',
		Buffer.from('{"format":2,"fleet":"f","bytes":1,"sha256":""}\nx'),
		{error: {fault: 'unknown-format'}},
	],
];

for (const [name, bytes, expected] of snapshots) {
	tap.t.test(`snapshot: ${name}`, async (t) => {
		const {objects} = createFixture();
		await objects.put(getSnapshotName(1), bytes);
		t.match(await readSnapshot(objects, 'f'), expected);
	});
}

tap.t.test('a paused holder does not overwrite a newer snapshot', async (t) => {
	const {env, objects, follow, put} = createFixture();
	await put('a');
	const old = follow();
	await old.poll();
	await put('b');
	const follower = follow();
	await follower.poll();
	const lease: {token: number | undefined} = {token: undefined};
	const writer = createSnapshotWriter({
		objects,
		fleet: 'f',
		env,
		getFollowed: follower.getFollowed,
		getToken: () => lease.token,
		minWriteMs: 1000,
		checkMs: 60_000,
	});
	const readRevision = async () => {
		const read = await readSnapshot(objects, 'f');
		return read.ok ? read.value.view.revision : undefined;
	};

	await writer.write();
	t.equal(await readRevision(), undefined, 'not the holder');
	lease.token = 8;
	await writer.write();
	t.equal(await readRevision(), 2);
	const late = encodeSnapshot(old.getFollowed(), 'f');
	await objects.put(getSnapshotName(7), late);
	t.equal(await readRevision(), 2);
	await objects.put(getSnapshotName(8), late);
	await env.wait(60_000);
	await writer.write();
	t.equal(await readRevision(), 2, 'a lost snapshot is rewritten');
});
