/** One platform with faults, its executors and the records of both. */
import {setTimeout as wait} from 'node:timers/promises';
import type {Contract, Instance, Service} from '@gullstand/core';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import {answers} from '@gullstand/stand-in';
import type {Agent} from 'undici';
import {createRandom, type Random} from '../../frame/random.js';
import {startExecutor, type Executor} from './executor.js';
import {
	createRecorder,
	now,
	recordTableService,
	type Recorder,
} from './recorder.js';

/** What stands between an entry and the store. */
export type StoreLink = {
	/** No call reaches the store. */
	isCut: boolean;
	/** Calls wait until then before they are sent, as in a paused process. */
	heldUntil: number;
};

/** One entry. */
export type Entry = {
	readonly id: string;
	readonly daemon: daemon.Daemon;
	/** Connections of its callers. */
	readonly agent: Agent;
	readonly storeLink: StoreLink;
};

/** What a pair of faults works on. */
export type TestEnvironment = {
	readonly random: Random;
	readonly recorder: Recorder;
	readonly faults: platform.faults.FaultControl;
	readonly table: platform.TableService;
	readonly objects: platform.ObjectStore;
	readonly list: platform.MemoryInstanceList;
	readonly workers: platform.Workers;
	readonly executors: readonly Executor[];
	/** Entries that callers may reach, one a slot. */
	readonly slots: Array<Entry | undefined>;
	/** Every entry that was started. */
	readonly started: Entry[];
	/** Highest change of the probe customer's contract that was tried. */
	readonly changes: {highest: number};
	/** How far the entries' clock is ahead; moved on after they have stopped. */
	readonly clock: {aheadMs: number};
	/** Life of each executor. */
	readonly incarnations: Map<string, number>;
};

/** Services and pools, of the same names. */
export const services = ['quote', 'claims'] as const;

/** Token of the customer whose requests are the load. */
export const callerToken = 'north-caller';

/** Token that change `change` gives to the probe customer. */
export const getProbeToken = (change: number): string => `probe-${change}`;

const executorsPerPool = 6;

const zones = 3;

const rebootMs = 300;

const longRunShare = 0.05;

/** Share of requests that an executor declares not to run. */
const refusedShare = 0.02;

const offersEndAfterMs = 60_000;

const storeTimeoutMs = 300;

const createService = (name: string): Service => ({
	name,
	pool: name,
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: name !== 'claims',
	nonRepeatableRoutes: [],
	refusal: {statuses: [503], header: answers.refusalHeader},
});

const createContract = (
	customer: string,
	token: string,
	keepExecutors: number,
): Contract => ({
	customer,
	weight: 1,
	tokenHashes: [daemon.hashToken(token)],
	services: services.map((service) => ({
		service,
		keepExecutors,
		maxAway: 1,
		answerWithinMs: 2000,
		requestsPerSecond: 200,
	})),
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
});

/** The contract that change `change` puts in place of the one before. */
export const createProbeContract = (change: number): Contract =>
	createContract('probe', getProbeToken(change), 1);

const createInstance = (executor: Executor, pool: string): Instance => ({
	id: executor.id,
	kind: 'executor',
	address: executor.address,
	pool,
	epoch: 1,
	state: 'serving',
	region: 'local',
	availabilityZone: executor.availabilityZone,
	rack: executor.id,
});

/** Shows an executor in the platform's list. */
export const setListedState = (
	{list, incarnations}: Pick<TestEnvironment, 'list' | 'incarnations'>,
	{id, address, availabilityZone}: Executor,
	state: 'live' | 'leaving',
): void => {
	const incarnation = `${id}-${incarnations.get(id) ?? 1}`;
	list.set({
		id,
		role: 'executor',
		address,
		availabilityZone,
		state,
		incarnation,
	});
};

type Rebooted = Pick<
	TestEnvironment,
	'recorder' | 'executors' | 'list' | 'incarnations'
