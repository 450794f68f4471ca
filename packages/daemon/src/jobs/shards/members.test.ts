import * as tap from 'tap';
import type {DaemonRow} from '../rows/tables.js';
import {createMembers} from './members.js';

const gapMs = 1500;

const createWorld = () => {
	const clock = {at: 0};
	const members = createMembers({
		now: () => clock.at,
		observationGapMs: gapMs,
		logger: {info: () => undefined as never, warn: () => undefined as never},
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

	return {clock, members, read};
};

tap.t.test(
	'a heartbeat that stands still while others change is silent',
	async (t) => {
		const {clock, members, read} = createWorld();
		read(0, {a: 1, b: 1});
		read(500, {b: 2});
		read(1000, {b: 3});
		t.equal(members.getSilentMs('a'), 1000);
		t.equal(members.getSilentMs('b'), 0);
		clock.at = 1400;
		t.equal(members.getSilentMs('a'), 1400);
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
	t.equal(members.getSilentMs('a'), 0, 'this daemon may be the one cut off');
});

tap.t.test('after a gap silence is measured afresh', async (t) => {
	const {clock, members, read} = createWorld();
	read(0, {a: 1, b: 1});
	read(9000, {b: 2});
	t.equal(members.getSilentMs('a'), 0);
	clock.at = 9800;
	t.equal(members.getSilentMs('a'), 800);
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
