import * as tap from 'tap';
import {
	assignShards,
	chooseShardToReturn,
	getShardAction,
	listMostCapable,
	planShards,
	type EntryCapacity,
	type LiveEntry,
} from './shard-assignment.js';

const makeNames = (prefix: string, count: number) =>
	Array.from({length: count}, (_, index) => `${prefix}${index}`);

const countLoads = (assigned: ReadonlyMap<string, string>) => {
	const loads = new Map<string, number>();
	for (const entry of assigned.values()) {
		loads.set(entry, (loads.get(entry) ?? 0) + 1);
	}

	return loads;
};

for (const [shards, entries] of [
	[5, 9],
	[40, 9],
	[9, 9],
	[7, 1],
] as const) {
	tap.t.test(`${shards} shards over ${entries} entries`, async (t) => {
		const names = makeNames('s', shards);
		const assigned = assignShards(names, makeNames('e', entries));
		t.equal(assigned.size, shards);
		const most = Math.max(...countLoads(assigned).values());
		t.ok(most <= Math.ceil(shards / entries));
		const reversed = makeNames('e', entries).toReversed();
		t.same(assignShards(names.toReversed(), reversed), assigned);
	});
}

tap.t.test('few shards change hands when an entry goes', async (t) => {
	const names = makeNames('s', 45);
	const before = assignShards(names, makeNames('e', 9));
	const after = assignShards(names, makeNames('e', 8));
	const moved = names.filter(
		(shard) =>
			before.get(shard) !== 'e8' && before.get(shard) !== after.get(shard),
	);
	t.ok(moved.length < 20, `${moved.length} of 40 moved`);
});

const duties = [
	['e1', true, 'keep'],
	['e1', false, 'acquire'],
	['e2', true, 'release'],
	['e2', false, 'none'],
	[undefined, true, 'none'],
] as const;

for (const [entry, isHeld, duty] of duties) {
	tap.t.test(`duty ${duty}, assigned to ${entry}`, async (t) => {
		const assigned = new Map(entry ? [['s', entry]] : []);
		t.equal(getShardAction('s', 'e1', isHeld, assigned), duty);
	});
}

const large: EntryCapacity = {cores: 1.35, linkMbps: 140};
const small: EntryCapacity = {cores: 0.324, linkMbps: 7};

const makeLive = (
	capacities: Readonly<Record<string, EntryCapacity | undefined>>,
): readonly LiveEntry[] =>
	Object.entries(capacities).map(([entry, capacity]) => ({entry, capacity}));

const classes: ReadonlyArray<
	readonly [string, Parameters<typeof makeLive>[0], readonly string[]]
> = [
	['nobody', {}, []],
	['equals', {a: small, b: small}, ['a', 'b']],
	['none that tells', {a: undefined, b: undefined}, ['a', 'b']],
	['large and small', {a: small, b: large, c: large}, ['b', 'c']],
	['one that does not tell', {a: undefined, b: small}, ['b']],
	['somewhat smaller', {a: {cores: 0.7, linkMbps: 140}, b: large}, ['a', 'b']],
	['much less of a core', {a: {cores: 0.6, linkMbps: 140}, b: large}, ['b']],
	['a slow link', {a: {cores: 1.35, linkMbps: 7}, b: large}, ['b']],
	[
		'a faster link than needed',
		{a: {...large, linkMbps: 9000}, b: large},
		['a', 'b'],
	],
];

for (const [name, capacities, wanted] of classes) {
	tap.t.test(`the most capable class of ${name}`, async (t) => {
		t.same(listMostCapable(makeLive(capacities)), wanted);
	});
}

const shards = makeNames('s', 5);

const mixed = makeLive({
	...Object.fromEntries(makeNames('small', 21).map((each) => [each, small])),
	...Object.fromEntries(makeNames('large', 8).map((each) => [each, large])),
});

tap.t.test('shards go to the capable entries, spread over them', async (t) => {
	const {assigned} = planShards(shards, mixed, new Map());
	t.equal(assigned.size, 5);
	t.ok([...assigned.values()].every((each) => each.startsWith('large')));
	t.equal(new Set(assigned.values()).size, 5);
});

tap.t.test('equal entries get shards as if nobody held any', async (t) => {
	for (const capacity of [small, undefined]) {
		const names = makeNames('e', 9);
		const live = names.map((entry) => ({entry, capacity}));
		const holders = new Map(shards.map((shard) => [shard, 'e3']));
		const {assigned, capable} = planShards(shards, live, holders);
		t.same(capable, names);
		t.same(assigned, assignShards(shards, names));
	}
});

tap.t.test('a shard stays with a capable holder', async (t) => {
	const holders = new Map(
		shards.map((shard, index) => [shard, `large${index + 3}`]),
	);
	t.same(planShards(shards, mixed, holders).assigned, holders);
});

tap.t.test('what a less capable entry holds goes where room is', async (t) => {
	const holders = new Map([
		['s0', 'large0'],
		['s1', 'small4'],
		['s2', 'large2'],
		['s3', 'gone'],
		['s4', 'large1'],
	]);
	const {assigned} = planShards(shards, mixed, holders);
	t.equal(new Set(assigned.values()).size, 5);
	t.ok([...assigned.values()].every((each) => each.startsWith('large')));
	t.equal(assigned.get('s2'), 'large2');
});

tap.t.test('any entry gets shards while no capable one lives', async (t) => {
	const live = mixed.filter(({entry}) => entry.startsWith('small'));
	t.equal(planShards(shards, live, new Map()).assigned.size, 5);
});

type Return = {
	readonly self?: string;
	readonly live?: readonly LiveEntry[];
	readonly heldForMs?: Readonly<Record<string, number>>;
	readonly liveForMs?: number;
};

const returns: ReadonlyArray<readonly [string, Return, string | undefined]> = [
	['a capable entry is live', {}, 's0'],
	['it has not been live for long', {liveForMs: 2999}, undefined],
	['it was just acquired', {heldForMs: {s0: 2999}}, undefined],
	['another one is held for longer', {heldForMs: {s0: 1, s1: 3000}}, 's1'],
	['nothing is held', {heldForMs: {}}, undefined],
	['all are equal', {live: makeLive({a: small, b: small})}, undefined],
	[
		'no capacity is told',
		{live: makeLive({a: undefined, b: undefined})},
		undefined,
	],
	['the holder is the capable one', {self: 'b'}, undefined],
];

for (const [name, given, wanted] of returns) {
	tap.t.test(`gives back ${wanted ?? 'nothing'} if ${name}`, async (t) => {
		const self = given.self ?? 'a';
		const heldForMs = new Map(Object.entries(given.heldForMs ?? {s0: 3000}));
		const holders = new Map([...heldForMs.keys()].map((each) => [each, self]));
		const live = given.live ?? makeLive({a: small, b: large});
		const chosen = chooseShardToReturn({
			self,
			plan: planShards(shards, live, holders),
			heldForMs,
			getLiveForMs: () => given.liveForMs ?? 3000,
			settleMs: 3000,
		});
		t.equal(chosen, wanted);
	});
}
