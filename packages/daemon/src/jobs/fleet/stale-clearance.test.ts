/** Guards against commands that rest on a clearance which has run out. */
import {fleet, type scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {noLogger} from '../job-daemon.test.fixture.js';
import {fleetShard} from '../rows/tables.js';
import type {DemandForecaster} from './demand-forecaster.js';
import {
	evacuateMachine,
	releaseMachine,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';
import {createPoolMover} from './pool-mover.js';

const standbyPool = 'off';

const machine: ports.Machine = {
	id: 'm',
	pool: 's',
	state: 'up',
	availabilityZone: 'z',
	labels: [],
	capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0},
	executorId: 'x',
};

const idle: scheduler.ServiceLoad = {
	waitingCpu: 0,
	usedCpu: 0,
	capacityCpu: 0,
	late: {waitingCpu: 0, usedCpu: 0, work: 0},
	arrivingCpu: 0,
	minExecutors: 0,
	executors: {x: {runs: 0, lasting: 0, usedCpu: 0}},
	silent: {},
};

const clear: scheduler.EvacuationState = {kind: 'clear', remainingMs: 4800};

/** As read from an owner of an older release. */
const olderClear = JSON.parse('{"kind":"clear"}') as scheduler.EvacuationState;

const noForecaster = {
	observe: () => ({machines: new Map()}),
} as unknown as DemandForecaster;

const createHarness = () => {
	const state = {
		now: 0,
		epochNow: 0,
		/** Duration of a write. */
		writeMs: 0,
		/** Time that the wall clock alone shows during a write. */
		suspendedMs: 0,
		answer: clear as scheduler.EvacuationState | undefined,
		outcome: 'done' as ports.MachineAnswer,
	};
	const commands: string[] = [];
	const calls: unknown[] = [];
	const inner = ports.createMemoryRowStore();
	const passTime = () => {
		state.now += state.writeMs;
		state.epochNow += state.writeMs + state.suspendedMs;
	};

	const context: FleetContext = {
		held: {
			shard: fleetShard,
			token: 3,
			version: 0,
			previous: 'none',
			previousHolder: undefined,
		},
		holder: 'd',
		store: {
			...inner,
			async transact(...args) {
				passTime();
				return inner.transact(...args);
			},
		},
		machines: {
			list: async () => ({ok: true, value: [machine]}),
			async move({machine: id}) {
				commands.push(id);
				return state.outcome;
			},
			async maintain({machine: id}) {
				commands.push(id);
				return state.outcome;
			},
		},
		owners: {
			async evacuate(...args: unknown[]) {
				calls.push(args);
				return state.answer;
			},
			async releaseEvacuation(...args: unknown[]) {
				calls.push(args);
			},
		} as unknown as FleetContext['owners'],
		clock: {now: () => state.now, epochNow: () => state.epochNow},
		logger: noLogger,
		hasOwner: (pool) => pool === 's',
		mayCommand: () => true,
		commandLog: {
			load: async () => true,
			listFitting: (ids) => ids,
			async record() {
				passTime();
				return true;
			},
			mayCommand: () => true,
		},
		isStopped: () => false,
		loseShard: () => undefined,
	};
	const view: FleetView = {
		requestedAt: 0,
		machines: new Map([[machine.id, machine]]),
		loads: new Map([['s', idle]]),
	};
	return {state, commands, calls, context, view};
};

type Harness = ReturnType<typeof createHarness>;

/** Each returns a function that runs one round. */
const runners: Readonly<
	Record<
		string,
		(harness: Harness, viewAgeMs?: number) => Promise<() => Promise<void>>
	>
> = {
	async wave({context, view}) {
		const runner = createMachineWaveRunner(
			context,
			{write: async () => true},
			createMachineClaims(context.clock.now),
		);
		await runner.acceptRequests([
			{id: 'w', machines: [machine.id], durationMs: 60_000, maxAway: 1},
		]);
		return async () => runner.runRound(view);
	},
	async move({context, view, state}, viewAgeMs = 0) {
		const cfg = {
			...fleet.defaultPoolConfig,
			minCpu: 0,
			minShare: 0,
			spareMachines: 0,
			maxMoveShare: 1,
			yieldAfterMs: 0,
			shrinkAfterMs: 0,
			usesForecast: false,
		};
		const mover = createPoolMover(context, {
			cfg,
			getStandbyPool: () => standbyPool,
			listServices: () => [],
			isReserved: () => false,
			forecaster: noForecaster,
			claims: createMachineClaims(context.clock.now),
		});
		state.now += 1;
		return async () =>
			mover.runRound({...view, requestedAt: state.now - viewAgeMs});
	},
};

type Case = {
	readonly name: string;
	readonly writeMs: number;
	readonly suspendedMs?: number;
	readonly isSent: boolean;
};

const cases: readonly Case[] = [
	{name: 'the store is fast', writeMs: 6, isSent: true},
	{name: 'the store takes 1.2 s', writeMs: 1200, isSent: true},
	{name: 'the store takes longer than that', writeMs: 3400, isSent: false},
	{
		name: 'the holder is suspended',
		writeMs: 6,
		suspendedMs: 3400,
		isSent: false,
	},
];

for (const [kind, prepare] of Object.entries(runners)) {
	for (const {name, writeMs, suspendedMs = 0, isSent} of cases) {
		tap.t.test(
			`a ${kind} is ${isSent ? '' : 'not '}commanded if ${name} ahead of the command`,
			async (t) => {
				const harness = createHarness();
				const {state, commands} = harness;
				const runRound = await prepare(harness);
				Object.assign(state, {writeMs, suspendedMs});
				await runRound();
				t.equal(commands.length, isSent ? 1 : 0);
				Object.assign(state, {writeMs: 6, suspendedMs: 0});
				await runRound();
				t.same(
					commands,
					[machine.id],
					'it is commanded once it is clear again',
				);
			},
		);
	}
}

tap.t.test(
	'a command without an answer is not repeated while something runs there',
	async (t) => {
		const harness = createHarness();
		const {state, commands} = harness;
		const runRound = await runners.wave!(harness);
		state.outcome = 'no-answer';
		await runRound();
		state.answer = {kind: 'waiting', runs: 1};
		await runRound();
		t.same(commands, [machine.id]);
		state.answer = clear;
		await runRound();
		t.same(commands, [machine.id, machine.id]);
	},
);

tap.t.test('no move rests on a list from before slow commands', async (t) => {
	const harness = createHarness();
	const {state, commands} = harness;
	const runRound = await runners.move!(harness, 501);
	await runRound();
	t.same(commands, [], 'a list of 501 ms');
	state.now += 1;
	const runNext = await runners.move!(harness);
	await runNext();
	t.same(commands, [machine.id]);
});

type ClearanceCase = {
	readonly name: string;
	readonly pool: string;
	readonly executorId: string | undefined;
	readonly answer: scheduler.EvacuationState | undefined;
	/** Absent if the machine is not clear. */
	readonly validMs: number | undefined;
};

const owned = {pool: 's', executorId: 'x'};

const clearanceCases: readonly ClearanceCase[] = [
	{name: 'its owner says so', ...owned, answer: clear, validMs: 4800},
	{
		name: 'its owner waits for runs',
		...owned,
		answer: {kind: 'waiting', runs: 1},
		validMs: undefined,
	},
	{
		name: 'its owner is not confirmed',
		...owned,
		answer: {kind: 'not-owner'},
		validMs: undefined,
	},
	{
		name: 'its owner does not know the executor',
		...owned,
		answer: {kind: 'unknown-executor'},
		validMs: undefined,
	},
	{
		name: 'its owner does not answer',
		...owned,
		answer: undefined,
		validMs: undefined,
	},
	{
		name: 'its owner has an older release, which promises nothing',
		...owned,
		answer: olderClear,
		validMs: undefined,
	},
	{
		name: 'its executor is not shown yet',
		pool: 's',
		executorId: undefined,
		answer: clear,
		validMs: undefined,
	},
	{
		name: 'its pool has no owner',
		pool: standbyPool,
		executorId: undefined,
		answer: undefined,
		validMs: Number.POSITIVE_INFINITY,
	},
];

for (const {name, pool, executorId, answer, validMs} of clearanceCases) {
	tap.t.test(
		`a machine is ${validMs === undefined ? 'not ' : ''}clear if ${name}`,
		async (t) => {
			const {context, state} = createHarness();
			state.answer = answer;
			const clearance = await evacuateMachine(
				context,
				{pool, executorId},
				{patienceMs: 0},
			);
			t.equal(clearance?.validMs, validMs);
		},
	);
}

tap.t.test('a release is ordered after the request', async (t) => {
	const {context, calls, state} = createHarness();
	await evacuateMachine(context, owned, {patienceMs: 0});
	state.now += 5;
	await releaseMachine(context, owned);
	await releaseMachine(context, {pool: standbyPool, executorId: 'y'});
	t.same(calls, [
		['service/s', 'x', {patienceMs: 0, order: {token: 3, at: 0}}],
		['service/s', 'x', {token: 3, at: 5}],
	]);
});
