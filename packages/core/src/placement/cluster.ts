/**
 * State that placement reads: workers, their tasks and reserved resources.
 * Mutable, since one round changes it thousands of times; only the functions of
 * this file change it.
 */
import type {Resources, Worker} from '../types/job.js';
import * as resources from './resources.js';
import type {UsageEstimate} from './usage-estimate.js';

/** A task on a worker. */
export type PlacedTask = {
	readonly job: string;
	readonly customer: string;
	readonly worker: string;
	/** Expected usage and its deviation. */
	readonly estimate: UsageEstimate;
	readonly urgent: boolean;
	readonly canThrottle: boolean;
	readonly canCheckpoint: boolean;
	/** Start of the task, in milliseconds. */
	readonly startedAt: number;
};

/** One worker and its tasks. */
export type WorkerLoad = {
	readonly worker: Worker;
	readonly tasks: Map<string, PlacedTask>;
	/** Sum of the expected usage of the tasks. */
	reserved: Resources;
	/** Sum of the squared deviations of the tasks. */
	variance: Resources;
	/** Time of the latest start of a task on this worker, in milliseconds. */
	lastStartAt: number;
};

/** Workers of all pools that one shard holder schedules. */
export type Cluster = {
	readonly loads: Map<string, WorkerLoad>;
	readonly tasks: Map<string, PlacedTask>;
	/** Resources reserved, by customer. */
	readonly customers: Map<string, Resources>;
	/**
	 * Number of tasks, by the keys of `listSpreadKeys`: customer and rack,
	 * customer and availability zone, and customer.
	 */
	readonly taskCounts: Map<string, number>;
};

/** Creates a cluster without tasks. */
export const createCluster = (workers: readonly Worker[]): Cluster => ({
	loads: new Map(
		workers.map((worker) => [
			worker.id,
			{
				worker,
				tasks: new Map(),
				reserved: resources.noResources,
				variance: resources.noResources,
				lastStartAt: Number.NEGATIVE_INFINITY,
			},
		]),
	),
	tasks: new Map(),
	customers: new Map(),
	taskCounts: new Map(),
});

/**
 * Safety margin per worker, in deviations of the summed usage. Tasks can share
 * cores for a while, but a lack of memory kills a task, so the margins differ.
 * Applied to the sum and not per task, since errors of many tasks cancel out.
 */
export type SafetyMargin = {
	readonly cores: number;
	readonly memoryMb: number;
};

/** Default margin. */
export const defaultSafetyMargin: SafetyMargin = {cores: 0.5, memoryMb: 2.5};

/**
 * Resources that a worker needs for its tasks and one more, including the
 * margin.
 */
export const getRequiredResources = (
	load: WorkerLoad,
	{mean, deviation}: UsageEstimate,
	margin: SafetyMargin = defaultSafetyMargin,
): Resources => {
	const getRequired = (resource: 'cores' | 'memoryMb') =>
		load.reserved[resource] +
		mean[resource] +
		margin[resource] *
			Math.sqrt(
				Math.max(0, load.variance[resource]) + deviation[resource] ** 2,
			);
	return {
		cores: getRequired('cores'),
		memoryMb: getRequired('memoryMb'),
		accelerators: load.reserved.accelerators + mean.accelerators,
	};
};

/**
 * Whether one more task might fit without a margin; a cheap check before
 * `hasRoom`.
 */
export const mayHaveRoom = (
	load: WorkerLoad,
	{mean}: UsageEstimate,
): boolean => {
	const {capacity} = load.worker;
	return (
		load.reserved.cores + mean.cores <= capacity.cores &&
		load.reserved.memoryMb + mean.memoryMb <= capacity.memoryMb
	);
};

/** Whether one more task fits on a worker, including the margin. */
export const hasRoom = (
	load: WorkerLoad,
	estimate: UsageEstimate,
	margin?: SafetyMargin,
): boolean =>
	resources.fitsInto(
		getRequiredResources(load, estimate, margin),
		load.worker.capacity,
	);

