/** State of one run: running and pending jobs, and counts. */
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

/** A running job. */
export type Running = {
	readonly job: TraceJob;
	readonly startedAt: number;
	/** Number of this run; identifies the end events of earlier runs. */
	readonly run: number;
	worker: string;
};

/** Counts of one run. */
export type Counts = {
	/** Unused core-hours on workers with tasks. */
	bufferCoreHours: number;
	usedCoreHours: number;
	/** Core-hours that tasks demanded beyond the capacity. */
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

/** State of one run. */
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
	/** Time of the last start of a job, by customer. */
	readonly lastStarts: Map<string, number>;
	readonly starved: Set<string>;
	readonly quota: Resources;
	readonly quotas: core.placement.Quotas;
	readonly counts: Counts;
	observed: core.placement.LoadObservations;
	runs: number;
};

/** Quota of a customer relative to an equal share. */
const quotaFactor = 3;

const getQuota = ({workers, capacity, customers}: Deployment): Resources => ({
	cores: ((workers * capacity.cores) / customers) * quotaFactor,
	memoryMb: Number.MAX_SAFE_INTEGER,
	accelerators: 0,
});

/** Creates a simulation without jobs. */
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

/** Returns the usage of a job, which grows during its warm-up. */
export const getUse = ({job, startedAt}: Running, now: number): Resources => {
	const share = Math.min(1, 0.2 + (0.8 * (now - startedAt)) / warmUpMs);
	return {
		cores: job.used.cores * share,
		memoryMb: job.used.memoryMb * share,
		accelerators: 0,
	};
};

/** Limits an estimate to the capacity of a worker. */
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

/** Estimates the usage of a job by the policy. */
export const estimate = (simulation: Simulation, job: TraceJob) =>
	limitToWorker(
		simulation.policy.estimate(
			job,
			simulation.histories.get(job.id),
			simulation.usageModels.get(job.customer),
		),
		simulation.deployment,
	);

/** Removes a job from its worker. */
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
