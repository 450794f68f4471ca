/** Checks which writes and commands a round of a wave issues, in order. */
import {type scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard} from '../rows/tables.js';
import type {FleetContext, FleetView} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const noLogger = {
	info: () => undefined as never,
	warn: () => undefined as never,
};

const createMachine = (id: string): ports.Machine => ({
	id,
	pool: 's',
	state: 'up',
	availabilityZone: 'z',
	labels: [],
	capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0},
	executorId: `e-${id}`,
});

type TestEnvironment = {
	readonly events: string[];
	readonly answers: Map<string, ports.MachineAnswer>;
	/** Executors on which something still runs. */
	readonly busy: Set<string>;
	/** Executors whose evacuation was requested. */
	readonly evacuated: Set<string>;
	readonly state: {isRecorded: boolean; mayCommand: boolean};
};

/** Load of an idle owner. */
const noLoad: scheduler.ServiceLoad = {
	waitingCpu: 0,
	usedCpu: 0,
	capacityCpu: 0,
	late: {waitingCpu: 0, usedCpu: 0, work: 0},
	arrivingCpu: 0,
	minExecutors: 0,
	executors: {},
	silent: {},
};

const createTestEnvironment = (
	count: number,
	maxAway: number,
	load: scheduler.ServiceLoad | 'silent' = noLoad,
) => {
	const env: TestEnvironment = {
		events: [],
		answers: new Map(),
		busy: new Set(),
		evacuated: new Set(),
		state: {isRecorded: true, mayCommand: true},
	};
	const inner = ports.createMemoryRowStore();
	const machines = Array.from({length: count}, (_, index) =>
		createMachine(`m${index}`),
	);
	// No wave has this one, so that the pool can spare all others.
	const listed = [...machines, createMachine('stays')];
	const view: FleetView = {
		requestedAt: 0,
		machines: new Map(listed.map((each) => [each.id, each])),
		loads: new Map(load === 'silent' ? [] : [['s', load]]),
	};
	const clear: scheduler.EvacuationState = {kind: 'clear', remainingMs: 5000};
	const context: FleetContext = {
		held: {
			shard: fleetShard,
			token: 1,
			version: 0,
			previous: 'silent',
			previousHolder: undefined,
		},
		holder: 'd',
		store: {
			...inner,
			async transact(...args) {
				env.events.push('stored');
				return inner.transact(...args);
			},
		},
		machines: {
			list: async () => ({ok: true, value: listed}),
			move: async () => 'invalid',
			async maintain({machine}) {
				env.events.push(machine);
				return env.answers.get(machine) ?? 'done';
			},
		},
		owners: {
			async evacuate(_shard: string, executorId: string) {
				env.evacuated.add(executorId);
				return env.busy.has(executorId) ? undefined : clear;
			},
			releaseEvacuation: async () => undefined,
		} as unknown as FleetContext['owners'],
		clock: {now: () => 0, epochNow: () => 0},
		logger: noLogger,
		hasOwner: () => true,
		mayCommand: () => env.state.mayCommand,
		commandLog: {
			load: async () => true,
			listFitting: (ids) => ids,
			async record(recorded) {
				env.events.push(`recorded ${recorded.length}`);
				return env.state.isRecorded;
			},
			mayCommand: () => true,
		},
		isStopped: () => false,
		loseShard: () => undefined,
	};
	const runner = createMachineWaveRunner(
		context,
		{write: async () => true},
		createMachineClaims(context.clock.now),
	);
	return {
		...env,
		/** Starts waves that share the machines evenly. */
		async begin(waves = 1) {
			await runner.acceptRequests(
				Array.from({length: waves}, (_, number) => ({
					id: `w${number}`,
					machines: machines
						.map(({id}) => id)
						.filter((_id, index) => index % waves === number),
					durationMs: 60_000,
					maxAway,
				})),
			);
			env.events.length = 0;
		},
		run: async () => runner.runRound(view),
		isReserved: runner.isReserved,
	};
};

