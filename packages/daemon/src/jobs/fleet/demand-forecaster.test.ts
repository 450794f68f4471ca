/**
 * Guards against a forecast that depends on the store, on a row that cannot be
 * read, or that a holder writes after it was replaced.
 */
import {fleet} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {noLogger} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import {fleetShard, singleKeys, tables} from '../rows/tables.js';
import {createDemandForecaster} from './demand-forecaster.js';
import type {FleetContext, FleetView} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const machineCpu = 32_000;

const machines = Array.from({length: 100}, (_, index) => ({
	id: `m${index}`,
	pool: 'standby',
	isUp: true,
	isArriving: false,
	cpuMillis: machineCpu,
	runs: 0,
	longRunning: 0,
	isReserved: false,
}));

const rowKey = {
	table: tables.fleetForecast,
	part: fleetShard,
	key: 'demand-rises',
};

const settle = async () =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

const createTestEnvironment = async (value?: string) => {
	const store = ports.createMemoryRowStore();
	const lease = {table: tables.lease, part: fleetShard, key: singleKeys.lease};
	const claimLease = async () => {
		const puts = [
			{...lease, value: '{}'},
			...(value === undefined ? [] : [{...rowKey, value}]),
		];
		const result = await store.transact({checks: [], puts, removes: []}, 100);
		return result.ok ? result.value.version : 0;
	};

	const clock = {at: 0};
	const logged: string[] = [];
	const lost: string[] = [];
	const log = (message: string) => {
		logged.push(message);
		return undefined as never;
	};

	const context = {
		store,
		held: {shard: fleetShard, token: 1, version: await claimLease()},
		clock: {now: () => clock.at, epochNow: () => clock.at},
		logger: {info: log, warn: log},
		isStopped: () => false,
		loseShard: (reason: string) => lost.push(reason),
	} as unknown as FleetContext;
	const metrics = createJobMetrics();
	const forecaster = createDemandForecaster(context, {
		cfg: fleet.defaultPoolConfig,
		metrics,
	});
	/** Observes a pool each 250 ms; returns the machines expected at the end. */
	const observe = async (pool: string, values: readonly number[]) => {
		let expected: fleet.ExpectedDemand | undefined;
		for (const cpuMachines of values) {
			clock.at += 250;
			const arrivingCpu = cpuMachines * machineCpu;
			const late = fleet.noLateWork;
			const demand = {pool, waitingCpu: 0, usedCpu: 0, late, arrivingCpu};
			expected = forecaster.observe({
				demands: [{...demand, minMachines: 0}],
				machines,
			});
			await settle();
		}

		return Object.fromEntries(expected?.machines ?? []);
	};

	return {store, clock, logged, lost, metrics, observe, claimLease};
};

/** A rotation in which d has risen twice. */
const rises = ['d', 'a', 'b', 'c', 'd'].map((pool, index) => ({
	pool,
	startEpochMs: 5500 + 4500 * index,
	lengthMs: 5000,
	heightCpu: 40 * machineCpu,
}));

/** When the turn of pool `a` is expected after the stored rises. */
const nextTurnAt = 28_000;

const rowCases = [
	{name: 'a stored row', row: {format: 1, rises}, machines: {a: 40}},
	{
		name: 'a row with more fields',
		row: {
			format: 1,
			since: 2,
			rises: rises.map((rise) => ({...rise, more: 1})),
		},
		machines: {a: 40},
	},
	{name: 'a newer format', row: {format: 2, rises}, machines: {}, skipped: 1},
	{name: 'an unreadable row', row: 'x', machines: {}, skipped: 1},
	{name: 'no row', row: undefined, machines: {}},
];

