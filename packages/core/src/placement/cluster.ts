/**
 * Workers, the tasks on them and what is reserved: the state that placement
 * reads. Mutable, since a round changes it thousands of times; only the
 * functions here change it.
 */
import type {Resources, Worker} from '../types/job.js';
import * as resources from './resources.js';
import type {UsageEstimate} from './usage-estimate.js';

/** A task on a worker. */
export type PlacedTask = {
	readonly job: string;
	readonly customer: string;
	readonly worker: string;
	/** Expected use, and how far off that may be. */
	readonly estimate: UsageEstimate;
	readonly urgent: boolean;
	readonly canThrottle: boolean;
	readonly canCheckpoint: boolean;
	readonly startedAt: number;
};

/** One worker and its tasks. */
export type WorkerLoad = {
	readonly worker: Worker;
	readonly tasks: Map<string, PlacedTask>;
	/** Sum of what the tasks are expected to use. */
	reserved: Resources;
	/** Sum of the squares of the deviations. */
	variance: Resources;
	/** When a task last started here, in milliseconds. */
	lastStartAt: number;
};

/** All workers of the pools that one holder places for. */
export type Cluster = {
	readonly loads: Map<string, WorkerLoad>;
	readonly tasks: Map<string, PlacedTask>;
	/** Reserved by each customer. */
	readonly customers: Map<string, Resources>;
	/** Tasks by customer and rack, availability zone, and in all. */
	readonly taskCounts: Map<string, number>;
};

/** Creates a cluster with no tasks. */
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
 * Deviations of the sum that are kept free on a worker. Cores can be shared
 * for a while; memory that runs out kills a task. Kept for the sum and not
 * for each task: errors of many tasks cancel out.
 */
export type SafetyMargin = {
	readonly cores: number;
	readonly memoryMb: number;
};

/** Margin in force when none is given. */
export const defaultSafetyMargin: SafetyMargin = {cores: 0.5, memoryMb: 2.5};

/** What a worker needs for its tasks and one more, with the margin. */
export const getRequiredResources = (
	load: WorkerLoad,
	{mean, deviation}: UsageEstimate,
	margin: SafetyMargin = defaultSafetyMargin,
): Resources => {
	const getOne = (resource: 'cores' | 'memoryMb') =>
		load.reserved[resource] +
		mean[resource] +
		margin[resource] *
			Math.sqrt(
				Math.max(0, load.variance[resource]) + deviation[resource] ** 2,
			);
	return {
		cores: getOne('cores'),
		memoryMb: getOne('memoryMb'),
		accelerators: load.reserved.accelerators + mean.accelerators,
	};
};

/** Whether one more task could fit without any margin; cheap. */
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

/** Whether one more task fits on a worker, with the margin. */
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

/** Tasks of a customer in a worker's rack, in its zone and in all. */
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

const countSpread = (
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

/** What a customer has reserved in all. */
export const getCustomerUsage = (
	cluster: Cluster,
	customer: string,
): Resources => cluster.customers.get(customer) ?? resources.noResources;

/** Puts a task on its worker; a job that is placed already is refused. */
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
	countSpread(cluster, task.customer, load.worker, 1);
	return true;
};

/** Takes a task off; undefined if the job has none. */
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
	countSpread(cluster, task.customer, load.worker, -1);
	return task;
};

/** Changes what is expected of a task. */
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

/** Opens or closes a worker to new tasks; what runs there stays. */
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
