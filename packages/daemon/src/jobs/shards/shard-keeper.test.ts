import {setImmediate} from 'node:timers/promises';
import type {shardAssignment} from '@gullstand/core';
import {createMemoryRowStore} from '@gullstand/ports';
import * as tap from 'tap';
import {getLeaseKey, tables, type DaemonRow} from '../rows/tables.js';
import {noLogger, noRowFaults} from '../job-daemon.test.fixture.js';
import {createLeaseCache} from './lease-cache.js';
import {createMembers} from './members.js';
import {createShardKeeper} from './shard-keeper.js';

type Capacity = shardAssignment.EntryCapacity;

const large: Capacity = {cores: 1.35, linkMbps: 140};
const small: Capacity = {cores: 0.324, linkMbps: 7};

const beatMs = 500;
const lookMs = 100;

type Others = Readonly<Record<string, Capacity | undefined>>;

/** A keeper `self` among daemons that only send heartbeats. */
const createWorld = (
	capacity: Capacity | undefined,
	shards: readonly string[],
	role: 'candidate' | 'observer' = 'candidate',
) => {
	const clock = {at: 0};
	const beats: number[] = [];
	const now = () => clock.at;
	const store = createMemoryRowStore();
	const members = createMembers({
		now,
		observationGapMs: 1500,
		logger: noLogger,
		rowFaults: noRowFaults,
	});
	const released: string[] = [];
	const book = createLeaseCache({
		logger: noLogger,
		rowFaults: noRowFaults,
		onChange(shard, lease) {
			keeper.applyLease(shard, lease);
		},
	});
	const keeper = createShardKeeper({
		store,
		self: {entry: 'self', incarnation: 'i'},
		capacity,
		getAddress: () => 'address',
		members,
		leases: book,
		mayClaim: () => true,
		async ensureHeartbeat() {
			beats.push(clock.at);
			return true;
		},
		isCandidate: () => role === 'candidate',
		listShards: () => shards,
		now,
		random: () => 0.5,
		logger: noLogger,
		onAcquired: () => undefined,
		beforeRelease: async () => setImmediate(),
		onLost: () => undefined,
		onReleased(shard) {
			released.push(shard);
		},
	});

	const readMembers = (others: Others) => {
		const entries = Object.entries({...others, self: capacity}).map(
			([key, told]) => {
				const row: DaemonRow = {
					incarnation: 'i',
					address: 'a',
					beat: clock.at,
					capacity: told,
				};
				const value = JSON.stringify(row);
				return {
					key,
					value: {table: tables.daemon, part: key, key, version: 1, value},
				};
			},
		);
		members.applyChanges({version: clock.at, entries});
	};

	const readLeases = () => {
		for (const row of store.list(tables.lease)) {
			book.applyRow(row);
		}
	};

	/** Looks, and lets what it began end. */
	const look = async () => {
		keeper.checkNow();
		for (let turn = 0; turn < 4; turn++) {
			await setImmediate();
		}

		readLeases();
	};

	/** Looks each tenth of a second while the others send heartbeats. */
	const pass = async (ms: number, others: Others) => {
		for (const until = clock.at + ms; clock.at < until; clock.at += lookMs) {
			if (clock.at % beatMs === 0) {
				readMembers(others);
			}

			await look();
		}
	};

	return {clock, keeper, store, members, released, beats, look, pass};
};

const names = (count: number) =>
	Array.from({length: count}, (_, index) => `s${index}`);

tap.t.test('one look does not claim all that is free', async (t) => {
	const {keeper, pass} = createWorld(small, names(4));
	await pass(lookMs, {});
	t.equal(keeper.listHeld().length, 1);
	await pass(900, {});
	t.equal(keeper.listHeld().length, 4, 'within a second it has all');
});

const claims: ReadonlyArray<
	readonly [string, Capacity | undefined, Others, number, number]
> = [
	['alone', small, {}, 1, 1],
	['a capable daemon', large, {a: small, b: small}, 1, 1],
	['a less capable daemon at first', small, {a: large}, 0, 800],
	['a less capable daemon, if nobody else does', small, {a: large}, 1, 1100],
	['one that tells nothing', undefined, {a: small}, 0, 800],
	['an equal among those that tell nothing', undefined, {a: undefined}, 1, 600],
];

for (const [name, capacity, others, wanted, ms] of claims) {
	tap.t.test(`claims of ${name}`, async (t) => {
		const {keeper, pass} = createWorld(capacity, ['s']);
		await pass(ms, others);
		t.equal(keeper.listHeld().length, wanted);
	});
}

tap.t.test('a capable daemon that is stopping is none', async (t) => {
	const {keeper, members, pass} = createWorld(small, ['s']);
	members.noteLeaving('a', 'i');
	await pass(lookMs, {a: large});
	t.ok(keeper.isHeld('s'));
	await pass(9000, {a: large});
	t.ok(keeper.isHeld('s'), 'nor is a shard given back for it');
});

const returns: ReadonlyArray<
	readonly [string, Capacity | undefined, Others, boolean]
> = [
	['a capable daemon', small, {a: large}, true],
	['an equal', small, {a: small}, false],
	['a less capable daemon', large, {a: small}, false],
	['one that tells nothing', small, {a: undefined}, false],
	['nobody', small, {}, false],
];