type Case = {
	readonly name: string;
	readonly count: number;
	readonly maxAway: number;
	readonly busy?: readonly string[];
	/** Executors on which something runs after the first round. */
	readonly busyAfterFirstRound?: readonly string[];
	readonly answers?: Readonly<Record<string, ports.MachineAnswer>>;
	readonly isRecorded?: boolean;
	readonly mayCommand?: boolean;
	/** The pool's owner did not report its load. */
	readonly isOwnerUnresponsive?: boolean;
	/** Expected events of each round. */
	readonly rounds: ReadonlyArray<readonly string[]>;
};

const cases: readonly Case[] = [
	{
		name: 'all empty machines are stored in one write before their commands',
		count: 4,
		maxAway: 4,
		rounds: [['stored', 'recorded 4', 'm0', 'm1', 'm2', 'm3', 'stored'], []],
	},
	{
		name: 'no more machines get commands than may be away',
		count: 4,
		maxAway: 2,
		rounds: [['stored', 'recorded 2', 'm0', 'm1', 'stored'], []],
	},
	{
		name: 'a machine that is not empty blocks no other',
		count: 3,
		maxAway: 3,
		busy: ['e-m0'],
		rounds: [['stored', 'recorded 2', 'm1', 'm2', 'stored'], []],
	},
	{
		name: 'a refused command is begun again',
		count: 2,
		maxAway: 2,
		answers: {m1: 'busy'},
		rounds: [
			['stored', 'recorded 2', 'm0', 'm1', 'stored'],
			['stored', 'recorded 1', 'm1', 'stored'],
		],
	},
	{
		name: 'an unanswered command is repeated and starts no other machine',
		count: 3,
		maxAway: 2,
		answers: {m1: 'no-answer'},
		rounds: [
			['stored', 'recorded 2', 'm0', 'm1', 'stored'],
			['stored', 'recorded 1', 'm1'],
		],
	},
	{
		name: 'an unanswered command is not repeated while something runs there',
		count: 2,
		maxAway: 2,
		answers: {m1: 'no-answer'},
		busyAfterFirstRound: ['e-m1'],
		rounds: [['stored', 'recorded 2', 'm0', 'm1', 'stored'], []],
	},
	{
		name: 'no command is sent that was not recorded',
		count: 2,
		maxAway: 2,
		isRecorded: false,
		rounds: [['stored', 'recorded 2', 'stored']],
	},
	{
		name: 'no command is sent without a confirmed lease',
		count: 2,
		maxAway: 2,
		mayCommand: false,
		rounds: [['stored']],
	},
	{
		name: 'machines of an unresponsive owner do not count as idle',
		count: 4,
		maxAway: 4,
		isOwnerUnresponsive: true,
		rounds: [['stored', 'recorded 1', 'm0', 'stored'], []],
	},
];

for (const each of cases) {
	tap.t.test(each.name, async (t) => {
		const env = createTestEnvironment(
			each.count,
			each.maxAway,
			each.isOwnerUnresponsive ? 'silent' : noLoad,
		);
		for (const executor of each.busy ?? []) {
			env.busy.add(executor);
		}

		for (const [machine, answer] of Object.entries(each.answers ?? {})) {
			env.answers.set(machine, answer);
		}

		env.state.isRecorded = each.isRecorded ?? true;
		env.state.mayCommand = each.mayCommand ?? true;
		await env.begin();
		for (const expected of each.rounds) {
			env.events.length = 0;
			await env.run();
			t.same(env.events, expected);
			for (const executor of each.busyAfterFirstRound ?? []) {
				env.busy.add(executor);
			}
		}
	});
}

tap.t.test(
	'no more busy machines are evacuated than the deadline requires',
	async (t) => {
		const ids = Array.from({length: 20}, (_, index) => `e-m${index}`);
		const load = {runs: 1, lasting: 0, usedCpu: 1};
		const env = createTestEnvironment(20, 20, {
			...noLoad,
			executors: Object.fromEntries(ids.map((id) => [id, load])),
		});
		for (const id of ids) {
			env.busy.add(id);
		}

		await env.begin();
		await env.run();
		t.equal(env.evacuated.size, 2, '20 machines at 4.5 s each in 60 s');
	},
);

tap.t.test('all waves share the writes of a round', async (t) => {
	const env = createTestEnvironment(6, 2);
	await env.begin(3);
	await env.run();
	t.same(env.events, [
		'stored',
		'recorded 6',
		'm0',
		'm3',
		'm1',
		'm4',
		'm2',
		'm5',
		'stored',
	]);
});
