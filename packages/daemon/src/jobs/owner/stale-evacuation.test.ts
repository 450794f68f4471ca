/** Guards against an owner's `clear` that no longer holds when it is used. */
import type {scheduler} from '@gullstand/core';
import type * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createJobSpec,
	createListedExecutor,
	createTestPlatform,
	heldShard,
	now,
	waitUntil,
	type TestPlatform,
} from '../job-daemon.test.fixture.js';
import {getLeaseKey, singleKeys, tables} from '../rows/tables.js';
import type {OwnedServices} from './owned-services.js';
import {
	startOwnedService,
	type OwnerChanges,
} from './owned-services.test.fixture.js';

const {shard} = heldShard;
const cfg = {reservationMs: 1500};
const order: scheduler.RequestOrder = {token: 1, at: 0};

const awaitExecutor = async (owned: OwnedServices, id: string) => {
	await waitUntil('the executor', () => {
		const executor = owned.get(shard)?.getOwner()?.executors.get(id);
		return executor?.isRostered === true && executor.isAdopted;
	});
};

const evacuate = async (owned: OwnedServices, id = 'x') =>
	owned.get(shard)!.evacuate(id, {patienceMs: 0, order});

/** A platform whose store calls `before` ahead of each transaction. */
const interceptTransactions = (
	platform: TestPlatform,
	before: (transaction: ports.RowTransaction) => Promise<void>,
): TestPlatform => ({
	...platform,
	store: {
		...platform.store,
		async transact(transaction, timeoutMs) {
			await before(transaction);
			return platform.store.transact(transaction, timeoutMs);
		},
	},
});

const hasReservations = ({puts}: ports.RowTransaction): boolean =>
	puts.some(({key}) => key === singleKeys.reservations);

const listReservationRows = ({store}: TestPlatform) =>
	store.list(tables.owner).filter(({key}) => key === singleKeys.reservations);

/** Times of the starts, as the executors receive them. */
const recordStarts = ({executors}: TestPlatform): readonly number[] => {
	const starts: number[] = [];
	executors.onStart = () => {
		starts.push(now());
	};

	return starts;
};

const longRunningJob = createAcceptedJob(
	createId(1),
	createJobSpec({isLongRunning: true}),
);

type TakeoverCase = {
	readonly name: string;
	/** Whether the next owner knows the executor from the registry only. */
	readonly isRosterLost: boolean;
	/** Whether the executor has started again under its id. */
	readonly isRestarted: boolean;
};

const takeoverCases: readonly TakeoverCase[] = [
	{name: 'from the roster', isRosterLost: false, isRestarted: false},
	{name: 'from the registry', isRosterLost: true, isRestarted: false},
	{name: 'as started again', isRosterLost: false, isRestarted: true},
];

for (const {name, isRosterLost, isRestarted} of takeoverCases) {
	tap.t.test(
		`the next owner, which knows the executor ${name}, starts nothing there while it is said to be clear`,
		async (t) => {
			const platform = createTestPlatform(['x']);
			const first = await startOwnedService(t, platform, [], {cfg});
			await awaitExecutor(first, 'x');
			const state = await evacuate(first);
			const answeredAt = now();
			first.dropAll();
			t.equal(state.kind, 'clear');
			if (isRosterLost) {
				const key = {part: shard, key: singleKeys.roster};
				await platform.store.transact(
					{checks: [], puts: [], removes: [{table: tables.owner, ...key}]},
					1000,
				);
			}

			if (isRestarted) {
				const listed = {...createListedExecutor('x'), startedAtEpochMs: 7};
				platform.executors.restart(listed);
				platform.executorFeed.put('x', listed);
			}

			const starts = recordStarts(platform);
			await startOwnedService(t, platform, [longRunningJob], {
				cfg,
				held: {token: 2, previous: 'released'},
			});
			await waitUntil('the start', () => starts.length > 0);
			const promisedMs = state.kind === 'clear' ? state.remainingMs : 0;
			t.ok(promisedMs > cfg.reservationMs / 2);
			t.ok(starts[0]! >= answeredAt + promisedMs);
		},
	);
}

type UnclearCase = {
	readonly name: string;
	readonly changes?: OwnerChanges;
	/** Happens before the request. */
	readonly prepare?: (
		platform: TestPlatform,
		owned: OwnedServices,
	) => Promise<unknown>;
};

const unclearCases: readonly UnclearCase[] = [
	{
		name: 'was replaced without notice',
		changes: {onOwnershipLost: () => undefined},
		prepare: async ({store}) =>
			store.transact(
				{
					checks: [],
					puts: [{...getLeaseKey(shard), value: '2'}],
					removes: [],
				},
				1000,
			),
	},
	{
		name: 'has not confirmed its ownership for long',
		changes: {
			getLeasesConfirmedAt: () => ({at: now() - 8000, epochAt: Date.now()}),
		},
	},
	{
		name: 'was suspended for long',
		changes: {
			getLeasesConfirmedAt: () => ({at: now(), epochAt: Date.now() - 8000}),
		},
	},
	{
		name: 'stops',
		async prepare(_, owned) {
			void owned.release(shard);
		},
	},
	{
		name: 'gets no answer from the store',
		async prepare({store}) {
			store.setFault((call) =>
				call === 'transact' ? 'lost-before' : undefined,
			);
		},
	},
	{
		name: 'gets no answer to a write that is carried out',
		async prepare({store}) {
			store.setFault((call) =>
				call === 'transact' ? 'lost-after' : undefined,
			);
		},
	},
];