for (const {name, row, machines: expected, skipped = 0} of rowCases) {
	tap.t.test(`a new holder finds ${name}`, async (t) => {
		const env = await createTestEnvironment(JSON.stringify(row));
		env.clock.at = nextTurnAt - 2500;
		t.same(await env.observe('a', [1, 1, 1]), expected);
		const lines = env.logged.filter((line) => line === 'row skipped');
		t.equal(lines.length, skipped);
		const text = env.metrics.formatText();
		const count = Object.values(expected).at(0) ?? 0;
		t.match(text, `gullstand_expected_machines{label="all"} ${count}\n`);
		env.clock.at = nextTurnAt + 1250;
		t.same(await env.observe('a', [1]), {}, 'dropped after its time');
	});
}

const riseOfMachines = [1, 1, 10, 20, 30, 40, 40, 40, 1];

tap.t.test('a rise is stored once it has ended', async (t) => {
	const env = await createTestEnvironment();
	await env.observe('a', riseOfMachines.slice(0, -1));
	t.equal(env.store.list(rowKey.table).length, 0);
	await env.observe('a', [1]);
	const [stored] = env.store.list(rowKey.table);
	t.match(JSON.parse(stored!.value), {
		format: 1,
		rises: [{pool: 'a', startEpochMs: 500, heightCpu: 40 * machineCpu}],
	});
	t.match(env.metrics.formatText(), 'gullstand_demand_rises{label="a"} 1\n');
});

tap.t.test('rises are stored when the store answers again', async (t) => {
	const env = await createTestEnvironment();
	env.store.setFault(() => 'lost-before');
	await env.observe('a', riseOfMachines);
	t.equal(env.store.list(rowKey.table).length, 0);
	env.store.setFault(() => undefined);
	await env.observe(
		'a',
		Array.from({length: 10}, () => 1),
	);
	t.equal(env.store.list(rowKey.table).length, 1);
	t.equal(env.logged.filter((line) => line.includes('trying again')).length, 1);
});

tap.t.test(
	'a replaced holder stores nothing and loses the shard',
	async (t) => {
		const env = await createTestEnvironment();
		await env.observe('a', [1]);
		await env.claimLease();
		await env.observe('a', riseOfMachines);
		t.equal(env.store.list(rowKey.table).length, 0);
		t.same(env.lost, ['the lease row has changed']);
	},
);

tap.t.test('machines move for an expected rise only', async (t) => {
	const rise = {machines: new Map([['p', 5]]), endedRises: new Set<string>()};
	for (const {expected, usesForecast} of [
		{expected: undefined, usesForecast: true},
		{expected: rise, usesForecast: true},
		{expected: rise, usesForecast: false},
	]) {
		const moved: string[] = [];
		const context = {
			held: {token: 1},
			clock: {now: () => 0, epochNow: () => 0},
			logger: noLogger,
			hasOwner: () => false,
			mayCommand: () => true,
			commandLog: {
				listFitting: (ids: readonly string[]) => ids,
				mayCommand: () => true,
				record: async () => true,
			},
			machines: {
				async move({machine}: {readonly machine: string}) {
					moved.push(machine);
					return 'done';
				},
			},
		} as unknown as FleetContext;
		const mover = createPoolMover(context, {
			cfg: {...fleet.defaultPoolConfig, minCpu: 0, minShare: 0, usesForecast},
			getStandbyPool: () => 'standby',
			listServices: () => [],
			isReserved: () => false,
			claims: createMachineClaims(() => 0),
			forecaster: {observe: () => expected},
		});
		const listed = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6', 'm7'].map((id) => [
			id,
			{
				id,
				pool: id === 'm1' ? 'p' : 'standby',
				state: 'up',
				capacity: {cpuMillis: machineCpu, memoryMb: 1, accelerators: 0},
			},
		]);
		const load = {waitingCpu: 0, usedCpu: 0, arrivingCpu: 0, minExecutors: 0};
		await mover.runRound({
			requestedAt: 0,
			machines: new Map(listed as never),
			loads: new Map([['p', {...load, executors: {}, silent: {}}]]),
		} as unknown as FleetView);
		const isUsed = expected !== undefined && usesForecast;
		t.same(moved, isUsed ? ['m2', 'm3', 'm4', 'm5'] : []);
	}
});
