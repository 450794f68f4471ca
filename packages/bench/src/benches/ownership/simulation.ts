/** Shared state of the simulated processes of the ownership bench. */
import * as core from '@gullstand/core';
import type {
	acknowledgement,
	Instance,
	move,
	StoreWrite,
	viewChange,
} from '@gullstand/core';
import {drawBelow, type Random} from '../../frame/random.js';
import type {Clock} from '../agreement/clock.js';
import type {Link, Store} from '../agreement/store.js';

/** The rule by which movers decide that a drain has ended. */
export type MoveRule =
	/** Every registered entry has acknowledged. */
	| 'acknowledged'
	/** Every entry on the platform's list has acknowledged. */
	| 'listed'
	/** A fixed time has passed. */
	| 'timer';

/** The process of one entry and its current faults. */
export type EntryHost = {
	readonly entry: string;
	incarnation: number;
	isUp: boolean;
	pausedUntil: number;
	/** Cut off from the store, the list and its peers until then. */
	cutUntil: number;
	/** Missing from the list until then, although it runs. */
	droppedUntil: number;
	lastHeardAt: number;
	receiveDelta: (delta: viewChange.ViewDelta) => void;
};

/** One executor, with its running requests counted by pool. */
export type Executor = {readonly running: Map<string, number>};

/** Counts of a run. */
export type Counts = {
	started: number;
	moved: number;
	cancelled: number;
	requests: number;
	violations: number;
	forgotten: number;
	crashes: number;
	pauses: number;
	cuts: number;
	drops: number;
	takeovers: number;
	lostConflicts: number;
};

/** State that the processes share. */
export type Simulation = {
	readonly rule: MoveRule;
	readonly clock: Clock;
	readonly random: Random;
	readonly store: Store;
	readonly link: Link;
	readonly log: viewChange.ViewDelta[];
	readonly hosts: readonly EntryHost[];
	readonly executors: ReadonlyMap<string, Executor>;
	/** Newest acknowledgement of each entry that its peers have received. */
	readonly receivedAcknowledgements: Map<
		string,
		acknowledgement.Acknowledgement
	>;
	readonly startedAt: Map<string, number>;
	readonly moveMs: number[];
	readonly counts: Counts;
	isQuiet: boolean;
	isDone: boolean;
};

/** Pools of the bench. */
export const pools = ['quote', 'claims', 'reports', 'fixtures', 'laytime'];

/** Shards that divide the instances among the movers. */
export const shards = ['s0', 's1', 's2'];

/** Returns the shard of an instance. */
export const getShard = (instance: string): string =>
	shards[Number(instance.slice(1)) % shards.length]!;

/** Draws the delay of a message between two machines, 1 to 3 ms. */
export const drawHopMs = (random: Random): number => 1 + 2 * random();

/** Waits while the entry is paused; false if the incarnation has ended. */
export const waitWhilePaused = async (
	simulation: Simulation,
	host: EntryHost,
	incarnation: number,
): Promise<boolean> => {
	while (host.isUp && host.pausedUntil > simulation.clock.now()) {
		await simulation.clock.sleep(host.pausedUntil - simulation.clock.now());
	}

	return host.isUp && host.incarnation === incarnation;
};

/** True if messages to and from the entry arrive now. */
export const isConnected = ({clock}: Simulation, host: EntryHost): boolean =>
	host.isUp && host.cutUntil <= clock.now();

/** True if the platform's list, which may be outdated, shows the entry. */
export const isListed = (simulation: Simulation, host: EntryHost): boolean => {
	const {listLagMs} = core.membershipStatus.membershipDefaults;
	const at = simulation.clock.now() - simulation.random() * listLagMs;
	const isUnresponsive =
		host.pausedUntil > at + 5000 || host.cutUntil > at + 5000;
	return host.isUp && !isUnresponsive && host.droppedUntil <= at;
};

const messageLoss = 0.02;

const sendDelta = async (
	simulation: Simulation,
	host: EntryHost,
	delta: viewChange.ViewDelta,
) => {
	const copies = simulation.random() < messageLoss ? 2 : 1;
	for (let copy = 0; copy < copies; copy++) {
		await simulation.clock.sleep(drawHopMs(simulation.random));
		if (isConnected(simulation, host) && simulation.random() > messageLoss) {
			host.receiveDelta(delta);
		}
	}
};

const getStepWrites = (
	rule: MoveRule,
	step: move.MoveCommit,
): ReadonlyArray<StoreWrite<unknown>> => {
	const {id} = step.instance;
	const moveRow = {table: 'move', key: id, when: step.movePrecondition};
	return [
		...(rule === 'acknowledged' ? step.conditions : []),
		{
			kind: 'put',
			table: 'instance',
			key: id,
			value: step.instance,
			when: {kind: 'version', version: step.instanceVersion},
		},
		step.move
			? {kind: 'put', ...moveRow, value: step.move}
			: {kind: 'delete', ...moveRow},
	];
};

const counterByTransition = {
	startDrain: 'started',
	commitMove: 'moved',
	cancelDrain: 'cancelled',
	finishDrain: undefined,
	startReturn: undefined,
	finishReturn: undefined,
} as const;

const countStep = (
	simulation: Simulation,
	{transition, instance}: move.MoveCommit,
) => {
	const {counts, startedAt, clock} = simulation;
	const counter = counterByTransition[transition];
	if (counter) {
		counts[counter] += 1;
	}

	if (transition === 'startDrain') {
		startedAt.set(instance.id, clock.now());
	}

	if (transition === 'commitMove') {
		simulation.moveMs.push(clock.now() - startedAt.get(instance.id)!);
	}
};

/** Commits steps of moves in one transaction, as one delta of the view. */
export const commitSteps = (
	simulation: Simulation,
	steps: readonly move.MoveCommit[],
	counterVersion: number,
): boolean => {
	const {store, log, rule} = simulation;
	const revision = log.length + 1;
	const writes = [
		...steps.flatMap((step) => getStepWrites(rule, step)),
		{
			kind: 'put',
			table: core.agreementTables.counter,
			key: core.singleRowKey,
			value: revision,
			when: {kind: 'version', version: counterVersion},
		} as const,
	];
	if (!store.commit(writes)) {
		return false;
	}

	const delta = {
		revision,
		id: `d${revision}`,
		previousId: `d${revision - 1}`,
		author: 'bench',
		committedAt: simulation.clock.now(),
		changes: steps.map(({instance}) => ({
			kind: 'put-instance' as const,
			instance,
		})),
	};
	log.push(delta);
	for (const host of simulation.hosts) {
		void sendDelta(simulation, host, delta);
	}

	for (const step of steps) {
		countStep(simulation, step);
	}

	return true;
};

/** Runs one request on its executor and counts a violation of its pool. */
export const runAtExecutor = async (
	simulation: Simulation,
	instance: string,
	pool: string,
	serviceMs: number,
): Promise<void> => {
	const {running} = simulation.executors.get(instance)!;
	const stored = simulation.store.read<Instance>('instance', instance)!.value;
	const isShared = [...running].some(
		([other, count]) => other !== pool && count > 0,
	);
	simulation.counts.requests += 1;
	if (isShared || stored.pool !== pool || stored.state === 'away') {
		simulation.counts.violations += 1;
	}

	running.set(pool, (running.get(pool) ?? 0) + 1);
	await simulation.clock.sleep(serviceMs);
	running.set(pool, running.get(pool)! - 1);
};

/** Picks a random element. */
export const pick = <Value>(random: Random, values: readonly Value[]): Value =>
	values[drawBelow(random, values.length)]!;
