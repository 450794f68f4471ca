/** Jobs sides of daemons on one in-memory platform, for tests. */
import {performance} from 'node:perf_hooks';
import {fleet, scheduler, type teams} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import winston from 'winston';
import type {Logger} from '../log/logger.js';
import type {WaveStatusPort} from './fleet/machine-wave-runner.js';
import {createJobDaemon, type JobDaemon} from './job-daemon.js';
import type {RowFaults} from './rows/row-faults.js';
import type {HeldShard} from './shards/held-shard.js';

export type TestPlatform = {
	readonly store: ports.MemoryRowStore;
	readonly operator: ports.MemoryFeed<ports.OperatorEntry>;
	readonly executorFeed: ports.MemoryFeed<scheduler.ListedExecutor>;
	readonly executors: ports.MemoryExecutors;
	readonly machines: ports.MemoryMachines;
	readonly waveStatus: WaveStatusPort;
	/** The last state written for each wave. */
	readonly waveStates: Map<string, string>;
};

/** Monotonic time of the tests. */
export const now = () => performance.now();

/** A queue `q` of the service `s`, at host `h` and path `/q/`. */
export const testConfiguration: ports.Configuration = {
	version: 1,
	routes: [
		{
			name: 'q',
			host: 'h',
			pathPrefix: '/q/',
			service: 's',
			priority: 0,
			maxAttempts: 2,
			stretch: 2,
			targetLatencyMs: 600,
			timeoutMs: 3000,
			advice: undefined,
		},
	],
	services: [{name: 's', rejectsOverload: false, isStandby: false}],
	maxBodyBytes: 100_000,
};

/** Creates an executor of the service `s`. */
export const createListedExecutor = (id: string): scheduler.ListedExecutor => ({
	id,
	service: 's',
	address: `address of ${id}`,
	availabilityZone: 'a',
	capacity: {cpuMillis: 4000, memoryMb: 4000, accelerators: 0},
	labels: ['r1-1'],
	isDraining: false,
	remainingMs: undefined,
});

/** Creates a platform with the test configuration and these executors. */
export const createTestPlatform = (
	executorIds: readonly string[],
	maxLeaseMs = scheduler.defaultSchedulerConfig.maxLeaseMs,
): TestPlatform => {
	const operator = ports.createMemoryFeed<ports.OperatorEntry>();
	operator.put('configuration', {
		kind: 'configuration',
		value: testConfiguration,
	});
	const executors = ports.createMemoryExecutors(now, maxLeaseMs);
	const executorFeed = ports.createMemoryFeed<scheduler.ListedExecutor>();
	for (const id of executorIds) {
		executors.add(createListedExecutor(id));
		executorFeed.put(id, createListedExecutor(id));
	}

	const waveStates = new Map<string, string>();
	return {
		store: ports.createMemoryRowStore(),
		operator,
		executorFeed,
		executors,
		machines: ports.createMemoryMachines(),
		waveStates,
		waveStatus: {
			async write(wave, state) {
				waveStates.set(wave, state);
				return true;
			},
		},
	};
};

/** Ignores unreadable rows. */
export const noRowFaults: RowFaults = {
	report: () => undefined,
	clear: () => undefined,
	keepOnly: () => undefined,
};

/** Discards log lines. */
export const noLogger = {
	info: () => undefined as never,
	warn: () => undefined as never,
};

/** The shard of the service `s`, held since its first lease. */
export const heldShard: HeldShard = {
	shard: 'service/s',
	token: 1,
	version: 1,
	previous: 'none',
	previousHolder: undefined,
};

const silentLogger: Logger = winston.createLogger({silent: true});

/** Leases short enough to expire during a test. */
const testScheduler: scheduler.SchedulerConfig = {
	...scheduler.defaultSchedulerConfig,
	taskLeaseMs: 1500,
};

export const testKeyPolicy: teams.KeyPolicy = {
	revocationMs: 1500,
	configurationApplyMs: 1200,
};

/** Starts a daemon; it reports its failure to `onFailure`. */
export const startDaemon = async (
	platform: TestPlatform,
	name: string,
	onFailure: (err: Error) => void,
	changes: Partial<
		Pick<
			scheduler.SchedulerConfig,
			'maxLateMs' | 'maxLeaseMs' | 'rejectsUnservableJobs' | 'taskLeaseMs'
		> &
			teams.KeyPolicy
	> = {},
): Promise<JobDaemon> => {
	const daemon = createJobDaemon({
		settings: {
			name,
			peers: {address: '127.0.0.1', port: 0},
			scheduler: {...testScheduler, ...changes},
			pools: fleet.defaultPoolConfig,
			machineTurnoverMs: 50,
			keys: {...testKeyPolicy, ...changes},
		},
		platform,
		clock: {now, epochNow: () => Date.now()},
		random: Math.random,
		logger: silentLogger,
	});
	await daemon.start(onFailure);
	return daemon;
};

/** Waits until `holds` returns true; rejects after `withinMs` milliseconds. */
export const waitUntil = async (
	what: string,
	holds: () => boolean | Promise<boolean>,
	withinMs = 15_000,
): Promise<void> => {
	const until = now() + withinMs;
	while (!(await holds())) {
		if (now() > until) {
			throw new Error(`timed out waiting for ${what}`);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 5);
		});
	}
};

/** Creates the specification of a job of one step. */
export const createJobSpec = (
	changes: Partial<scheduler.StepSpec> = {},
): scheduler.JobSpec => ({
	payload: 'payload',
	steps: [
		{
			count: 1,
			resources: {cpuMillis: 100, memoryMb: 10, accelerators: 0},
			estimateMs: 100,
			after: [],
			canCheckpoint: false,
			isGang: false,
			needsSameRack: false,
			requiredLabel: undefined,
			preferredRack: undefined,
			maxPerExecutor: undefined,
			allowsCopies: false,
			isLongRunning: false,
			image: undefined,
			targetTailMs: undefined,
			fillsIdleCapacity: false,
			mayMiss: undefined,
			...changes,
		},
	],
	schedule: undefined,
});

/** Creates an accepted job of the queue `q`. */
export const createAcceptedJob = (
	id: string,
	spec: scheduler.JobSpec = createJobSpec(),
): scheduler.AcceptedJob => ({
	id,
	policy: {
		queue: 'q',
		priority: 0,
		maxAttempts: 2,
		stretch: 2,
		targetLatencyMs: 600,
		needsAdvice: false,
	},
	spec,
	acceptedAtEpochMs: 1,
});

/** The route of the queue `q`. */
export const [route] = testConfiguration.routes as [ports.QueueRoute];

/** Formats an id of 16 hexadecimal digits. */
export const createId = (number: number): string =>
	number.toString(16).padStart(16, '0');

/** Submits a job with a deadline of two seconds. */
export const submit = async (
	daemon: JobDaemon,
	id: string,
	spec: scheduler.JobSpec = createJobSpec(),
) => daemon.service.submit(route, {id, spec}, now() + 2000);

/** Reads a job's state as a caller; returns the kind of an error instead. */
export const readState = async (
	daemon: JobDaemon,
	id: string,
): Promise<string> => {
	const result = await daemon.service.readState(route, id);
	return result.ok ? result.value : result.error;
};

/** Finishes each task `ms` milliseconds after its start. */
export const finishTasksAfter = (platform: TestPlatform, ms: number): void => {
	platform.executors.onStart = ({executorId, taskId}) => {
		setTimeout(() => {
			platform.executors.finish(executorId, taskId, 'done');
		}, ms);
	};
};
