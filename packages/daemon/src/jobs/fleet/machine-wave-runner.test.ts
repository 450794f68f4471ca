/** Rounds of a wave: what is stored, ordered and ordered again. */
import {type scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard} from '../rows/tables.js';
import type {FleetContext, FleetView} from './fleet-context.js';
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

type World = {
	readonly events: string[];
	readonly answers: Map<string, ports.MachineAnswer>;
	/** Executors on which something still runs. */
	readonly busy: Set<string>;
	/** Executors that were asked to be emptied. */
	readonly asked: Set<string>;
	readonly state: {isNoted: boolean; mayOrder: boolean};
};

/** Of an owner with nothing to do. */
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

const createWorld = (
	count: number,
	maxAway: number,
	load: scheduler.ServiceLoad | 'silent' = noLoad,
) => {
	const world: World = {
		events: [],
		answers: new Map(),
		busy: new Set(),
		asked: new Set(),
		state: {isNoted: true, mayOrder: true},
	};
	const inner = ports.createMemoryRowStore();
	const machines = Array.from({length: count}, (_, index) =>
		createMachine(`m${index}`),
	);
	const view: FleetView = {
		requestedAt: 0,
		machines: new Map(machines.map((each) => [each.id, each])),
		loads: new Map(load === 'silent' ? [] : [['s', load]]),
	};
	const clear: scheduler.EvacuationState = {kind: 'clear'};
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
				world.events.push('stored');
				return inner.transact(...args);
			},
		},
		machines: {
			list: async () => ({ok: true, value: machines}),
			move: async () => 'invalid',
			async maintain({machine}) {
				world.events.push(machine);
				return world.answers.get(machine) ?? 'done';
			},
		},
		owners: {
			async evacuate(_shard: string, executorId: string) {
				world.asked.add(executorId);
				return world.busy.has(executorId) ? undefined : clear;
			},
		} as unknown as FleetContext['owners'],
		clock: {now: () => 0, epochNow: () => 0},
		logger: noLogger,
		hasOwner: () => true,
		mayCommand: () => world.state.mayOrder,
		commandLog: {
			load: async () => true,
			async record(noted) {
				world.events.push(`noted ${noted.length}`);
				return world.state.isNoted;
			},
			mayCommand: () => true,
		},
		isStopped: () => false,
		loseShard: () => undefined,
	};
	const rounds = createMachineWaveRunner(context, {write: async () => true});
	return {
		...world,
		async begin() {
			await rounds.acceptRequests([
				{
					id: 'w',
					machines: machines.map(({id}) => id),
					durationMs: 60_000,
					maxAway,
				},
			]);
			world.events.length = 0;
		},
		run: async () => rounds.runRound(view),
		isTaken: rounds.isReserved,
	};
};

type Case = {
	readonly name: string;
	readonly count: number;
	readonly maxAway: number;
	readonly busy?: readonly string[];
	readonly answers?: Readonly<Record<string, ports.MachineAnswer>>;
	readonly isNoted?: boolean;
	readonly mayOrder?: boolean;
	/** The pool's owner did not tell its load. */
	readonly isOwnerSilent?: boolean;
	/** What happens in each round. */
	readonly rounds: ReadonlyArray<readonly string[]>;
};

const cases: readonly Case[] = [
	{
		name: 'all that are empty are stored at once, then ordered',
		count: 4,
		maxAway: 4,
		rounds: [['stored', 'noted 4', 'm0', 'm1', 'm2', 'm3'], []],
	},
	{
		name: 'no more are ordered than may be away',
		count: 4,
		maxAway: 2,
		rounds: [['stored', 'noted 2', 'm0', 'm1'], []],
	},
	{
		name: 'one that is not empty holds up no other',
		count: 3,
		maxAway: 3,
		busy: ['e-m0'],
		rounds: [['stored', 'noted 2', 'm1', 'm2'], []],
	},
	{
		name: 'one that was refused is ordered again',
		count: 2,
		maxAway: 2,
		answers: {m1: 'busy'},
		rounds: [
			['stored', 'noted 2', 'm0', 'm1'],
			['stored', 'noted 1', 'm1'],
		],
	},
	{
		name: 'one without an answer is ordered again and not begun again',
		count: 2,
		maxAway: 2,
		answers: {m1: 'no-answer'},
		rounds: [
			['stored', 'noted 2', 'm0', 'm1'],
			['noted 1', 'm1'],
		],
	},
	{
		name: 'nothing is ordered that was not noted',
		count: 2,
		maxAway: 2,
		isNoted: false,
		rounds: [['stored', 'noted 2']],
	},
	{
		name: 'nothing is ordered without belief in the lease',
		count: 2,
		maxAway: 2,
		mayOrder: false,
		rounds: [['stored']],
	},
	{
		name: 'machines of an owner that is late are not taken for idle',
		count: 4,
		maxAway: 4,
		isOwnerSilent: true,
		rounds: [['stored', 'noted 1', 'm0'], []],
	},
];

for (const each of cases) {
	tap.t.test(each.name, async (t) => {
		const world = createWorld(
			each.count,
			each.maxAway,
			each.isOwnerSilent ? 'silent' : noLoad,
		);
		for (const executor of each.busy ?? []) {
			world.busy.add(executor);
		}

		for (const [machine, answer] of Object.entries(each.answers ?? {})) {
			world.answers.set(machine, answer);
		}

		world.state.isNoted = each.isNoted ?? true;
		world.state.mayOrder = each.mayOrder ?? true;
		await world.begin();
		for (const expected of each.rounds) {
			world.events.length = 0;
			await world.run();
			t.same(world.events, expected);
		}
	});
}

tap.t.test(
	'of machines at work no more are emptied than the time asks for',
	async (t) => {
		const ids = Array.from({length: 20}, (_, index) => `e-m${index}`);
		const load = {runs: 1, lasting: 0, usedCpu: 1};
		const world = createWorld(20, 20, {
			...noLoad,
			executors: Object.fromEntries(ids.map((id) => [id, load])),
		});
		for (const id of ids) {
			world.busy.add(id);
		}

		await world.begin();
		await world.run();
		t.equal(world.asked.size, 2, 'at 4.5 s each, 20 in 60 s');
	},
);
