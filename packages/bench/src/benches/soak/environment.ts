/** The stand-ins and the daemons of a soak. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	createExecutor,
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
	readonly machines: MachineList;
	readonly queues: Queue[];
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
	const store = createStore({
		host,
		note,
		now,
		random,
	});
	const gangs = createGangs();
	const operator = createOperator(store, note, sizes.services);
	const executors = sizes.services.flatMap(
		({name, executors: count, guardsCapacity}) =>
			Array.from({length: count}, (_, index) =>
				createExecutor({
					id: `i-${name}-${index}`,
					service: name,
					host,
					rack: `r-${Math.floor(index / 4)}`,
					cpu: sizes.cpu,
					memMb: sizes.memMb,
					guardsCapacity,
					clockRate: 0.98 + 0.02 * random(),
					store,
					gangs,
					note,
					now,
					getLateMs: () => 1000 + drawBelow(random, 5000),
					reachesStore: () => environment.reachesStore,
				}),
			),
	);
	const machines = await startMachineList({
		host,
		store,
		note,
		pools: sizes.services.map(({name}) => name),
		listExecutors: () => executors,
	});
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

	const environment: SoakEnvironment = {
		store,
		operator,
		daemons,
		executors,
		machines,
		queues: createQueues(sizes),
		reachesStore: true,
		async start() {
			operator.configure(environment.queues);
			await Promise.all(executors.map(async (each) => each.open()));
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
			store.close();
		},
	};
	return environment;
};
