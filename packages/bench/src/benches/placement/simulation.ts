/** The state of one run: what runs where, what waits, what was counted. */
import * as core from '@gullstand/core';
import type {Resources} from '@gullstand/core';
import {createEventQueue, type EventQueue} from '../wave/event-queue.js';
import type {Policy} from './policies.js';
import {
	createWorkers,
	warmUpMs,
	type Deployment,
	type TraceJob,
} from './trace.js';

const {placement} = core;

/** A job that runs. */
export type Running = {
	readonly job: TraceJob;
	readonly startedAt: number;
	/** Tells an end of this run from the end of an earlier one. */
	readonly run: number;
	worker: string;
};

/** What a run counts. */
export type Counts = {
	/** Core-hours on workers with tasks that no task used. */
	bufferCoreHours: number;
	usedCoreHours: number;
	/** Core-hours of the work that tasks wanted and did not get. */
	overcommittedCoreHours: number;
	moves: number;
	evictions: number;
	urgentInTime: number;
	urgentJobs: number;
	started: number;
	finished: number;
	maxWaitHours: number;
	/** Largest share of a customer's tasks (of 6 or more) in one rack. */
	maxRackShare: number;
};

/** One run under way. */
export type Simulation = {
	readonly deployment: Deployment;
	readonly policy: Policy;
	readonly cluster: core.placement.Cluster;
	readonly queue: EventQueue;
	readonly running: Map<string, Running>;
	readonly throttled: Set<string>;
	readonly pending: Map<string, TraceJob>;
	readonly histories: Map<string, core.placement.UsageHistory>;
	readonly usageModels: Map<string, core.placement.CustomerUsageModel>;
	/** When a job of each customer last started. */
	readonly lastStarts: Map<string, number>;
	readonly starved: Set<string>;
	readonly quota: Resources;
	readonly quotas: core.placement.Quotas;
	readonly counts: Counts;
	observed: core.placement.LoadObservations;
	runs: number;
};

/** A customer may use three times its even share. */
const quotaFactor = 3;

const getQuota = ({workers, capacity, customers}: Deployment): Resources => ({
	cores: ((workers * capacity.cores) / customers) * quotaFactor,
	memoryMb: Number.MAX_SAFE_INTEGER,
	accelerators: 0,
});

/** A simulation in which nothing runs yet. */
export const createSimulation = (
	deployment: Deployment,
	policy: Policy,
): Simulation => {
	const quota = getQuota(deployment);
	const customers = Array.from(
		{length: deployment.customers},
		(_, index) => `c${index}`,
	);
	return {
		deployment,
		policy,
		cluster: placement.createCluster(createWorkers(deployment)),
		queue: createEventQueue(),
		running: new Map(),
		throttled: new Set(),
		pending: new Map(),
		histories: new Map(),
		usageModels: new Map(),
		lastStarts: new Map(),
		starved: new Set(),
		quota,
		quotas: new Map(customers.map((customer) => [customer, quota])),
		counts: {
			bufferCoreHours: 0,
			usedCoreHours: 0,
			overcommittedCoreHours: 0,
			moves: 0,
			evictions: 0,
			urgentInTime: 0,
			urgentJobs: 0,
			started: 0,
			finished: 0,
			maxWaitHours: 0,
			maxRackShare: 0,
		},
		observed: new Map(),
		runs: 0,
	};
};

/** What a job uses at a time; it warms up. */
export const getUse = ({job, startedAt}: Running, now: number): Resources => {
	const share = Math.min(1, 0.2 + (0.8 * (now - startedAt)) / warmUpMs);
	return {
		cores: job.used.cores * share,
		memoryMb: job.used.memoryMb * share,
		accelerators: 0,
	};
};

/** No declaration, however wild, is taken for more than a worker. */
const limitToWorker = (
	{mean, deviation}: core.placement.UsageEstimate,
	{capacity}: Deployment,
): core.placement.UsageEstimate => {
	const limited = {
		cores: Math.min(mean.cores, capacity.cores),
		memoryMb: Math.min(mean.memoryMb, capacity.memoryMb),
		accelerators: mean.accelerators,
	};
	const room = placement.subtractResources(capacity, limited);
	return {
		mean: limited,
		deviation: {
			cores: Math.min(deviation.cores, room.cores),
			memoryMb: Math.min(deviation.memoryMb, room.memoryMb / 3),
			accelerators: 0,
		},
	};
};

/** What the run's way expects of a job now. */
export const estimate = (simulation: Simulation, job: TraceJob) =>
	limitToWorker(
		simulation.policy.estimate(
			job,
			simulation.histories.get(job.id),
			simulation.usageModels.get(job.customer),
		),
		simulation.deployment,
	);

/** Takes a job off its worker. */
export const stop = (
	simulation: Simulation,
	id: string,
): Running | undefined => {
	const task = simulation.running.get(id);
	simulation.running.delete(id);
	simulation.throttled.delete(id);
	placement.removeTask(simulation.cluster, id);
	return task;
};