const square = ({cores, memoryMb}: Resources): Resources => ({
	cores: cores * cores,
	memoryMb: memoryMb * memoryMb,
	accelerators: 0,
});

const listSpreadKeys = (customer: string, worker: Worker): string[] => [
	`${customer} rack ${worker.rack}`,
	`${customer} zone ${worker.availabilityZone}`,
	`${customer} all`,
];

/**
 * Number of tasks of a customer in the rack and availability zone of a worker
 * and in the whole cluster.
 */
export const countCustomerTasks = (
	cluster: Cluster,
	customer: string,
	worker: Worker,
): {rack: number; zone: number; all: number} => {
	const [rack = '', zone = '', all = ''] = listSpreadKeys(customer, worker);
	return {
		rack: cluster.taskCounts.get(rack) ?? 0,
		zone: cluster.taskCounts.get(zone) ?? 0,
		all: cluster.taskCounts.get(all) ?? 0,
	};
};

const updateTaskCounts = (
	cluster: Cluster,
	customer: string,
	worker: Worker,
	change: 1 | -1,
) => {
	for (const key of listSpreadKeys(customer, worker)) {
		const count = (cluster.taskCounts.get(key) ?? 0) + change;
		if (count === 0) {
			cluster.taskCounts.delete(key);
		} else {
			cluster.taskCounts.set(key, count);
		}
	}
};

/** Resources reserved by all tasks of a customer. */
export const getCustomerUsage = (
	cluster: Cluster,
	customer: string,
): Resources => cluster.customers.get(customer) ?? resources.noResources;

/**
 * Adds a task to its worker; false if the worker is unknown or the job already
 * has a task.
 */
export const addTask = (cluster: Cluster, task: PlacedTask): boolean => {
	const load = cluster.loads.get(task.worker);
	if (!load || cluster.tasks.has(task.job)) {
		return false;
	}

	load.tasks.set(task.job, task);
	const {mean, deviation} = task.estimate;
	load.reserved = resources.addResources(load.reserved, mean);
	load.variance = resources.addResources(load.variance, square(deviation));
	load.lastStartAt = Math.max(load.lastStartAt, task.startedAt);
	cluster.tasks.set(task.job, task);
	cluster.customers.set(
		task.customer,
		resources.addResources(getCustomerUsage(cluster, task.customer), mean),
	);
	updateTaskCounts(cluster, task.customer, load.worker, 1);
	return true;
};

/** Removes the task of a job; undefined if it has none. */
export const removeTask = (
	cluster: Cluster,
	job: string,
): PlacedTask | undefined => {
	const task = cluster.tasks.get(job);
	const load = task && cluster.loads.get(task.worker);
	if (!task || !load) {
		return undefined;
	}

	load.tasks.delete(job);
	const {mean, deviation} = task.estimate;
	load.reserved = resources.subtractResources(load.reserved, mean);
	load.variance = resources.subtractResources(load.variance, square(deviation));
	cluster.tasks.delete(job);
	cluster.customers.set(
		task.customer,
		resources.subtractResources(getCustomerUsage(cluster, task.customer), mean),
	);
	updateTaskCounts(cluster, task.customer, load.worker, -1);
	return task;
};

/** Replaces the usage estimate of a task. */
export const updateEstimate = (
	cluster: Cluster,
	job: string,
	estimate: UsageEstimate,
): void => {
	const task = removeTask(cluster, job);
	if (task) {
		addTask(cluster, {...task, estimate});
	}
};

/** Updates the description of a worker or adds the worker; its tasks stay. */
export const updateWorker = (cluster: Cluster, worker: Worker): void => {
	const load = cluster.loads.get(worker.id);
	cluster.loads.set(worker.id, {
		worker,
		tasks: load?.tasks ?? new Map<string, PlacedTask>(),
		reserved: load?.reserved ?? resources.noResources,
		variance: load?.variance ?? resources.noResources,
		lastStartAt: load?.lastStartAt ?? Number.NEGATIVE_INFINITY,
	});
};