for (const {name, changes, prepare} of unclearCases) {
	tap.t.test(`an owner that ${name} does not say clear`, async (t) => {
		const platform = createTestPlatform(['x']);
		const owned = await startOwnedService(t, platform, [], changes);
		await waitUntil(
			'the executor',
			() =>
				owned.get(shard)?.getOwner()?.executors.get('x')?.isAdopted === true,
		);
		await prepare?.(platform, owned);
		const state = await evacuate(owned);
		t.not(state.kind, 'clear');
	});
}

tap.t.test('the answer does not wait for a slow store', async (t) => {
	const gate = {release: () => undefined as unknown};
	const opened = new Promise((resolve) => {
		gate.release = () => {
			resolve(undefined);
		};
	});
	const platform = interceptTransactions(
		createTestPlatform(['x']),
		async (transaction) => {
			if (hasReservations(transaction)) {
				await opened;
			}
		},
	);
	const owned = await startOwnedService(t, platform);
	await awaitExecutor(owned, 'x');
	t.match(await evacuate(owned), {kind: 'waiting'});
	gate.release();
	await waitUntil(
		'the reservation',
		() => listReservationRows(platform).length > 0,
	);
	await waitUntil('the answer', async () => {
		const state = await evacuate(owned);
		return state.kind === 'clear';
	});
});

tap.t.test('reservations of one round share their writes', async (t) => {
	const ids = Array.from({length: 20}, (_, index) => `e${index}`);
	let writes = 0;
	const platform = interceptTransactions(
		createTestPlatform([...ids, 'stays']),
		async (transaction) => {
			writes += hasReservations(transaction) ? 1 : 0;
		},
	);
	const owned = await startOwnedService(t, platform);
	for (const id of [...ids, 'stays']) {
		await awaitExecutor(owned, id);
	}

	for (let round = 0; round < 3; round++) {
		const states = await Promise.all(
			ids.map(async (id) => evacuate(owned, id)),
		);
		t.ok(states.every(({kind}) => kind === 'clear'));
	}

	t.ok(writes <= 2, `${writes} writes`);
	const [row] = listReservationRows(platform);
	const stored = JSON.parse(row!.value) as Record<string, number>;
	t.same(Object.keys(stored).toSorted(), ids.toSorted());
});

tap.t.test(
	'a delayed write of the same owner blocks no later one',
	async (t) => {
		const platform = createTestPlatform(['x']);
		const owned = await startOwnedService(t, platform);
		await awaitExecutor(owned, 'x');
		const key = {
			table: tables.owner,
			part: shard,
			key: singleKeys.reservations,
		};
		await platform.store.transact(
			{checks: [], puts: [{...key, value: '{}'}], removes: []},
			1000,
		);
		t.match(await evacuate(owned), {kind: 'clear'});
		t.match(listReservationRows(platform)[0]?.value, /"x":/v);
	},
);

tap.t.test('a delayed write does not undo a later one', async (t) => {
	const inner = createTestPlatform(['x', 'y', 'stays']);
	const delayed: ports.RowTransaction[] = [];
	const platform: TestPlatform = {
		...inner,
		store: {
			...inner.store,
			async transact(transaction, timeoutMs) {
				if (delayed.length > 0 || !hasReservations(transaction)) {
					return inner.store.transact(transaction, timeoutMs);
				}

				delayed.push(transaction);
				return {ok: false, error: {kind: 'timeout'}};
			},
		},
	};
	const owned = await startOwnedService(t, platform);
	for (const id of ['x', 'y', 'stays']) {
		await awaitExecutor(owned, id);
	}

	t.match(await evacuate(owned, 'x'), {kind: 'waiting'});
	t.match(await evacuate(owned, 'y'), {kind: 'clear'});
	const [before] = listReservationRows(platform);
	await inner.store.transact(delayed[0]!, 1000);
	t.same(listReservationRows(platform), [before]);
});

tap.t.test('a row that cannot be read is replaced', async (t) => {
	const platform = createTestPlatform(['x']);
	const key = {table: tables.owner, part: shard, key: singleKeys.reservations};
	await platform.store.transact(
		{checks: [], puts: [{...key, value: 'no JSON'}], removes: []},
		1000,
	);
	const owned = await startOwnedService(t, platform);
	await awaitExecutor(owned, 'x');
	t.match(await evacuate(owned), {kind: 'clear'});
	t.match(listReservationRows(platform)[0]?.value, /"x":/v);
});

tap.t.test('an executor that is released is used at once', async (t) => {
	const longMs = 60_000;
	const platform = createTestPlatform(['x']);
	const starts = recordStarts(platform);
	const owned = await startOwnedService(t, platform, [], {
		cfg: {reservationMs: longMs, evacuationTtlMs: longMs},
	});
	await awaitExecutor(owned, 'x');
	t.match(await evacuate(owned), {kind: 'clear'});
	const put = {table: tables.job, part: shard, key: longRunningJob.id};
	await platform.store.transact(
		{
			checks: [],
			puts: [{...put, value: JSON.stringify(longRunningJob)}],
			removes: [],
		},
		1000,
	);
	await waitUntil(
		'the job',
		() => owned.get(shard)?.getOwner()?.jobs.size === 1,
	);
	t.equal(starts.length, 0);
	owned.get(shard)!.releaseEvacuation('x', {token: 1, at: 1});
	await waitUntil('the start', () => starts.length > 0);
});
