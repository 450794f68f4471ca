import type * as ports from '@gullstand/ports';
import * as tap from 'tap';
import type {DaemonRow} from '../rows/tables.js';
import {createMembers} from './members.js';

const gapMs = 1500;

const createTestEnvironment = () => {
	const clock = {at: 0};
	const reported: string[] = [];
	const members = createMembers({
		now: () => clock.at,
		observationGapMs: gapMs,
		logger: {info: () => undefined as never},
		rowFaults: {
			report({key}) {
				reported.push(key);
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

	return {clock, members, read, reported};
};

tap.t.test(
	'a daemon whose heartbeat stops while others change is unresponsive',
	async (t) => {
		const {clock, members, read} = createTestEnvironment();
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

tap.t.test('a stopping daemon is known but not listed as live', async (t) => {
	const {members, read} = createTestEnvironment();
	read(0, {a: 1, b: 1});
	members.noteLeaving('a', 'i');
	t.same(members.listLive(1000), ['b']);
	t.equal(members.get('a')?.incarnation, 'i', 'its shards are not free yet');
	read(500, {a: 2, b: 2});
	t.same(members.listLive(1000), ['b']);
});

tap.t.test(
	'the next incarnation of a stopped daemon is listed as live',
	async (t) => {
		const {members, read} = createTestEnvironment();
		read(0, {a: 1, b: 1});
		members.noteLeaving('a', 'previous incarnation');
		t.same(members.listLive(1000), ['a', 'b']);
	},
);

tap.t.test('no daemon is unresponsive while reads fail', async (t) => {
	const {clock, members, read} = createTestEnvironment();
	read(0, {a: 1, b: 1});
	clock.at = 9000;
	t.equal(
		members.getUnresponsiveMs('a'),
		0,
		'this daemon may be the one that is disconnected',
	);
});

tap.t.test(
	'after a gap in the reads the unresponsive time restarts',
	async (t) => {
		const {clock, members, read} = createTestEnvironment();
		read(0, {a: 1, b: 1});
		read(9000, {b: 2});
		t.equal(members.getUnresponsiveMs('a'), 0);
		clock.at = 9800;
		t.equal(members.getUnresponsiveMs('a'), 800);
	},
);

tap.t.test(
	'a daemon is live since its incarnation was first seen',
	async (t) => {
		const {clock, members, read} = createTestEnvironment();
		t.equal(members.getLiveForMs('a'), 0);
		for (let beat = 0; beat < 5; beat++) {
			read(beat * 500, {a: beat, b: beat});
		}

		t.equal(members.getLiveForMs('a'), 2000);
		clock.at = 2100;
		t.equal(members.getLiveForMs('a'), 2100);
	},
);

tap.t.test('the live time restarts after an unresponsive period', async (t) => {
	const {members, read} = createTestEnvironment();
	for (let beat = 0; beat < 5; beat++) {
		read(beat * 500, beat === 0 || beat === 4 ? {a: beat, b: beat} : {b: beat});
	}

	t.equal(members.getLiveForMs('a'), 0);
	t.equal(members.getLiveForMs('b'), 2000);
});

tap.t.test(
	'the live time of all daemons restarts after a gap in the reads',
	async (t) => {
		const {members, read} = createTestEnvironment();
		read(0, {a: 1, b: 1});
		read(9000, {b: 2});
		t.equal(members.getLiveForMs('a'), 0);
		t.equal(members.getLiveForMs('b'), 0);
	},
);

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
	['an empty text', ''],
	['text that is not JSON', '{"beat":'],
	['null', 'null'],
	[
		'an incarnation that is a number',
		'{"incarnation":7,"address":"a","beat":1}',
	],
	['a beat that is a string', '{"incarnation":"i","address":"a","beat":"1"}'],
	['no address', '{"incarnation":"i","beat":1}'],
];

for (const [name, value] of unreadable) {
	tap.t.test(`a heartbeat with ${name} replaces no incarnation`, async (t) => {
		const {clock, members, read, reported} = createTestEnvironment();
		members.applyChanges(heartbeat(0, 'a', value));
		t.equal(members.get('a'), undefined, 'no incarnation is known');
		read(500, {b: 1});
		clock.at = 900;
		t.equal(
			members.getUnresponsiveMs('a'),
			900,
			'it is unresponsive since the first read',
		);
		read(1000, {a: 1, b: 2});
		t.equal(members.get('a')?.incarnation, 'i');
		t.equal(members.getUnresponsiveMs('a'), 0);
		clock.at = 1500;
		members.applyChanges(heartbeat(1500, 'a', value));
		t.equal(
			members.get('a')?.incarnation,
			'i',
			'the last valid heartbeat stays',
		);
		t.equal(members.getUnresponsiveMs('a'), 500);
		t.same(reported, ['a', 'a']);
	});
}

tap.t.test('an unknown daemon is unresponsive since the first read', (t) => {
	const {clock, members, read} = createTestEnvironment();
	clock.at = 5000;
	t.equal(members.getUnresponsiveMs('a'), 0, 'nothing was read yet');
	read(5000, {b: 1});
	clock.at = 5900;
	t.equal(members.getUnresponsiveMs('a'), 900);
	read(9000, {b: 2});
	t.equal(
		members.getUnresponsiveMs('a'),
		0,
		'restarts after a gap in the reads',
	);
	t.end();
});

tap.t.test('all daemons are unresponsive when reads show no change', (t) => {
	const {members, read} = createTestEnvironment();
	read(0, {a: 1, b: 1});
	for (let at = 700; at <= 2100; at += 700) {
		read(at, {});
	}

	t.equal(members.getUnresponsiveMs('a'), 2100);
	t.equal(members.getUnresponsiveMs('b'), 2100);
	t.end();
});

tap.t.test('after changes that were not read, no incarnation is known', (t) => {
	const {clock, members, read} = createTestEnvironment();
	read(0, {a: 1, b: 1});
	t.equal(members.getIncarnation('a'), 'i');
	clock.at = 1000;
	members.applySnapshot({version: 1000, entries: []});
	t.equal(members.getIncarnation('a'), undefined);
	t.equal(members.get('a')?.address, 'a', 'it may be called');
	t.equal(members.getUnresponsiveMs('a'), 0, 'heartbeats may have been missed');
	read(1200, {a: 1});
	t.equal(members.getIncarnation('a'), 'i');
	t.equal(members.getIncarnation('b'), undefined);
	clock.at = 2400;
	t.equal(members.getUnresponsiveMs('b'), 1400);
	t.end();
});
