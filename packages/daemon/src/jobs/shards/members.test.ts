import type * as ports from '@gullstand/ports';
import * as tap from 'tap';
import type {DaemonRow} from '../rows/tables.js';
import {createMembers} from './members.js';

const gapMs = 1500;

const createWorld = () => {
	const clock = {at: 0};
	const told: string[] = [];
	const members = createMembers({
		now: () => clock.at,
		observationGapMs: gapMs,
		logger: {info: () => undefined as never},
		rowFaults: {
			report({key}) {
				told.push(key);
			},
			clear: () => undefined,
			keepOnly: () => undefined,
		},
	});
	const read = (at: number, beats: Readonly<Record<string, number>>) => {
		clock.at = at;
		members.applyChanges({
			version: at,
			entries: Object.entries(beats).map(([key, beat]) => {
				const row: DaemonRow = {incarnation: 'i', address: 'a', beat};
				const value = JSON.stringify(row);
				return {
					key,
					value: {table: 'daemon', part: key, key, version: at, value},
				};
			}),
		});
	};

	return {clock, members, read, told};
};

tap.t.test(
	'a heartbeat that stands still while others change is silent',
	async (t) => {
		const {clock, members, read} = createWorld();
		read(0, {a: 1, b: 1});
		read(500, {b: 2});
		read(1000, {b: 3});
		t.equal(members.getUnresponsiveMs('a'), 1000);
		t.equal(members.getUnresponsiveMs('b'), 0);
		clock.at = 1400;
		t.equal(members.getUnresponsiveMs('a'), 1400);
		t.same(members.listLive(1000), ['b']);
	},
);

tap.t.test(
	'a daemon that is stopping is alive and claims nothing',
	async (t) => {
		const {members, read} = createWorld();
		read(0, {a: 1, b: 1});
		members.noteLeaving('a', 'i');
		t.same(members.listLive(1000), ['b']);
		t.equal(members.get('a')?.incarnation, 'i', 'its shards are not free yet');
		read(500, {a: 2, b: 2});
		t.same(members.listLive(1000), ['b']);
	},
);

tap.t.test('the next life of a daemon that stopped may claim', async (t) => {
	const {members, read} = createWorld();
	read(0, {a: 1, b: 1});
	members.noteLeaving('a', 'life before');
	t.same(members.listLive(1000), ['a', 'b']);
});

tap.t.test('while nothing is read nobody counts as silent', async (t) => {
	const {clock, members, read} = createWorld();
	read(0, {a: 1, b: 1});
	clock.at = 9000;
	t.equal(
		members.getUnresponsiveMs('a'),
		0,
		'this daemon may be the one cut off',
	);
});

tap.t.test('after a gap silence is measured afresh', async (t) => {
	const {clock, members, read} = createWorld();
	read(0, {a: 1, b: 1});
	read(9000, {b: 2});
	t.equal(members.getUnresponsiveMs('a'), 0);
	clock.at = 9800;
	t.equal(members.getUnresponsiveMs('a'), 800);
});

tap.t.test('a daemon is live since its life was first seen', async (t) => {
	const {clock, members, read} = createWorld();
	t.equal(members.getLiveForMs('a'), 0);
	for (let beat = 0; beat < 5; beat++) {
		read(beat * 500, {a: beat, b: beat});
	}

	t.equal(members.getLiveForMs('a'), 2000);
	clock.at = 2100;
	t.equal(members.getLiveForMs('a'), 2100);
});

tap.t.test('a daemon that was silent is live afresh', async (t) => {
	const {members, read} = createWorld();
	for (let beat = 0; beat < 5; beat++) {
		read(beat * 500, beat === 0 || beat === 4 ? {a: beat, b: beat} : {b: beat});
	}

	t.equal(members.getLiveForMs('a'), 0);
	t.equal(members.getLiveForMs('b'), 2000);
});

tap.t.test('after a gap in the reads all are live afresh', async (t) => {
	const {members, read} = createWorld();
	read(0, {a: 1, b: 1});
	read(9000, {b: 2});
	t.equal(members.getLiveForMs('a'), 0);
	t.equal(members.getLiveForMs('b'), 0);
});

const heartbeat = (
	at: number,
	name: string,
	value: string,
): ports.FeedBatch<ports.ChangedRow> => ({
	version: at,
	entries: [
		{
			key: name,
			value: {table: 'daemon', part: name, key: name, version: at, value},
		},
	],
});

const unreadable: ReadonlyArray<readonly [name: string, value: string]> = [
	['no text', ''],
	['text that is not JSON', '{"beat":'],
	['null', 'null'],
	['a life that is a number', '{"incarnation":7,"address":"a","beat":1}'],
	['a beat that is a text', '{"incarnation":"i","address":"a","beat":"1"}'],
	['no address', '{"incarnation":"i","beat":1}'],
];

for (const [name, value] of unreadable) {
	tap.t.test(`a heartbeat that holds ${name} replaces no life`, async (t) => {
		const {clock, members, read, told} = createWorld();
		members.applyChanges(heartbeat(0, 'a', value));
		t.equal(members.get('a'), undefined, 'no other life is known');
		read(500, {b: 1});
		clock.at = 900;
		t.equal(members.getUnresponsiveMs('a'), 900, 'its silence does');
		read(1000, {a: 1, b: 2});
		t.equal(members.get('a')?.incarnation, 'i');
		t.equal(members.getUnresponsiveMs('a'), 0);
		clock.at = 1500;
		members.applyChanges(heartbeat(1500, 'a', value));
		t.equal(members.get('a')?.incarnation, 'i', 'the last that was read');
		t.equal(members.getUnresponsiveMs('a'), 500);
		t.same(told, ['a', 'a']);
	});
}

tap.t.test('a daemon that is not known is silent since the first read', (t) => {
	const {clock, members, read} = createWorld();
	clock.at = 5000;
	t.equal(members.getUnresponsiveMs('a'), 0, 'nothing is read yet');
	read(5000, {b: 1});
	clock.at = 5900;
	t.equal(members.getUnresponsiveMs('a'), 900);
	read(9000, {b: 2});
	t.equal(members.getUnresponsiveMs('a'), 0, 'afresh after a gap in the reads');
	t.end();
});

tap.t.test('all are silent once reads show no change', (t) => {
	const {members, read} = createWorld();
	read(0, {a: 1, b: 1});
	for (let at = 700; at <= 2100; at += 700) {
		read(at, {});
	}

	t.equal(members.getUnresponsiveMs('a'), 2100);
	t.equal(members.getUnresponsiveMs('b'), 2100);
	t.end();
});
