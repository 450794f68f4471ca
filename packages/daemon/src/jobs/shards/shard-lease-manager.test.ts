import {setImmediate} from 'node:timers/promises';
import {scheduler, type shardAssignment} from '@gullstand/core';
import {createMemoryRowStore} from '@gullstand/ports';
import * as tap from 'tap';
import {
	getLeaseKey,
	tables,
	type DaemonRow,
	type LeaseRow,
} from '../rows/tables.js';
import {noLogger, noRowFaults} from '../job-daemon.test.fixture.js';
import {createLeaseCache} from './lease-cache.js';
import {createMembers} from './members.js';
import {createShardLeaseManager} from './shard-lease-manager.js';

type Capacity = shardAssignment.EntryCapacity;

const large: Capacity = {cores: 1.35, linkMbps: 140};
const small: Capacity = {cores: 0.324, linkMbps: 7};

const heartbeatMs = 500;
const checkIntervalMs = 100;
const ownershipTimeoutMs = 7000;
/** What the store's clock shows beyond that of the test. */
const storeOffsetMs = 1_000_000;

type Peers = Readonly<Record<string, Capacity | undefined>>;

/** Creates a lease manager `self` among daemons that only send heartbeats. */
const createTestEnvironment = (
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
		now,
		rowFaults: noRowFaults,
		onChange(shard, lease) {
			leaseManager.applyLease(shard, lease);
		},
	});
	const leaseManager = createShardLeaseManager({
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
		getStoreTime: () => ({
			nowMs: storeOffsetMs + clock.at,
			sent: {at: clock.at, epochAt: clock.at},
		}),
		ownershipTimeoutMs,
		clock: {now, epochNow: now},
		random: () => 0.5,
		logger: noLogger,
		onAcquired: () => undefined,
		beforeRelease: async () => setImmediate(),
		onLost: () => undefined,
		onReleased(shard) {
			released.push(shard);
		},
	});

	const readMembers = (peers: Peers) => {
		const entries = Object.entries({...peers, self: capacity}).map(
			([key, peerCapacity]) => {
				const row: DaemonRow = {
					incarnation: 'i',
					address: 'a',
					beat: clock.at,
					capacity: peerCapacity,
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

	/** Runs one check and waits for the claims and releases that it starts. */
	const check = async () => {
		leaseManager.checkNow();
		for (let turn = 0; turn < 4; turn++) {
			await setImmediate();
		}

		readLeases();
	};

	/** Runs checks at their interval while the peers send heartbeats. */
	const pass = async (ms: number, peers: Peers) => {
		for (
			const until = clock.at + ms;
			clock.at < until;
			clock.at += checkIntervalMs
		) {
			if (clock.at % heartbeatMs === 0) {
				readMembers(peers);
			}

			await check();
		}
	};

	return {clock, leaseManager, store, members, released, beats, check, pass};
};

const names = (count: number) =>
	Array.from({length: count}, (_, index) => `s${index}`);

tap.t.test('one check does not claim all free shards', async (t) => {
	const {leaseManager, pass} = createTestEnvironment(small, names(4));
	await pass(checkIntervalMs, {});
	t.equal(leaseManager.listHeld().length, 1);
	await pass(900, {});
	t.equal(leaseManager.listHeld().length, 4, 'all are claimed within a second');
});

const claims: ReadonlyArray<
	readonly [string, Capacity | undefined, Peers, number, number]
> = [
	['alone', small, {}, 1, 1],
	['a capable daemon', large, {a: small, b: small}, 1, 1],
	['a less capable daemon within the head start', small, {a: large}, 0, 800],
	['a less capable daemon after the head start', small, {a: large}, 1, 1100],
	['a daemon of unknown capacity', undefined, {a: small}, 0, 800],
	[
		'a daemon among peers of unknown capacity',
		undefined,
		{a: undefined},
		1,
		600,
	],
];

for (const [name, capacity, peers, wanted, ms] of claims) {
	tap.t.test(`claims of ${name}`, async (t) => {
		const {leaseManager, pass} = createTestEnvironment(capacity, ['s']);
		await pass(ms, peers);
		t.equal(leaseManager.listHeld().length, wanted);
	});
}

tap.t.test('a stopping daemon does not count as capable', async (t) => {
	const {leaseManager, members, pass} = createTestEnvironment(small, ['s']);
	members.noteLeaving('a', 'i');
	await pass(checkIntervalMs, {a: large});
	t.ok(leaseManager.isHeld('s'));
	await pass(9000, {a: large});
	t.ok(leaseManager.isHeld('s'), 'no shard is returned for it');
});

const returns: ReadonlyArray<
	readonly [string, Capacity | undefined, Peers, boolean]
> = [
	['a capable daemon', small, {a: large}, true],
	['an equally capable daemon', small, {a: small}, false],
	['a less capable daemon', large, {a: small}, false],
	['a daemon of unknown capacity', small, {a: undefined}, false],
	['no other daemon', small, {}, false],
];

for (const [name, capacity, peers, isReturned] of returns) {
	tap.t.test(`returns or keeps a shard beside ${name}`, async (t) => {
		const {leaseManager, released, pass} = createTestEnvironment(capacity, [
			's',
		]);
		await pass(4000, {});
		t.ok(leaseManager.isHeld('s'));
		await pass(2500, peers);
		t.same(released, [], 'not at once');
		await pass(700, peers);
		t.same(released, isReturned ? ['s'] : []);
		t.equal(leaseManager.isHeld('s'), !isReturned);
	});
}

tap.t.test('shards are returned one at a time, with a pause', async (t) => {
	const {released, pass} = createTestEnvironment(small, names(3));
	await pass(3000, {});
	const peers = {a: large, b: large, c: large};
	await pass(3500, peers);
	t.equal(released.length, 1);
	await pass(4000, peers);
	t.equal(released.length, 1);
	await pass(2000, peers);
	t.equal(released.length, 2);
});

for (const fault of ['unavailable', 'lost-before', 'lost-after'] as const) {
	tap.t.test(`a failed release is retried: ${fault}`, async (t) => {
		const {clock, leaseManager, store, pass} = createTestEnvironment(small, [
			's',
		]);
		await pass(4000, {});
		store.setFault(() => (clock.at < 7300 ? fault : undefined));
		await pass(3300, {a: large});
		t.notOk(leaseManager.isHeld('s'));
		await pass(300, {a: large});
		const [lease] = store.list(tables.lease);
		t.match(JSON.parse(lease!.value), {shard: 's', holder: null});
	});
}

for (const fault of [undefined, 'unavailable', 'lost-before'] as const) {
	tap.t.test(
		`a shard lost by a refused command is held again, store ${fault ?? 'available'}`,
		async (t) => {
			const {clock, leaseManager, store, pass} = createTestEnvironment(
				small,
				names(2),
			);
			await pass(1000, {});
			const [first, other] = leaseManager.listHeld();
			store.setFault(() => (clock.at < 1500 ? fault : undefined));
			leaseManager.handleFenced(first!.shard);
			t.notOk(leaseManager.isHeld(first!.shard));
			await pass(1500, {});
			const again = leaseManager
				.listHeld()
				.find(({shard}) => shard === first!.shard);
			t.match(again, {previous: 'released'});
			t.ok(again!.token > Math.max(first!.token, other!.token));
		},
	);
}

for (const [name, peers, isHeld] of [
	['no other daemon', {}, true],
	['another daemon', {a: small}, false],
] as const) {
	tap.t.test(`a shard that failed three times, beside ${name}`, async (t) => {
		const {leaseManager, pass} = createTestEnvironment(small, ['s']);
		await pass(1000, peers);
		for (const pauseMs of [3500, 6000, 4000]) {
			leaseManager.giveUp('s', 'failed');
			await pass(pauseMs, peers);
		}

		t.equal(leaseManager.isHeld('s'), isHeld);
	});
}

for (const [name, lose] of [
	['a command is refused', 'handleFenced'],
	['its owner fails', 'giveUp'],
] as const) {
	tap.t.test(
		`a shard is free although ${name} during its release`,
		async (t) => {
			const {leaseManager, store, pass} = createTestEnvironment(small, ['s']);
			await pass(1000, {});
			const release = leaseManager.release('s');
			leaseManager[lose]('s', 'failed');
			await release;
			t.match(JSON.parse(store.list(tables.lease)[0]!.value), {holder: null});
			await pass(3500, {});
			t.ok(leaseManager.isHeld('s'));
		},
	);
}

tap.t.test(
	'a holder whose new heartbeats were not read counts as live',
	async (t) => {
		const {clock, leaseManager, store, members, pass} = createTestEnvironment(
			small,
			['s'],
		);
		await pass(checkIntervalMs, {a: small});
		const lease: LeaseRow = {
			shard: 's',
			holder: {entry: 'a', incarnation: 'next'},
			address: 'a',
			token: 1,
		};
		await store.transact(
			{
				checks: [],
				puts: [{...getLeaseKey('s'), value: JSON.stringify(lease)}],
				removes: [],
			},
			100,
		);
		members.applySnapshot({version: clock.at, entries: []});
		clock.at += checkIntervalMs;
		await pass(300, {});
		t.notOk(leaseManager.isHeld('s'));
		await pass(2000, {});
		t.ok(leaseManager.isHeld('s'), 'it has not sent any');
		t.match(leaseManager.listHeld(), [{previous: 'silent'}]);
	},
);

tap.t.test('a stop during a return releases the shard once', async (t) => {
	const {clock, leaseManager, released, pass} = createTestEnvironment(small, [
		's',
	]);
	await pass(4000, {});
	await pass(2900, {a: large});
	while (released.length === 0 && clock.at < 9000) {
		clock.at += checkIntervalMs;
		leaseManager.checkNow();
		await leaseManager.stop();
	}

	t.same(released, ['s'], 'once');
	t.notOk(leaseManager.isHeld('s'));
});

/**
 * Heartbeats that were read of daemon `a`, whose incarnation `now` holds the
 * shard.
 */
const evidence = [
	{
		name: 'a holder that restarted after its heartbeat was read',
		isReadSince: false,
		incarnation: 'before',
		held: 0,
	},
	{
		name: 'a holder replaced by another incarnation',
		isReadSince: true,
		incarnation: 'after',
		held: 1,
	},
	{name: 'a live holder', isReadSince: true, incarnation: 'now', held: 0},
] as const;

for (const {name, isReadSince, incarnation, held} of evidence) {
	tap.t.test(`evidence against ${name}`, async (t) => {
		const {clock, leaseManager, members, store, check} = createTestEnvironment(
			small,
			['s0'],
		);
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
		// The previous incarnation was unresponsive during the restart.
		for (clock.at = 0; clock.at < 4000; clock.at += heartbeatMs) {
			const beat = incarnation === 'now' ? clock.at : 1;
			const row: DaemonRow = {incarnation, address: 'a', beat};
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

		for (let checks = 0; checks < 12; checks++) {
			clock.at += checkIntervalMs;
			await check();
		}

		t.equal(leaseManager.listHeld().length, held);
	});
}

/** Claims of an observer that finds a shard free. */
const observerClaims: ReadonlyArray<
	readonly [string, Capacity, Peers, held: number, ms: number]
> = [
	['leaves it to the candidates', large, {a: large}, 0, 300],
	['claims it if the candidates do not', large, {a: large}, 1, 600],
	['leaves it to more capable observers', small, {a: large}, 0, 600],
	['claims it if no other observer does', small, {a: large}, 1, 900],
	['claims it at once if no daemon is live', small, {}, 1, 200],
];

for (const [name, capacity, peers, wanted, ms] of observerClaims) {
	tap.t.test(`an observer ${name}`, async (t) => {
		const {beats, leaseManager, pass} = createTestEnvironment(
			capacity,
			['s'],
			'observer',
		);
		await pass(ms, peers);
		t.equal(leaseManager.listHeld().length, wanted);
		t.equal(beats.length, wanted, 'a heartbeat is stored only before a claim');
	});
}

tap.t.test('a holder without heartbeats becomes unresponsive', async (t) => {
	const {leaseManager, store, pass} = createTestEnvironment(
		large,
		['s'],
		'observer',
	);
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
	t.equal(leaseManager.listHeld().length, 0, 'it may be alive');
	await pass(800, {a: large});
	t.equal(leaseManager.listHeld().length, 1);
});

/** Leases that the manager finds, 500 ms before it claims or releases. */
const earlierHolders = [
	{
		name: 'a silent holder before a replaced one',
		lease: {previous: 'silent'},
		earlier: true,
	},
	{
		name: 'a row of an older release before a replaced one',
		lease: {},
		earlier: true,
	},
	{
		name: 'only holders that have ended',
		lease: {previous: 'replaced'},
		earlier: false,
	},
] as const;

for (const {name, lease, earlier} of earlierHolders) {
	tap.t.test(`a lease row that forgets earlier holders: ${name}`, async (t) => {
		const env = createTestEnvironment(small, ['s']);
		const {clock, leaseManager, members, store, check} = env;
		const row = {
			shard: 's',
			holder: {entry: 'a', incarnation: 'before'},
			token: 2,
			address: 'a',
			...lease,
		};
		await store.transact(
			{
				checks: [],
				puts: [{...getLeaseKey('s'), value: JSON.stringify(row)}],
				removes: [],
			},
			100,
		);
		await check();
		const seenAt = clock.at;
		clock.at += 500;
		const beat: DaemonRow = {incarnation: 'after', address: 'a', beat: 1};
		members.applyChanges({
			version: 1,
			entries: [
				{
					key: 'a',
					value: {
						table: tables.daemon,
						part: 'a',
						key: 'a',
						version: 1,
						value: JSON.stringify(beat),
					},
				},
			],
		});
		for (let checks = 0; checks < 12; checks++) {
			clock.at += checkIntervalMs;
			await check();
		}

		const grace = ownershipTimeoutMs * (1 + scheduler.maxClockDrift);
		const expected = earlier ? storeOffsetMs + seenAt + grace : undefined;
		const [held] = leaseManager.listHeld();
		t.equal(held?.previous, 'replaced');
		t.equal(held?.earlierGrantsUntilMs, expected, 'the next holder knows');
		const getRow = () =>
			JSON.parse(store.list(tables.lease)[0]!.value) as LeaseRow;
		t.match(getRow(), {holder: {entry: 'self'}, previous: 'replaced'});
		t.equal(getRow().earlierGrantsUntilMs, expected, 'so does its row');
		await leaseManager.release('s');
		t.match(getRow(), {holder: null, previous: 'released'});
		t.equal(getRow().earlierGrantsUntilMs, expected, 'and that of its release');
	});
}

/** Leases that a claim replaces whose answer is lost. */
const lostClaims = [
	{name: 'of a shard that nobody held', lease: undefined, previous: 'none'},
	{
		name: 'of a released shard',
		lease: {
			shard: 's',
			holder: null,
			token: 2,
			address: '',
			previous: 'released',
		},
		previous: 'released',
	},
] as const;

for (const {name, lease, previous} of lostClaims) {
	tap.t.test(
		`a claim without an answer that is taken for one from a silent holder: ${name}`,
		async (t) => {
			const env = createTestEnvironment(small, ['s']);
			const {leaseManager, store, pass} = env;
			if (lease) {
				const value = JSON.stringify(lease);
				const puts = [{...getLeaseKey('s'), value}];
				await store.transact({checks: [], puts, removes: []}, 100);
			}

			store.setFault(() => 'lost-after');
			await pass(1500, {});
			t.equal(leaseManager.listHeld()[0]?.previous, previous);
		},
	);
}
