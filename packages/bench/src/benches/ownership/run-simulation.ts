/** Builds a world, lets operators and faults loose, and counts. */
import * as core from '@gullstand/core';
import type {Instance, move} from '@gullstand/core';
import {createRandom, drawExponential, drawBelow} from '../../frame/random.js';
import {createClock} from '../agreement/clock.js';
import {createLink, createStore} from '../agreement/store.js';
import {startControl} from './control.js';
import {startEntry} from './entry.js';
import {
	commitSteps,
	pick,
	pools,
	type Counts,
	type EntryHost,
	type MoveRule,
	type Simulation,
} from './simulation.js';

/** Size of one run. */
export type RunOptions = {
	readonly seed: number;
	readonly rule: MoveRule;
	readonly moves: number;
	/** False leaves out every fault but racing operators. */
	readonly hasFaults: boolean;
};

/** What a run showed. */
export type RunResult = Counts & {
	readonly moveMs: readonly number[];
	/** Instances that are in no pool's service after the faults end. */
	readonly leftBetween: number;
	readonly simulatedMs: number;
};

const entryCount = 9;

const instanceCount = 60;

const maxOpenMoves = 40;

const createInstance = (index: number): Instance => ({
	id: `x${index}`,
	kind: 'executor',
	address: `127.0.0.1:${index}`,
	pool: pools[index % pools.length]!,
	epoch: 1,
	state: 'serving',
	region: 'r',
	availabilityZone: `z${index % 3}`,
	rack: 'k',
});

const createHost = (index: number): EntryHost => ({
	entry: `e${index}`,
	incarnation: 0,
	isUp: false,
	pausedUntil: 0,
	cutUntil: 0,
	droppedUntil: 0,
	lastHeardAt: 0,
	receiveDelta: () => undefined,
});

const startHost = (world: Simulation, host: EntryHost) => {
	const state = startEntry(world, host);
	void startControl(world, state);
};

const requestMove = async (world: Simulation) => {
	const {store, random} = world;
	const instance = store.read<Instance>(
		'instance',
		`x${drawBelow(random, instanceCount)}`,
	)!;
	const counter = store.read('counter', core.singleRowKey)!;
	const moveRow = store.read<move.Move>('move', instance.value.id);
	const started = core.move.startMove({
		instance,
		to: pick(random, pools),
		author: 'ann',
		revision: world.log.length + 1,
		isMoving: moveRow !== undefined,
	});
	if (started.ok) {
		await world.link(() =>
			commitSteps(world, [started.value], counter.version),
		);
	}
};

const cancelSome = async (world: Simulation) => {
	const {store, random} = world;
	const moves = store.list<move.Move>('move');
	if (moves.length === 0) {
		return;
	}

	const [id, row] = pick(random, moves);
	const counter = store.read('counter', core.singleRowKey)!;
	const step = core.move.cancelMove(row, store.read<Instance>('instance', id));
	if (step.kind === 'commit') {
		await world.link(() => commitSteps(world, [step], counter.version));
	}
};

const runOperator = async (world: Simulation, moves: number) => {
	const {clock, random, counts, store} = world;
	while (counts.moved < moves) {
		if (store.list('move').length < maxOpenMoves) {
			await requestMove(world);
		}

		if (random() < 0.001) {
			await cancelSome(world);
		}

		await clock.sleep(drawExponential(random, 10));
	}
};

/** Between two faults of one kind, on average, in milliseconds. */
const meanGapMs = {pause: 10_000, crash: 30_000, cut: 90_000, drop: 60_000};

const runFault = async (
	world: Simulation,
	kind: keyof typeof meanGapMs,
	cause: (host: EntryHost) => Promise<void>,
) => {
	while (!world.isQuiet) {
		await world.clock.sleep(drawExponential(world.random, meanGapMs[kind]));
		const host = pick(world.random, world.hosts);
		if (!world.isQuiet && host.isUp) {
			await cause(host);
		}
	}
};

const startFaults = (world: Simulation) => {
	const {clock, random, counts} = world;
	const drawUntil = (maxMs: number) => clock.now() + random() * maxMs;
	void runFault(world, 'pause', async (host) => {
		counts.pauses += 1;
		host.pausedUntil = drawUntil(random() < 0.1 ? 60_000 : 3000);
	});
	void runFault(world, 'cut', async (host) => {
		counts.cuts += 1;
		host.cutUntil = drawUntil(60_000);
	});
	void runFault(world, 'drop', async (host) => {
		counts.drops += 1;
		host.droppedUntil = drawUntil(60_000);
	});
	void runFault(world, 'crash', async (host) => {
		counts.crashes += 1;
		host.isUp = false;
		await clock.sleep(random() < 0.2 ? 40_000 : 2000 * random());
		startHost(world, host);
	});
};

const createWorld = ({seed, rule, hasFaults}: RunOptions): Simulation => {
	const random = createRandom(seed);
	const clock = createClock();
	const store = createStore();
	const faults = {
		latencyMs: 8,
		lostReplies: hasFaults ? 0.02 : 0,
		timeoutMs: 1000,
	};
	const instances = Array.from({length: instanceCount}, (_, index) =>
		createInstance(index),
	);
	const world: Simulation = {
		rule,
		clock,
		random,
		store,
		link: createLink(clock, random, () => faults),
		log: [],
		hosts: Array.from({length: entryCount}, (_, index) => createHost(index)),
		executors: new Map(instances.map(({id}) => [id, {running: new Map()}])),
		receivedAcknowledgements: new Map(),
		startedAt: new Map(),
		moveMs: [],
		counts: {
			started: 0,
			moved: 0,
			cancelled: 0,
			requests: 0,
			violations: 0,
			forgotten: 0,
			crashes: 0,
			pauses: 0,
			cuts: 0,
			drops: 0,
			takeovers: 0,
			lostConflicts: 0,
		},
		isQuiet: !hasFaults,
		isDone: false,
	};
	const put = (table: string, key: string, value: unknown) => {
		store.commit([{kind: 'put', table, key, value, when: {kind: 'any'}}]);
	};

	put('membership', core.singleRowKey, {});
	put('counter', core.singleRowKey, 0);
	for (const instance of instances) {
		put('instance', instance.id, instance);
	}

	world.log.push({
		revision: 1,
		id: 'd1',
		previousId: '',
		author: 'bench',
		committedAt: 0,
		changes: instances.map((instance) => ({kind: 'put-instance', instance})),
	});
	put('counter', core.singleRowKey, 1);
	return world;
};

const settleMs = 120_000;

/** Runs one world to the end of its moves, then lets it settle. */
export const runSimulation = async (
	options: RunOptions,
): Promise<RunResult> => {
	const world = createWorld(options);
	const {clock, counts, store} = world;
	for (const host of world.hosts) {
		startHost(world, host);
	}

	await clock.run(5000);
	if (options.hasFaults) {
		startFaults(world);
	}

	for (const _operator of ['ann', 'ben', 'cem']) {
		void runOperator(world, options.moves);
	}

	await clock.run(
		Number.POSITIVE_INFINITY,
		() => counts.moved >= options.moves,
	);
	world.isQuiet = true;
	await clock.run(clock.now() + settleMs);
	const simulatedMs = clock.now();
	world.isDone = true;
	await clock.run(clock.now() + 30_000);
	const leftBetween = store
		.list<Instance>('instance')
		.filter(([, {value}]) => value.state !== 'serving').length;
	return {...counts, moveMs: world.moveMs, leftBetween, simulatedMs};
};
