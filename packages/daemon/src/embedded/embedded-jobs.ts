/**
 * Job daemon of an embedded daemon with an in-memory platform, whose executors
 * finish every task after `taskMs`.
 */
import {fleet, scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import {hashKey} from '../jobs/entry/caller-access.js';
import {createJobDaemon, type JobDaemon} from '../jobs/job-daemon.js';
import type {Logger} from '../log/logger.js';

/** Name of the queue of an embedded daemon. */
export const embeddedQueue = 'rating';

const service = 'rating';

const executorIds = ['rating-1', 'rating-2', 'rating-3'] as const;

/** Run time of every task, in milliseconds. */
const taskMs = 100;

const configuration: ports.Configuration = {
	version: 1,
	routes: [
		{
			name: embeddedQueue,
			host: 'embedded',
			pathPrefix: '/rating/',
			service,
			priority: 0,
			maxAttempts: 2,
			stretch: 2,
			targetLatencyMs: 1000,
			timeoutMs: 3000,
			advice: undefined,
			isPublic: true,
		},
	],
	services: [{name: service, rejectsOverload: false, isStandby: false}],
	maxBodyBytes: 262_144,
	teams: [
		{
			name: 'brokers',
			keyHashes: [hashKey('demo-team-key')],
			weight: 10,
			cap: {cpuMillis: 8000, memoryMb: 0, accelerators: 0},
		},
	],
};

const createListed = (id: string, index: number): scheduler.ListedExecutor => ({
	id,
	service,
	address: id,
	availabilityZone: `zone-${index + 1}`,
	capacity: {cpuMillis: 4000, memoryMb: 8192, accelerators: 0},
	labels: [`r1-${index + 1}`],
	isDraining: false,
	remainingMs: undefined,
});

const createPlatform = (now: () => number) => {
	const operator = ports.createMemoryFeed<ports.OperatorEntry>();
	operator.put('configuration', {kind: 'configuration', value: configuration});
	const executors = ports.createMemoryExecutors(now);
	const executorFeed = ports.createMemoryFeed<scheduler.ListedExecutor>();
	for (const [index, id] of executorIds.entries()) {
		const listed = createListed(id, index);
		executors.add(listed);
		executorFeed.put(id, listed);
	}

	return {
		store: ports.createMemoryRowStore(),
		operator,
		executorFeed,
		executors,
		machines: ports.createMemoryMachines(),
		waveStatus: {write: async () => true},
	};
};

/** Creates the job daemon. */
export const createEmbeddedJobs = (
	now: () => number,
	logger: Logger,
): JobDaemon => {
	const platform = createPlatform(now);
	platform.executors.onStart = ({executorId, taskId}) => {
		setTimeout(() => {
			platform.executors.finish(executorId, taskId, 'done');
		}, taskMs);
	};

	return createJobDaemon({
		settings: {
			name: 'embedded',
			peers: {address: '127.0.0.1', port: 0},
			scheduler: scheduler.defaultSchedulerConfig,
			pools: fleet.defaultPoolConfig,
			machineTurnoverMs: 0,
			keys: {revocationMs: undefined, configurationApplyMs: 2000},
		},
		platform,
		clock: {now, epochNow: () => Date.now()},
		random: Math.random,
		logger,
	});
};