for (const [name, capacity, others, isReturned] of returns) {
	tap.t.test(`gives back or keeps beside ${name}`, async (t) => {
		const {keeper, released, pass} = createWorld(capacity, ['s']);
		await pass(4000, {});
		t.ok(keeper.isHeld('s'));
		await pass(2500, others);
		t.same(released, [], 'not at once');
		await pass(700, others);
		t.same(released, isReturned ? ['s'] : []);
		t.equal(keeper.isHeld('s'), !isReturned);
	});
}

tap.t.test('one shard goes back at a time, after a pause', async (t) => {
	const {released, pass} = createWorld(small, names(3));
	await pass(3000, {});
	const others = {a: large, b: large, c: large};
	await pass(3500, others);
	t.equal(released.length, 1);
	await pass(4000, others);
	t.equal(released.length, 1);
	await pass(2000, others);
	t.equal(released.length, 2);
});

for (const fault of ['unavailable', 'lost-before', 'lost-after'] as const) {
	tap.t.test(`a release is written again: ${fault}`, async (t) => {
		const {clock, keeper, store, pass} = createWorld(small, ['s']);
		await pass(4000, {});
		store.setFault(() => (clock.at < 7300 ? fault : undefined));
		await pass(3300, {a: large});
		t.notOk(keeper.isHeld('s'));
		await pass(300, {a: large});
		const [lease] = store.list(tables.lease);
		t.match(JSON.parse(lease!.value), {shard: 's', holder: null});
	});
}

tap.t.test('a stop meets a return under way', async (t) => {
	const {clock, keeper, released, pass} = createWorld(small, ['s']);
	await pass(4000, {});
	await pass(2900, {a: large});
	while (released.length === 0 && clock.at < 9000) {
		clock.at += lookMs;
		keeper.checkNow();
		await keeper.stop();
	}

	t.same(released, ['s'], 'once');
	t.notOk(keeper.isHeld('s'));
});

/** Heartbeats as they were read of `a`, whose life `now` holds the shard. */
const evidence = [
	{
		name: 'one that restarted since its heartbeat was read',
		isReadSince: false,
		life: 'before',
		held: 0,
	},
	{
		name: 'one that another life has replaced',
		isReadSince: true,
		life: 'after',
		held: 1,
	},
	{name: 'one that lives', isReadSince: true, life: 'now', held: 0},
] as const;

for (const {name, isReadSince, life, held} of evidence) {
	tap.t.test(`evidence against ${name}`, async (t) => {
		const {clock, keeper, members, store, look} = createWorld(small, ['s0']);
		const lease = {
			shard: 's0',
			holder: {entry: 'a', incarnation: 'now'},
			token: 1,
			address: 'a',
		};
		const stored = await store.transact(
			{
				checks: [],
				puts: [{...getLeaseKey('s0'), value: JSON.stringify(lease)}],
				removes: [],
			},
			100,
		);
		const claimedAt = stored.ok ? stored.value.version : 0;
		const version = isReadSince ? claimedAt : claimedAt - 1;
		// Its life before has been silent for as long as the restart took.
		for (clock.at = 0; clock.at < 4000; clock.at += beatMs) {
			const beat = life === 'now' ? clock.at : 1;
			const row: DaemonRow = {incarnation: life, address: 'a', beat};
			const value = JSON.stringify(row);
			members.applyChanges({
				version,
				entries: [
					{
						key: 'a',
						value: {table: tables.daemon, part: 'a', key: 'a', version, value},
					},
				],
			});
		}

		for (let looks = 0; looks < 12; looks++) {
			clock.at += lookMs;
			await look();
		}

		t.equal(keeper.listHeld().length, held);
	});
}

/** An observer finds a shard free. */
const observerClaims: ReadonlyArray<
	readonly [string, Capacity, Others, held: number, ms: number]
> = [
	['leaves it to the candidates', large, {a: large}, 0, 300],
	['claims it if they do not', large, {a: large}, 1, 600],
	['leaves it to more capable observers', small, {a: large}, 0, 600],
	['claims it if nobody else does', small, {a: large}, 1, 900],
	['claims it at once if nobody is live', small, {}, 1, 200],
];

for (const [name, capacity, others, wanted, ms] of observerClaims) {
	tap.t.test(`an observer ${name}`, async (t) => {
		const {beats, keeper, pass} = createWorld(capacity, ['s'], 'observer');
		await pass(ms, others);
		t.equal(keeper.listHeld().length, wanted);
		t.equal(beats.length, wanted, 'a heartbeat comes before a claim only');
	});
}

tap.t.test('a holder that was never heard is silent in time', async (t) => {
	const {keeper, store, pass} = createWorld(large, ['s'], 'observer');
	const lease = {
		shard: 's',
		holder: {entry: 'gone', incarnation: 'i'},
		token: 1,
		address: 'a',
	};
	await store.transact(
		{
			checks: [],
			puts: [{...getLeaseKey('s'), value: JSON.stringify(lease)}],
			removes: [],
		},
		100,
	);
	await pass(1800, {a: large});
	t.equal(keeper.listHeld().length, 0, 'it may live');
	await pass(800, {a: large});
	t.equal(keeper.listHeld().length, 1);
});
