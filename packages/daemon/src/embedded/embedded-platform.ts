/**
 * An in-memory platform with two small services, for `gullstandd --embedded`,
 * the demo and tests.
 */
import {randomUUID} from 'node:crypto';
import type {Contract, Instance, Service} from '@gullstand/core';
import {
	createMemoryInstanceList,
	createMemoryObjectStore,
	createMemoryTableService,
	createMemoryWorkers,
	type JsonValue,
	type ListedInstance,
} from '@gullstand/ports';
import {hashToken} from '../caller/parse-call.js';
import type {Platform} from '../daemon.js';
import {commitChange, type ViewChange} from '../view/commit-change.js';
import {
	startEmbeddedExecutor,
	type EmbeddedExecutor,
} from './embedded-upstream.js';

/** An embedded platform with its close function. */
export type EmbeddedPlatform = {
	readonly platform: Platform;
	readonly close: () => Promise<void>;
};

/** Token of the customer `demo` of an embedded daemon. */
export const embeddedCallerToken = 'demo-caller-token';

const services: readonly Service[] = [
	{
		name: 'quoting',
		pool: 'quoting',
		slotsPerExecutor: 8,
		connectionsPerExecutor: 64,
		idempotent: true,
		nonRepeatableRoutes: [],
		refusal: {statuses: [503], header: 'gullstand-refused'},
	},
	{
		name: 'claims',
		pool: 'claims',
		slotsPerExecutor: 8,
		connectionsPerExecutor: 64,
		idempotent: true,
		nonRepeatableRoutes: ['/intake'],
		refusal: {statuses: [503], header: 'gullstand-refused'},
	},
];

const executorsPerService = 3;

const demoContract: Contract = {
	customer: 'demo',
	weight: 1,
	tokenHashes: [hashToken(embeddedCallerToken)],
	services: services.map(({name}) => ({
		service: name,
		keepExecutors: 2,
		maxAway: 1,
		answerWithinMs: 1000,
		requestsPerSecond: 500,
	})),
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const createInstance = (
	executor: EmbeddedExecutor,
	pool: string,
	index: number,
): Instance => ({
	id: executor.id,
	kind: 'executor',
	address: executor.getAddress(),
	region: 'local',
	availabilityZone: `zone-${(index % 3) + 1}`,
	rack: `rack-${index + 1}`,
	pool,
	epoch: 1,
	state: 'serving',
});

const createListed = (
	instance: Instance,
	state: ListedInstance['state'],
): ListedInstance => ({
	id: instance.id,
	role: 'executor',
	address: instance.address,
	availabilityZone: instance.availabilityZone,
	state,
	incarnation: randomUUID(),
});

const put = (
	table: ViewChange['table'],
	key: string,
	value: unknown,
): ViewChange => ({
	table,
	key,
	value: value as JsonValue,
	when: {kind: 'absent'},
});

/** Starts the executors and writes services, instances and a contract. */
export const startEmbeddedPlatform = async (
	now: () => number,
): Promise<EmbeddedPlatform> => {
	const table = createMemoryTableService();
	const list = createMemoryInstanceList();
	const executors = new Map<string, EmbeddedExecutor>();
	const instances: Instance[] = [];
	for (const {pool} of services) {
		for (let index = 0; index < executorsPerService; index += 1) {
			const executor = await startEmbeddedExecutor(`${pool}-${index + 1}`);
			const instance = createInstance(executor, pool, index);
			executors.set(executor.id, executor);
			instances.push(instance);
			list.set(createListed(instance, 'live'));
		}
	}

	const incarnations = new Map<string, string>();
	const setListed = (listed: ListedInstance) => {
		incarnations.set(listed.id, listed.incarnation);
		list.set(listed);
	};

	const reboot = async (id: string) => {
		const instance = instances.find((each) => each.id === id);
		const executor = executors.get(id);
		if (!instance || !executor) {
			return;
		}

		setListed(createListed(instance, 'leaving'));
		await executor.reboot();
		setListed(createListed(instance, 'live'));
	};

	const workers = createMemoryWorkers({
		workers: [...executors.keys()],
		now,
		getIncarnation: (id) => incarnations.get(id),
		onReboot(id) {
			void reboot(id);
		},
	});
	await commitChange(
		table,
		[
			...services.map((each) => put('service', each.name, each)),
			...instances.map((each) => put('instance', each.id, each)),
			put('contract', demoContract.customer, demoContract),
		],
		randomUUID(),
	);
	return {
		platform: {table, list, workers, objects: createMemoryObjectStore()},
		async close() {
			await Promise.all(
				[...executors.values()].map(async (each) => each.close()),
			);
		},
	};
};
