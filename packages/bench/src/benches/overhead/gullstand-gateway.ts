/** A daemon with one service on the executors of the bench. */
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import type {Contract, Instance, Service} from '@gullstand/core';
import {
	commitChange,
	createDaemon,
	createEmbeddedSettings,
	createLogger,
	hashToken,
	type Settings,
} from '@gullstand/daemon';
import {
	createMemoryInstanceList,
	createMemoryObjectStore,
	createMemoryTableService,
	createMemoryWorkers,
	type JsonValue,
} from '@gullstand/ports';

/** Token of the callers. */
export const benchToken = 'bench-token';

const service: Service = {
	name: 'quoting',
	pool: 'quoting',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503], header: 'gullstand-refused'},
};

const contract: Contract = {
	customer: 'bench',
	weight: 1,
	tokenHashes: [hashToken(benchToken)],
	services: [
		{
			service: 'quoting',
			keepExecutors: 1,
			maxAway: 1,
			answerWithinMs: 5000,
			requestsPerSecond: 100_000,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const createInstance = (port: number): Instance => ({
	id: `executor-${port}`,
	kind: 'executor',
	address: `127.0.0.1:${port}`,
	region: 'local',
	availabilityZone: 'zone-1',
	rack: 'rack-1',
	pool: 'quoting',
	epoch: 1,
	state: 'serving',
});

/** Starts a daemon whose store has the given executors. */
export const startGullstandGateway = async (
	upstreamPorts: readonly number[],
	limits: Partial<Settings['caller']> = {},
) => {
	const now = () => performance.now();
	const table = createMemoryTableService();
	const instances = upstreamPorts.map((port) => createInstance(port));
	const rows = [
		{table: 'service', key: service.name, value: service},
		{table: 'contract', key: contract.customer, value: contract},
		...instances.map(
			(value) => ({table: 'instance', key: value.id, value}) as const,
		),
	] as const;
	await commitChange(
		table,
		rows.map((row) => ({
			...row,
			value: row.value as JsonValue,
			when: {kind: 'absent'},
		})),
		'bench',
	);
	const base = createEmbeddedSettings(0, 0, 'warn');
	const settings = {...base, caller: {...base.caller, ...limits}};
	const daemon = createDaemon({
		settings,
		platform: {
			table,
			objects: createMemoryObjectStore(),
			list: createMemoryInstanceList(),
			workers: createMemoryWorkers({workers: [], now}),
		},
		logger: createLogger(settings.log, 'bench', new PassThrough().resume()),
		now,
	});
	await daemon.start((err) => {
		throw err;
	});
	return {port: daemon.getCallerPort(), stop: daemon.stop};
};
