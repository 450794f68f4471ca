/**
 * Workers, the tasks on them and what is reserved: the state that placement
 * reads. Mutable, since a round changes it thousands of times; only the
 * functions here change it.
 */
import type {Resources, Worker} from '../types/job.js';
import * as resources from './resources.js';

/** A task on a worker. */
export type PlacedTask = {
	readonly job: string;
	readonly customer: string;
	readonly worker: string;
	readonly reserved: Resources;
	readonly urgent: boolean;
	readonly canThrottle: boolean;
	readonly canCheckpoint: boolean;
	readonly startedAt: number;
};

/** One worker and its tasks. */
export type WorkerLoad = {
	readonly worker: Worker;
	readonly tasks: Map<string, PlacedTask>;
	reserved: Resources;
	/** When a task last started here, in milliseconds. */
	lastStartAt: number;
};

/** All workers of the pools that one holder places for. */
export type Cluster = {
	readonly loads: Map<string, WorkerLoad>;
	readonly tasks: Map<string, PlacedTask>;
	/** Reserved by each customer. */
	readonly customers: Map<string, Resources>;
	/** Tasks by customer and rack, and by customer and availability zone. */
	readonly spread: Map<string, number>;
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
				lastStartAt: Number.NEGATIVE_INFINITY,
			},
		]),
	),
	tasks: new Map(),
	customers: new Map(),
	spread: new Map(),
});

/** What is left on a worker. */
export const getRoom = (load: WorkerLoad): Resources =>
	resources.subtractResources(load.worker.capacity, load.reserved);

const listSpreadKeys = (customer: string, worker: Worker): string[] => [
	`${customer} rack ${worker.rack}`,
	`${customer} zone ${worker.availabilityZone}`,
];

/** Tasks of a customer in a worker's rack and availability zone. */
export const countNearby = (
	cluster: Cluster,
	customer: string,
	worker: Worker,
): {rack: number; zone: number} => {
	const [rack = '', zone = ''] = listSpreadKeys(customer, worker);
	return {
		rack: cluster.spread.get(rack) ?? 0,
		zone: cluster.spread.get(zone) ?? 0,
	};
};

const countSpread = (
	cluster: Cluster,
	customer: string,
	worker: Worker,
	change: 1 | -1,
) => {
	for (const key of listSpreadKeys(customer, worker)) {
		const count = (cluster.spread.get(key) ?? 0) + change;
		if (count === 0) {
			cluster.spread.delete(key);
		} else {
			cluster.spread.set(key, count);
		}
	}
};

/** What a customer has reserved in all. */
export const getCustomerUse = (cluster: Cluster, customer: string): Resources =>
	cluster.customers.get(customer) ?? resources.noResources;

/** Puts a task on its worker; a job that is placed already is refused. */
export const addTask = (cluster: Cluster, task: PlacedTask): boolean => {
	const load = cluster.loads.get(task.worker);
	if (!load || cluster.tasks.has(task.job)) {
		return false;
	}

	load.tasks.set(task.job, task);
	load.reserved = resources.addResources(load.reserved, task.reserved);
	load.lastStartAt = Math.max(load.lastStartAt, task.startedAt);
	cluster.tasks.set(task.job, task);
	cluster.customers.set(
		task.customer,
		resources.addResources(
			getCustomerUse(cluster, task.customer),
			task.reserved,
		),
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
	load.reserved = resources.subtractResources(load.reserved, task.reserved);
	cluster.tasks.delete(job);
	cluster.customers.set(
		task.customer,
		resources.subtractResources(
			getCustomerUse(cluster, task.customer),
			task.reserved,
		),
	);
	countSpread(cluster, task.customer, load.worker, -1);
	return task;
};

/** Changes what is reserved for a task, after a new estimate. */
export const updateReserved = (
	cluster: Cluster,
	job: string,
	reserved: Resources,
): void => {
	const task = removeTask(cluster, job);
	if (task) {
		addTask(cluster, {...task, reserved});
	}
};

/** Opens or closes a worker to new tasks; what runs there stays. */
export const updateWorker = (cluster: Cluster, worker: Worker): void => {
	const load = cluster.loads.get(worker.id);
	cluster.loads.set(worker.id, {
		worker,
		tasks: load?.tasks ?? new Map<string, PlacedTask>(),
		reserved: load?.reserved ?? resources.noResources,
		lastStartAt: load?.lastStartAt ?? Number.NEGATIVE_INFINITY,
	});
};