>;

const reboot = async (world: Rebooted, id: string) => {
	const executor = world.executors.find((each) => each.id === id);
	if (!executor) {
		return;
	}

	world.recorder.reboots.push({at: now(), instance: id});
	executor.stop(true);
	setListedState(world, executor, 'leaving');
	await wait(rebootMs);
	await executor.listen();
	world.incarnations.set(id, (world.incarnations.get(id) ?? 1) + 1);
	setListedState(world, executor, 'live');
};

/** Most runs are short; some are still open when a wave's next step comes. */
const drawWorkMs = (random: Random): number =>
	random() < longRunShare ? 400 + 800 * random() : 2 + 20 * random();

const startExecutors = async (recorder: Recorder, random: Random) =>
	Promise.all(
		services.flatMap((service) =>
			Array.from({length: executorsPerPool}, async (_, index) =>
				startExecutor({
					id: `${service}-${index}`,
					availabilityZone: `zone-${index % zones}`,
					recorder,
					getPool: (name) => name,
					drawWorkMs: () => drawWorkMs(random),
					drawRefusal: () => random() < refusedShare,
				}),
			),
		),
	);

const getFirstChanges = (
	executors: readonly Executor[],
): readonly daemon.ViewChange[] => {
	const when = {kind: 'absent'} as const;
	const contracts = [
		createContract('north', callerToken, 3),
		createProbeContract(0),
	];
	return [
		...services.map((key) => ({
			table: 'service' as const,
			key,
			value: daemon.toJson(createService(key)),
			when,
		})),
		...executors.map((executor) => ({
			table: 'instance' as const,
			key: executor.id,
			value: daemon.toJson(
				createInstance(executor, executor.id.split('-', 1)[0]!),
			),
			when,
		})),
		...contracts.map((contract) => ({
			table: 'contract' as const,
			key: contract.customer,
			value: daemon.toJson(contract),
			when,
		})),
	];
};

/** Makes the platform and the executors; entries start after. */
export const createTestEnvironment = async (
	seed: number,
): Promise<TestEnvironment> => {
	const random = createRandom(seed);
	const recorder = createRecorder();
	const executors = await startExecutors(recorder, createRandom(seed + 1));
	const faults = platform.faults.createFaultControl({
		random: createRandom(seed + 2),
		wait: async (ms) => wait(ms),
		timeoutMs: storeTimeoutMs,
	});
	const store = recordTableService(
		platform.createMemoryTableService(),
		recorder,
	);
	await daemon.commitChange(store, getFirstChanges(executors), 'first');
	const list = platform.createMemoryInstanceList();
	const incarnations = new Map<string, number>();
	const shown = {recorder, executors, list, incarnations};
	for (const executor of executors) {
		setListedState(shown, executor, 'live');
	}

	return {
		...shown,
		random,
		faults,
		table: platform.faults.wrapTableService(store, faults),
		objects: platform.createMemoryObjectStore(),
		workers: platform.createMemoryWorkers({
			workers: executors.map(({id}) => id),
			now,
			getIncarnation: (id) => `${id}-${incarnations.get(id) ?? 1}`,
			onReboot(id) {
				void reboot(shown, id);
			},
		}),
		slots: [],
		started: [],
		changes: {highest: 0},
		clock: {aheadMs: 0},
	};
};

/** Ends everything that was started. */
export const closeTestEnvironment = async (
	world: TestEnvironment,
): Promise<void> => {
	world.faults.set(platform.faults.noFaults);
	await Promise.all(
		world.started.map(async ({daemon: each, agent}) => {
			await agent.destroy();
			await each.stop();
		}),
	);
	// Stopped entries go on offering changes to peers that are gone for a while.
	world.clock.aheadMs = offersEndAfterMs;
	// A reboot may still be under way.
	await wait(2 * rebootMs);
	for (const executor of world.executors) {
		executor.stop(true);
	}
};
