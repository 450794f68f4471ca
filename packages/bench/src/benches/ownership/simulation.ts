/** What the processes of the ownership bench share. */
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

/** How movers decide that a drain has ended. */
export type MoveRule =
	/** Every registered entry has acknowledged. */
	| 'acknowledged'
	/** Every entry on the platform's list has acknowledged. */
	| 'listed'
	/** A fixed time has passed, as with time leases without a lease. */
	| 'timer';

/** One entry as the platform and the network see it. */
export type EntryHost = {
	readonly entry: string;
	incarnation: number;
	isUp: boolean;
	pausedUntil: number;
	/** Cut off from the store, the list and its peers until then. */
	cutUntil: number;
	/** Not on the list until then, though it runs. */
	droppedUntil: number;
	lastHeardAt: number;
	receiveDelta: (delta: viewChange.ViewDelta) => void;
};

/** One executor: what runs on it, by pool of the request. */
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

/** Everything that the processes share. */
export type Simulation = {
	readonly rule: MoveRule;
	readonly clock: Clock;
	readonly random: Random;
	readonly store: Store;
	readonly link: Link;
	readonly log: viewChange.ViewDelta[];
	readonly hosts: readonly EntryHost[];
	readonly executors: ReadonlyMap<string, Executor>;
	/** Acknowledgements that peers have sent to one another. */
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

/** Shards by which movers divide the instances. */
export const shards = ['s0', 's1', 's2'];

/** Shard of an instance. */
export const getShard = (instance: string): string =>
	shards[Number(instance.slice(1)) % shards.length]!;

/** Delay of a message between two machines, 1 to 3 ms. */
export const drawHopMs = (random: Random): number => 1 + 2 * random();

/** Waits while the entry is paused; false if that life is over. */
export const waitWhilePaused = async (
	world: Simulation,
	host: EntryHost,
	life: number,
): Promise<boolean> => {
	while (host.isUp && host.pausedUntil > world.clock.now()) {
		await world.clock.sleep(host.pausedUntil - world.clock.now());
	}

	return host.isUp && host.incarnation === life;
};

/** True if messages of the entry arrive now. */
export const isConnected = ({clock}: Simulation, host: EntryHost): boolean =>
	host.isUp && host.cutUntil <= clock.now();

/** What the platform's list shows: up to 10 s old, and now and then wrong. */
export const isListed = (world: Simulation, host: EntryHost): boolean => {
	const {listLagMs} = core.membershipStatus.membershipDefaults;
	const at = world.clock.now() - world.random() * listLagMs;
	const isSilent = host.pausedUntil > at + 5000 || host.cutUntil > at + 5000;
	return host.isUp && !isSilent && host.droppedUntil <= at;
};

const messageLoss = 0.02;

const offerDelta = async (
	world: Simulation,
	host: EntryHost,
	delta: viewChange.ViewDelta,
) => {
	const copies = world.random() < messageLoss ? 2 : 1;
	for (let copy = 0; copy < copies; copy++) {
		await world.clock.sleep(drawHopMs(world.random));
		if (isConnected(world, host) && world.random() > messageLoss) {
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
	world: Simulation,
	{transition, instance}: move.MoveCommit,
) => {
	const {counts, startedAt, clock} = world;
	const counter = counterByTransition[transition];
	if (counter) {
		counts[counter] += 1;
	}

	if (transition === 'startDrain') {
		startedAt.set(instance.id, clock.now());
	}

	if (transition === 'commitMove') {
		world.moveMs.push(clock.now() - startedAt.get(instance.id)!);
	}
};

/** Commits steps of moves together, as one delta of the view. */
export const commitSteps = (
	world: Simulation,
	steps: readonly move.MoveCommit[],
	counterVersion: number,
): boolean => {
	const {store, log, rule} = world;
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
		committedAt: world.clock.now(),
		changes: steps.map(({instance}) => ({
			kind: 'put-instance' as const,
			instance,
		})),
	};
	log.push(delta);
	for (const host of world.hosts) {
		void offerDelta(world, host, delta);
	}

	for (const step of steps) {
		countStep(world, step);
	}

	return true;
};

/** Runs one request at its executor and checks the pool that it is for. */
export const runAtExecutor = async (
	world: Simulation,
	instance: string,
	pool: string,
	serviceMs: number,
): Promise<void> => {
	const {running} = world.executors.get(instance)!;
	const truth = world.store.read<Instance>('instance', instance)!.value;
	const isShared = [...running].some(
		([other, count]) => other !== pool && count > 0,
	);
	world.counts.requests += 1;
	if (isShared || truth.pool !== pool || truth.state === 'away') {
		world.counts.violations += 1;
	}

	running.set(pool, (running.get(pool) ?? 0) + 1);
	await world.clock.sleep(serviceMs);
	running.set(pool, running.get(pool)! - 1);
};

/** Picks one of a list. */
export const pick = <Value>(random: Random, values: readonly Value[]): Value =>
	values[drawBelow(random, values.length)]!;
