/** Runs a simulation with operators and faults and counts the results. */
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

/** Options of one run. */
export type RunOptions = {
	readonly seed: number;
	readonly rule: MoveRule;
	readonly moves: number;
	/** False leaves out all faults except racing operators. */
	readonly hasFaults: boolean;
};

/** Result of one run. */
export type RunResult = Counts & {
	readonly moveMs: readonly number[];
	/** Instances that do not serve any pool after the faults have ended. */
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

const startHost = (simulation: Simulation, host: EntryHost) => {
	const state = startEntry(simulation, host);
	void startControl(simulation, state);
};

const requestMove = async (simulation: Simulation) => {
	const {store, random} = simulation;
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
		revision: simulation.log.length + 1,
		isMoving: moveRow !== undefined,
	});
	if (started.ok) {
		await simulation.link(() =>
			commitSteps(simulation, [started.value], counter.version),
		);
	}
};

const cancelRandomMove = async (simulation: Simulation) => {
	const {store, random} = simulation;
	const moves = store.list<move.Move>('move');
	if (moves.length === 0) {
		return;
	}

	const [id, row] = pick(random, moves);
	const counter = store.read('counter', core.singleRowKey)!;
	const step = core.move.cancelMove(row, store.read<Instance>('instance', id));
	if (step.kind === 'commit') {
		await simulation.link(() =>
			commitSteps(simulation, [step], counter.version),
		);
	}
};

const runOperator = async (simulation: Simulation, moves: number) => {
	const {clock, random, counts, store} = simulation;
	while (counts.moved < moves) {
		if (store.list('move').length < maxOpenMoves) {
			await requestMove(simulation);
		}

		if (random() < 0.001) {
			await cancelRandomMove(simulation);
		}

		await clock.sleep(drawExponential(random, 10));
	}
};

/** Mean time between two faults of one kind, in milliseconds. */
const meanGapMs = {pause: 10_000, crash: 30_000, cut: 90_000, drop: 60_000};

const runFault = async (
	simulation: Simulation,
	kind: keyof typeof meanGapMs,
	cause: (host: EntryHost) => Promise<void>,
) => {
	while (!simulation.isQuiet) {
		await simulation.clock.sleep(
			drawExponential(simulation.random, meanGapMs[kind]),
		);
		const host = pick(simulation.random, simulation.hosts);
		if (!simulation.isQuiet && host.isUp) {
			await cause(host);
		}
	}
};

const startFaults = (simulation: Simulation) => {
	const {clock, random, counts} = simulation;
	const drawUntil = (maxMs: number) => clock.now() + random() * maxMs;
	void runFault(simulation, 'pause', async (host) => {
		counts.pauses += 1;
		host.pausedUntil = drawUntil(random() < 0.1 ? 60_000 : 3000);
	});
	void runFault(simulation, 'cut', async (host) => {
		counts.cuts += 1;
		host.cutUntil = drawUntil(60_000);
	});
	void runFault(simulation, 'drop', async (host) => {
		counts.drops += 1;
		host.droppedUntil = drawUntil(60_000);
	});
	void runFault(simulation, 'crash', async (host) => {
		counts.crashes += 1;
		host.isUp = false;
		await clock.sleep(random() < 0.2 ? 40_000 : 2000 * random());
		startHost(simulation, host);
	});
};

const createSimulation = ({seed, rule, hasFaults}: RunOptions): Simulation => {
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
	const simulation: Simulation = {
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

	simulation.log.push({
		revision: 1,
		id: 'd1',
		previousId: '',
		author: 'bench',
		committedAt: 0,
		changes: instances.map((instance) => ({kind: 'put-instance', instance})),
	});
	put('counter', core.singleRowKey, 1);
	return simulation;
};

const recoveryMs = 120_000;

/** Runs a simulation until its moves are done and the faults have ended. */
export const runSimulation = async (
	options: RunOptions,
): Promise<RunResult> => {
	const simulation = createSimulation(options);
	const {clock, counts, store} = simulation;
	for (const host of simulation.hosts) {
		startHost(simulation, host);
	}

	await clock.run(5000);
	if (options.hasFaults) {
		startFaults(simulation);
	}

	for (const _operator of ['ann', 'ben', 'cem']) {
		void runOperator(simulation, options.moves);
	}

	await clock.run(
		Number.POSITIVE_INFINITY,
		() => counts.moved >= options.moves,
	);
	simulation.isQuiet = true;
	await clock.run(clock.now() + recoveryMs);
	const simulatedMs = clock.now();
	simulation.isDone = true;
	await clock.run(clock.now() + 30_000);
	const leftBetween = store
		.list<Instance>('instance')
		.filter(([, {value}]) => value.state !== 'serving').length;
	return {...counts, moveMs: simulation.moveMs, leftBetween, simulatedMs};
};
