/** A platform with faults, its executors and the records of both. */
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

/** Faults of the link between an entry and the store. */
export type StoreLink = {
	/** True if no call reaches the store. */
	isCut: boolean;
	/** Time until which calls are delayed, as in a paused process. */
	heldUntil: number;
};

export type Entry = {
	readonly id: string;
	readonly daemon: daemon.Daemon;
	/** Agent that holds the connections of its callers. */
	readonly agent: Agent;
	readonly storeLink: StoreLink;
};

/** Environment in which a pair of faults runs. */
export type TestEnvironment = {
	readonly random: Random;
	readonly recorder: Recorder;
	readonly faults: platform.faults.FaultControl;
	readonly table: platform.TableService;
	readonly objects: platform.ObjectStore;
	readonly list: platform.MemoryInstanceList;
	readonly workers: platform.Workers;
	readonly executors: readonly Executor[];
	/** Entries that callers may reach, one per slot. */
	readonly slots: Array<Entry | undefined>;
	/** Every entry that was started and not stopped. */
	readonly started: Entry[];
	/** Highest attempted change of the probe customer's contract. */
	readonly changes: {highest: number};
	/** Offset of the entries' clock; advanced after they have stopped. */
	readonly clock: {aheadMs: number};
	/** Current incarnation of each executor. */
	readonly incarnations: Map<string, number>;
};

/** Names of the services and of their pools. */
export const services = ['quote', 'claims'] as const;

/** Token of the customer that sends the load. */
export const callerToken = 'north-caller';

/** Returns the token that a change gives to the probe customer. */
export const getProbeToken = (change: number): string => `probe-${change}`;

const executorsPerPool = 6;

const zones = 3;

const rebootMs = 300;

const longRunShare = 0.05;

/** Share of requests that an executor refuses without running them. */
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

/** Creates the contract of the probe customer after a change. */
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

/** Sets the state of an executor in the platform's list. */
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

const reboot = async (environment: Rebooted, id: string) => {
	const executor = environment.executors.find((each) => each.id === id);
	if (!executor) {
		return;
	}

	environment.recorder.reboots.push({at: now(), instance: id});
	executor.stop(true);
	setListedState(environment, executor, 'leaving');
	await wait(rebootMs);
	await executor.listen();
	environment.incarnations.set(id, (environment.incarnations.get(id) ?? 1) + 1);
	setListedState(environment, executor, 'live');
};

/** Draws a run time; a small share outlasts a step of a wave. */
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

/** Creates the platform and the executors; entries are started later. */
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
	const base = {recorder, executors, list, incarnations};
	for (const executor of executors) {
		setListedState(base, executor, 'live');
	}

	return {
		...base,
		random,
		faults,
		table: platform.faults.wrapTableService(store, faults),
		objects: platform.createMemoryObjectStore(),
		workers: platform.createMemoryWorkers({
			workers: executors.map(({id}) => id),
			now,
			getIncarnation: (id) => `${id}-${incarnations.get(id) ?? 1}`,
			onReboot(id) {
				void reboot(base, id);
			},
		}),
		slots: [],
		started: [],
		changes: {highest: 0},
		clock: {aheadMs: 0},
	};
};

/** Stops the entries and the executors. */
export const closeTestEnvironment = async (
	environment: TestEnvironment,
): Promise<void> => {
	environment.faults.set(platform.faults.noFaults);
	await Promise.all(
		environment.started.map(async ({daemon: each, agent}) => {
			await agent.destroy();
			await each.stop();
		}),
	);
	// Stopped entries keep sending changes to removed peers for a while.
	environment.clock.aheadMs = offersEndAfterMs;
	// A reboot may still be in progress.
	await wait(2 * rebootMs);
	for (const executor of environment.executors) {
		executor.stop(true);
	}
};
