/** Periodic reports: updates estimates, moves jobs and counts figures. */
import * as core from '@gullstand/core';
import {placePending, relocate} from './placing.js';
import {estimate, getUse, stop, type Simulation} from './simulation.js';

const {placement} = core;

/** Time between two reports, in milliseconds. */
export const reportEveryMs = 60_000;

const reportLagMs = 90_000;

const hourMs = 3_600_000;

const starvedMs = hourMs;

const minTasksForSpread = 6;

/** Evicts the youngest jobs of workers that exceed their memory. */
const evictOverMemory = (simulation: Simulation, now: number) => {
	for (const load of simulation.cluster.loads.values()) {
		const tasks = [...load.tasks.keys()]
			.map((id) => simulation.running.get(id))
			.filter((task) => task !== undefined)
			.toSorted((a, b) => b.startedAt - a.startedAt);
		let memoryMb = tasks.reduce(
			(sum, task) => sum + getUse(task, now).memoryMb,
			0,
		);
		for (const task of tasks) {
			if (memoryMb <= load.worker.capacity.memoryMb) {
				break;
			}

			memoryMb -= getUse(task, now).memoryMb;
			stop(simulation, task.job.id);
			simulation.pending.set(task.job.id, task.job);
			simulation.counts.evictions += 1;
		}
	}
};

const countUsage = ({cluster, running, counts}: Simulation, now: number) => {
	const hours = reportEveryMs / hourMs;
	for (const load of cluster.loads.values()) {
		if (load.tasks.size === 0) {
			continue;
		}

		let wanted = 0;
		for (const id of load.tasks.keys()) {
			const task = running.get(id);
			wanted += task ? getUse(task, now).cores : 0;
		}

		const {cores} = load.worker.capacity;
		const used = Math.min(cores, wanted);
		counts.bufferCoreHours += (cores - used) * hours;
		counts.usedCoreHours += used * hours;
		counts.overcommittedCoreHours += Math.max(0, wanted - cores) * hours;
	}
};

const updateEstimates = (simulation: Simulation, now: number) => {
	const {running, histories, throttled, cluster} = simulation;
	for (const task of running.values()) {
		const measuredAt = now - reportLagMs;
		if (measuredAt < task.startedAt) {
			continue;
		}

		const {id} = task.job;
		const use = getUse(task, measuredAt);
		const history = placement.addSample(histories.get(id), {
			...use,
			measuredAt,
		});
		histories.set(id, history);
		if (!throttled.has(id)) {
			placement.updateEstimate(cluster, id, estimate(simulation, task.job));
		}
	}
};

/** Records customers without a start for an hour while a job waits. */
const recordStarved = (simulation: Simulation, now: number) => {
	const {pending, cluster, quota, lastStarts, starved} = simulation;
	for (const job of pending.values()) {
		const used = placement.getCustomerUsage(cluster, job.customer);
		const need = placement.addResources(used, estimate(simulation, job).mean);
		const since = Math.max(job.submittedAt, lastStarts.get(job.customer) ?? 0);
		if (placement.fitsInto(need, quota) && now - since > starvedMs) {
			starved.add(job.customer);
		}
	}
};

const recordSpread = ({cluster, counts}: Simulation) => {
	for (const [key, count] of cluster.taskCounts) {
		const [customer = '', kind] = key.split(' ');
		const tasks = cluster.taskCounts.get(`${customer} all`) ?? 0;
		if (kind === 'rack' && tasks >= minTasksForSpread) {
			counts.maxRackShare = Math.max(counts.maxRackShare, count / tasks);
		}
	}
};

/** Processes one report of all workers. */
export const report = (simulation: Simulation, now: number) => {
	countUsage(simulation, now);
	evictOverMemory(simulation, now);
	updateEstimates(simulation, now);
	relocate(simulation, now);
	placePending(simulation, now);
	recordStarved(simulation, now);
	recordSpread(simulation);
};
