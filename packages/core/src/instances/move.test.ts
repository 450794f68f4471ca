import * as tap from 'tap';
import type {Registration} from '../membership/registration.js';
import type {Instance} from '../types/instance.js';
import {
	cancelMove,
	decideMove,
	noOutageStart,
	startMove,
	type MembershipRead,
	type Move,
} from './move.js';
import {applyTransition, transitions} from './transition.js';

const createInstance = (change: Partial<Instance> = {}): Instance => ({
	id: 'x',
	kind: 'executor',
	address: '127.0.0.1:1',
	pool: 'a',
	epoch: 6,
	state: 'draining',
	region: 'r',
	availabilityZone: 'z',
	rack: 'k',
	...change,
});

const move = {
	version: 30,
	value: {
		instance: 'x',
		from: 'a',
		to: 'b',
		epoch: 6,
		drainRevision: 12,
		author: 'ann',
	} satisfies Move,
};

const createRegistration = (inForce: number, ...holding: string[]) =>
	({
		address: '',
		availabilityZone: '',
		heard: [],
		quorum: [],
		upMs: 60_000,
		acknowledged: {
			entry: 'e1',
			incarnation: 'a',
			sequence: 1,
			inForce,
			holding,
		},
	}) satisfies Registration;

const createRead = (change: Partial<MembershipRead> = {}): MembershipRead => ({
	version: 40,
	registrations: [createRegistration(12)],
	received: new Map(),
	outageStart: noOutageStart,
	...change,
});

const shard = {shard: 's', version: 50};

const outageStart = {
	snapshotRevision: 12,
	markerUnchangedMs: 25_000,
	markerWaitMs: 25_000,
};

const steps: ReadonlyArray<
	readonly [string, Partial<Instance>, Partial<MembershipRead>, object]
> = [
	[
		'every entry has let go',
		{},
		{},
		{
			transition: 'finishDrain',
			instance: {state: 'away', epoch: 7, pool: 'a'},
			move: {epoch: 7},
			conditions: [{table: 'shard'}, {table: 'membership'}],
		},
	],
	[
		'an entry is behind',
		{},
		{registrations: [createRegistration(11)]},
		{kind: 'wait', pendingEntries: [{reason: 'not-in-force'}]},
	],
	[
		'an entry has a request in flight',
		{},
		{registrations: [createRegistration(13, 'x')]},
		{kind: 'wait', pendingEntries: [{reason: 'holding'}]},
	],
	[
		'drained',
		{state: 'away'},
		{registrations: [createRegistration(1)]},
		{transition: 'commitMove', instance: {state: 'serving', pool: 'b'}},
	],
	['cancelled by another', {epoch: 7}, {}, {kind: 'superseded'}],
	['moved by another', {pool: 'c'}, {}, {kind: 'superseded'}],
	['served again', {state: 'serving'}, {}, {kind: 'superseded'}],
	[
		'the snapshot is older than the drain',
		{},
		{outageStart: {...outageStart, snapshotRevision: 11}},
		{kind: 'wait-for-snapshot'},
	],
	[
		'an entry may have started from an older snapshot',
		{},
		{outageStart: {...outageStart, markerUnchangedMs: 20_000}},
		{kind: 'wait-for-start-marker', leftMs: 5000},
	],
	['no entry starts now', {}, {outageStart}, {transition: 'finishDrain'}],
];

for (const [name, change, read, wanted] of steps) {
	tap.t.test(`next step: ${name}`, async (t) => {
		const instance = {value: createInstance(change), version: 20};
		t.match(decideMove(move, instance, createRead(read), shard), wanted);
	});
}

tap.t.test('a deleted instance ends its move', async (t) => {
	const step = decideMove(move, undefined, createRead(), shard);
	t.equal(step.kind, 'superseded');
	t.equal(cancelMove(move, undefined).kind, 'superseded');
});

tap.t.test('a move is taken back until its end', async (t) => {
	for (const state of ['draining', 'away'] as const) {
		const instance = {value: createInstance({state}), version: 20};
		t.match(cancelMove(move, instance), {
			instance: {state: 'serving', pool: 'a', epoch: 7},
			instanceVersion: 20,
			move: undefined,
		});
	}
});

const starts = [
	[{state: 'serving'}, 'b', false, {ok: true}],
	[{state: 'serving'}, 'a', false, {error: {kind: 'same-pool'}}],
	[{state: 'away'}, 'b', false, {error: {kind: 'not-serving'}}],
	[{state: 'serving'}, 'b', true, {error: {kind: 'already-moving'}}],
] as const;

for (const [change, to, isMoving, wanted] of starts) {
	tap.t.test(`starts from ${change.state} to ${to}`, async (t) => {
		const instance = {value: createInstance(change), version: 20};
		const request = {instance, to, isMoving, author: 'ann', revision: 12};
		t.match(startMove(request), wanted);
	});
}

tap.t.test('every transition makes the next epoch or is refused', async (t) => {
	let allowed = 0;
	for (const transition of transitions) {
		for (const state of ['serving', 'draining', 'away', 'returning'] as const) {
			const result = applyTransition(createInstance({state}), transition);
			allowed += result.ok ? 1 : 0;
			t.equal(result.ok ? result.value.epoch : 7, 7);
		}
	}

	t.equal(allowed, 7);
});
