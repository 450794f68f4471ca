/**
 * Guards against waves that stop since one of them, or the log of commands, is
 * larger than the store takes.
 */
import {fleet, type Result} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {noLogger} from '../job-daemon.test.fixture.js';
import {fleetShard, getLeaseKey, singleKeys, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {createCommandLog} from './command-log.js';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';
import {createWaveRows} from './wave-rows.js';

const createIds = (count: number): readonly string[] =>
	Array.from({length: count}, (_, index) => `m-${index}`);

const createWave = (id: string, count: number): fleet.MachineWave =>
	fleet.createMachineWave(
		{id, machines: createIds(count), durationMs: 60_000, maxAway: 100},
		1_785_000_000_000,
	);

/** Commands the first machines of a wave. */
const command = (wave: fleet.MachineWave, count: number): fleet.MachineWave => {
	const begun = wave.request.machines.slice(0, count).map((id) => {
		const machine = {
			id,
			pool: 's',
			isUp: true,
			isInMaintenance: false,
			executorId: `executor of ${id}`,
		};
		const commanded = fleet.recordCommand(createWave('', 0), machine, 1);
		return [id, commanded.begun[id]!] as const;
	});
	return {...wave, begun: {...wave.begun, ...Object.fromEntries(begun)}};
};

const holdFleet = async (store: ports.RowStore): Promise<HeldShard> => {
	const result = await store.transact(
		{
			checks: [],
			puts: [{...getLeaseKey(fleetShard), value: '{}'}],
			removes: [],
		},
		1000,
	);
	return {
		shard: fleetShard,
		token: 1,
		version: result.ok ? result.value.version : 0,
		previous: 'none',
		previousHolder: undefined,
	};
};

const openRows = async (store: ports.RowStore, held: HeldShard) => {
	const rows = createWaveRows(store, held, noLogger);
	const waves = await rows.load();
	return {rows, waves};
};

/** Texts of waves by id; the order of what has begun is of no concern. */
const toTexts = (waves: readonly fleet.MachineWave[] | undefined) =>
	Object.fromEntries(
		(waves ?? []).map((wave) => [
			wave.request.id,
			JSON.stringify([
				wave.request,
				Object.entries(wave.begun).toSorted(([one], [two]) =>
					one < two ? -1 : 1,
				),
				wave.isCompleted,
			]),
		]),
	);

const sizes = [1, 100, 700, 5000];

for (const count of sizes) {
	tap.t.test(`a wave of ${count} machines is stored and read`, async (t) => {
		const store = ports.createMemoryRowStore();
		const held = await holdFleet(store);
		const {rows} = await openRows(store, held);
		const wave = createWave('1', count);
		const other = createWave('2', 3);
		for (const begun of [0, count / 2, count]) {
			const current = command(wave, begun);
			t.same(await rows.save([current, other]), [
				{kind: 'stored'},
				{kind: 'stored'},
			]);
			const {waves} = await openRows(store, held);
			t.same(toTexts(waves), toTexts([current, other]));
		}

		const completed = {...command(wave, count), isCompleted: true};
		t.same(await rows.save([completed]), [{kind: 'stored'}]);
		const left = store.list('wave').filter(({key}) => key.startsWith('1'));
		t.equal(left.length, 1, 'a completed wave keeps one row');
		const {waves} = await openRows(store, held);
		t.ok(waves?.find(({request}) => request.id === '1')?.isCompleted);
	});
}

tap.t.test('a wave is whole after a crash between its rows', async (t) => {
	const before = command(createWave('1', 300), 100);
	const after = command(createWave('1', 5000), 2500);
	for (let allowed = 0; allowed < 12; allowed++) {
		const store = ports.createMemoryRowStore();
		const heldHere = await holdFleet(store);
		const {rows} = await openRows(store, heldHere);
		await rows.save([before]);
		let left = allowed;
		store.setFault((call) => {
			left -= call === 'transact' ? 1 : 0;
			return call === 'transact' && left < 0 ? 'unavailable' : undefined;
		});
		const [outcome] = await rows.save([after]);
		store.setFault(() => undefined);
		const next = await openRows(store, heldHere);
		const expected = outcome?.kind === 'stored' ? after : before;
		t.same(toTexts(next.waves), toTexts([expected]), `after ${allowed}`);
		t.same(await next.rows.save([after]), [{kind: 'stored'}]);
		const last = await openRows(store, heldHere);
		t.same(toTexts(last.waves), toTexts([after]));
	}
});

tap.t.test('a crash between rows of a wave loses no command', async (t) => {
	const first = command(createWave('1', 5000), 1000);
	const second = command(first, 5000);
	for (let allowed = 0; allowed < 4; allowed++) {
		const store = ports.createMemoryRowStore();
		const held = await holdFleet(store);
		const {rows} = await openRows(store, held);
		await rows.save([first]);
		let left = allowed;
		store.setFault((call) => {
			left -= call === 'transact' ? 1 : 0;
			return call === 'transact' && left < 0 ? 'unavailable' : undefined;
		});
		await rows.save([second]);
		store.setFault(() => undefined);
		const {waves} = await openRows(store, held);
		const [wave] = waves ?? [];
		t.same(wave?.request, second.request);
		t.ok(Object.keys(first.begun).every((id) => wave && id in wave.begun));
	}
});

tap.t.test('a refused wave does not stop another one', async (t) => {
	const platform = createFleetPlatform(['a', 'b', 'stays']);
	const inner = platform.context.store;
	const requests = ['a', 'b'].map((machine, index) => ({
		id: String(index),
		machines: [machine],
		durationMs: 30_000,
		maxAway: 1,
	}));
	let mayRefuse = false;
	const store: ports.RowStore = {
		...inner,
		transact: async (transaction, timeoutMs) =>
			mayRefuse &&
			transaction.puts.some(({table, key}) => table === 'wave' && key === '0')
				? {ok: false, error: {kind: 'rejected', status: 413}}
				: inner.transact(transaction, timeoutMs),
	};
	const runner = createMachineWaveRunner(
		{...platform.context, store},
		platform.status,
		createMachineClaims(platform.now),
	);
	await runner.load();
	for (const request of requests) {
		platform.requestWave(request);
	}

	await runner.acceptRequests(requests);
	mayRefuse = true;
	await runner.runRound(platform.getView());
	t.same(
		platform.commands.map(({machine}) => machine),
		['b'],
	);
});

tap.t.test('commands for any number of machines are recorded', async (t) => {
	const store = ports.createMemoryRowStore();
	const held = await holdFleet(store);
	const state = {now: 0};
	const withClock = async <Value, Failure>(
		call: Promise<Result<Value, Failure>>,
	): Promise<Result<Value, Failure>> => {
		const result = await call;
		return result.ok
			? {ok: true, value: {...result.value, nowMs: state.now}}
			: result;
	};

	const log = createCommandLog({
		store: {
			...store,
			transact: async (...args) => withClock(store.transact(...args)),
			read: async (...args) => withClock(store.read(...args)),
		},
		held,
		clock: {now: () => state.now, epochNow: () => state.now},
		getStoreTime: () => undefined,
		turnoverMs: 3000,
		logger: noLogger,
		onLost: () => undefined,
	});
	await log.load();
	const ids = createIds(8000);
	const commanded = new Set<string>();
	for (let round = 0; round < 20; round++) {
		const due = ids.filter((id) => !commanded.has(id));
		const fitting = log.listFitting(due);
		if (fitting.length > 0) {
			t.ok(await log.record(fitting));
			for (const id of fitting) {
				commanded.add(id);
			}
		}

		state.now += 3500;
	}

	t.equal(commanded.size, ids.length);
	const row = store
		.list(tables.owner)
		.find(({key}) => key !== singleKeys.lease);
	t.ok((row?.value.length ?? 0) <= store.limits.safeValueBytes);
});
