/** The stand-ins and the daemons of a soak. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	createAdviceService,
	createGangs,
	createOperator,
	createStore,
	startMachineList,
	type Executor,
	type MachineList,
	type Operator,
	type Queue,
	type Store,
} from '@gullstand/users-platform/stand-ins';
import {createRandom, drawBelow} from '../../frame/random.js';
import {createFleet, standbyPool, type Fleet} from './fleet.js';
import {
	createDaemon,
	findAddresses,
	toAddressFields,
	waitUntil,
	type Daemon,
} from './daemons.js';
import type {Recorder} from './record.js';
import type {SoakSizes} from './sizes.js';

export type SoakEnvironment = {
	readonly store: Store;
	readonly operator: Operator;
	readonly daemons: readonly Daemon[];
	readonly executors: readonly Executor[];
	readonly fleet: Fleet;
	readonly machines: MachineList;
	readonly queues: Queue[];
	/** A queue that needs placement advice; it never moves. */
	readonly adviceQueue: Queue;
	/** Configures these queues, and the one that needs advice. */
	readonly configure: (queues: readonly Queue[]) => void;
	/** Whether executors reach the store. */
	reachesStore: boolean;
	readonly start: () => Promise<boolean>;
	readonly stop: () => Promise<void>;
};

const host = '127.0.0.1';

const startMaxMs = 30_000;

/** Root of the repository, above the compiled file. */
export const root = path.resolve(
	path.dirname(fileURLToPath(import.meta.url)),
	'../../../../..',
);

/** How long the advice service takes. */
const adviceTimes = {decisionMs: 120, eachMs: 5, validMs: 3000} as const;

/** Two queues for each service. */
const createQueues = ({services}: SoakSizes): Queue[] =>
	services.flatMap(({name}) => [
		{pathPrefix: `/${name}-a/`, service: name},
		{pathPrefix: `/${name}-b/`, service: name, priority: 1},
	]);

export const createEnvironment = async (
	sizes: SoakSizes,
	seed: number,
	folder: string,
	recorder: Recorder,
): Promise<SoakEnvironment> => {
	const {note, now} = recorder;
	const random = createRandom(seed);
	const lateRandom = createRandom(seed + 2);
	// Apart from the others, so that these stay as they are.
	const clockRandom = createRandom(seed + 1);
	const store = createStore({
		host,
		note,
		now,
		random,
	});
	const gangs = createGangs();
	const operator = createOperator(store, note, [
		...sizes.services.map((each) => ({...each, isStandby: false})),
		{name: standbyPool, guardsCapacity: false, isStandby: true},
	]);
	const fleet = createFleet({
		sizes,
		hasBorn: (service) =>
			seed % 2 === 0 ||
			(sizes.recuts > 0 && service === sizes.services[0]?.name),
		drawClockRate: () => 0.98 + 0.02 * random(),
		common: {
			host,
			cpu: sizes.cpu,
			memMb: sizes.memMb,
			guardsCapacity: (service) =>
				sizes.services.some(
					({name, guardsCapacity}) => name === service && guardsCapacity,
				),
			standbyPool,
			store,
			gangs,
			note,
			now,
			getClockStartMs: () => drawBelow(clockRandom, 10_000_000),
			getLateMs: () => 2000 + drawBelow(lateRandom, 10_000),
			reachesStore: () => environment.reachesStore,
		},
	});
	const {executors} = fleet;
	const machines = await startMachineList({
		host,
		store,
		note,
		pools: [...sizes.services.map(({name}) => name), standbyPool],
		listExecutors: () => fleet.listShown(),
	});
	const advice = createAdviceService(host, adviceTimes, note);
	const addresses = await findAddresses(sizes.daemons);
	const daemons: Daemon[] = [];
	for (const [index, ip] of addresses.entries()) {
		const name = `front-${index + 1}`;
		const listener = await store.listen(name);
		daemons.push(
			createDaemon({
				root,
				folder,
				recorder,
				addresses: {
					name,
					ip,
					...toAddressFields(),
					storeAddress: listener.address,
					machinesAddress: machines.address,
					adviceAddress: await advice.listen(name),
					memoryMb: 350,
				},
			}),
		);
	}

	const areReady = async () => {
		const ready = await Promise.all(
			daemons.map(async (each) => each.isReady()),
		);
		return ready.every(Boolean);
	};

	const service = sizes.services[0]!.name;
	const adviceQueue = {
		pathPrefix: `/${service}-advice/`,
		service,
		advice: adviceTimes,
	};

	const configure = (queues: readonly Queue[]) => {
		operator.configure([...queues, adviceQueue]);
	};

	const environment: SoakEnvironment = {
		store,
		operator,
		daemons,
		executors,
		fleet,
		machines,
		queues: createQueues(sizes),
		adviceQueue,
		configure,
		reachesStore: true,
		async start() {
			configure(environment.queues);
			await Promise.all(
				executors
					.filter((each) => !each.isOff())
					.map(async (each) => each.open()),
			);
			for (const each of daemons) {
				each.start();
			}

			return waitUntil(areReady, startMaxMs);
		},
		async stop() {
			await Promise.all(daemons.map(async (each) => each.kill()));
			for (const each of executors) {
				each.close();
			}

			machines.close();
			advice.close();
			store.close();
		},
	};
	return environment;
};
