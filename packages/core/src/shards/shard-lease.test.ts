import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import type {EntryIncarnation} from '../membership/acknowledgement.js';
import {createStore} from '../types/row-store.test.fixture.js';
import {
	acquireShard,
	adoptShard,
	isShardLost,
	releaseShard,
	isLeaseCurrent,
	guardWithLease,
	type HeldShard,
	type HolderEvidence,
	type ReadLease,
	type ShardLease,
} from './shard-lease.js';

const leaseMs = 5000;

const [one, two]: readonly EntryIncarnation[] = [
	{entry: 'e1', incarnation: 'a'},
	{entry: 'e2', incarnation: 'a'},
];

const heldByTwo: ReadLease = {
	value: {shard: 's', holder: two!, token: 4},
	version: 9,
};

const cases: ReadonlyArray<
	readonly [string, ReadLease, HolderEvidence, number | string]
> = [
	[
		'never held',
		undefined,
		{registeredIncarnation: undefined, unresponsiveMs: 0},
		1,
	],
	[
		'held',
		heldByTwo,
		{registeredIncarnation: 'a', unresponsiveMs: 4999},
		'held',
	],
	[
		'silent holder',
		heldByTwo,
		{registeredIncarnation: 'a', unresponsiveMs: 5000},
		5,
	],
	[
		'earlier life',
		heldByTwo,
		{registeredIncarnation: 'b', unresponsiveMs: 0},
		5,
	],
	[
		'removed',
		heldByTwo,
		{registeredIncarnation: undefined, unresponsiveMs: 0},
		5,
	],
	[
		'handed over',
		{value: {shard: 's', holder: null, token: 4}, version: 9},
		{registeredIncarnation: undefined, unresponsiveMs: 0},
		5,
	],
	[
		'own',
		{value: {shard: 's', holder: one!, token: 4}, version: 9},
		{registeredIncarnation: 'a', unresponsiveMs: 9000},
		'already-own',
	],
];

for (const [name, read, evidence, wanted] of cases) {
	tap.t.test(`acquires a shard: ${name}`, async (t) => {
		const result = acquireShard('s', read, {self: one!, evidence, leaseMs});
		t.match(
			result,
			typeof wanted === 'number'
				? {ok: true, value: {value: {holder: one, token: wanted}}}
				: {ok: false, error: wanted},
		);
	});
}

tap.t.test('adopts a lease whose reply was lost', async (t) => {
	t.same(adoptShard(heldByTwo, two!), {shard: 's', token: 4, version: 9});
	t.equal(adoptShard(heldByTwo, one!), undefined);
	t.equal(adoptShard(heldByTwo, {...two!, incarnation: 'b'}), undefined);
	t.equal(adoptShard(undefined, one!), undefined);
});

tap.t.test('counts on the lease only while heartbeats commit', async (t) => {
	t.ok(isLeaseCurrent(1000, leaseMs, 5999));
	t.notOk(isLeaseCurrent(1000, leaseMs, 6000));
});

type Step = readonly ['acquire' | 'write' | 'release' | 'look', number];

/** Lets holders act at any moment; `silentMs` lets any of them take over. */
const runSteps = (steps: readonly Step[], isGuarded: boolean) => {
	const store = createStore();
	const held = new Map<number, HeldShard>();
	const tokens: number[] = [];
	for (const [step, index] of steps) {
		const read = store.read<ShardLease>('shard', 's');
		const mine = held.get(index);
		if (step === 'acquire') {
			const self = {entry: `e${index}`, incarnation: 'a'};
			const evidence = {registeredIncarnation: 'a', unresponsiveMs: leaseMs};
			const result = acquireShard('s', read, {self, evidence, leaseMs});
			if (result.ok && store.commit([result.value])) {
				const {value, version} = store.read<ShardLease>('shard', 's')!;
				held.set(index, {shard: 's', token: value.token, version});
			}
		} else if (step === 'write' && mine) {
			const write = {
				kind: 'put',
				table: 'data',
				key: 'd',
				value: mine.token,
				when: {kind: 'any'},
			} as const;
			const writes = isGuarded ? guardWithLease(mine, [write]) : [write];
			if (store.commit(writes)) {
				tokens.push(mine.token);
			}
		} else if (step === 'release' && mine) {
			const holder = {entry: `e${index}`, incarnation: 'a'};
			const lease = {shard: 's', holder, token: mine.token};
			store.commit([releaseShard(lease, mine.version)]);
		} else if (step === 'look' && mine && isShardLost(mine, read)) {
			held.delete(index);
		}
	}

	for (const [index, token] of tokens.entries()) {
		assert.ok(index === 0 || token >= tokens[index - 1]!, 'token went back');
	}
};

const steps = fc.array(
	fc.tuple(
		fc.constantFrom('acquire', 'write', 'write', 'release', 'look'),
		fc.nat(2),
	),
	{maxLength: 60, size: 'max'},
);

const checkSteps = (isGuarded: boolean) =>
	fc.check(
		fc.property(steps, (list) => {
			runSteps(list, isGuarded);
		}),
		{seed: 3, numRuns: 1000, endOnFailure: true},
	);

tap.t.test('a replaced holder writes nothing', async (t) => {
	const {failed, errorInstance} = checkSteps(true);
	t.notOk(failed, String(errorInstance));
});

tap.t.test('without the token check it would', async (t) => {
	t.ok(checkSteps(false).failed);
});
