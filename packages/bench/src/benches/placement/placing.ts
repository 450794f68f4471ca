/** Starts, ends and moves jobs by the placement decisions. */
import * as core from '@gullstand/core';
import type {TraceJob} from './trace.js';
import {estimate, stop, type Simulation} from './simulation.js';

const {placement} = core;

const urgentBoundMs = 1500;

const startMs = 200;

const throttleMs = 100;

const checkpointMs = 20_000;

const hourMs = 3_600_000;

/** Maximum number of jobs passed over because they do not fit. */
const maxPassedOver = 8;

const updateUsageModel = (
	simulation: Simulation,
	{id, customer, declared}: TraceJob,
) => {
	const history = simulation.histories.get(id);
	const usageModel =
		simulation.usageModels.get(customer) ?? placement.emptyCustomerUsageModel;
	if (history) {
		simulation.usageModels.set(
			customer,
			placement.addEndedJob(usageModel, declared, history),
		);
	}

	simulation.histories.delete(id);
};

const end = (simulation: Simulation, id: string, run: number, now: number) => {
	if (simulation.running.get(id)?.run !== run) {
		return;
	}

	const task = stop(simulation, id);
	if (task) {
		updateUsageModel(simulation, task.job);
	}

	simulation.counts.finished += 1;
	placePending(simulation, now);
};

const begin = (
	simulation: Simulation,
	job: TraceJob,
	worker: string,
	now: number,
) => {
	simulation.runs += 1;
	const run = simulation.runs;
	simulation.running.set(job.id, {job, worker, startedAt: now, run});
	placement.addTask(simulation.cluster, {
		job: job.id,
		customer: job.customer,
		worker,
		estimate: estimate(simulation, job),
		urgent: job.urgent,
		canThrottle: job.canThrottle,
		canCheckpoint: job.canCheckpoint,
		startedAt: now,
	});
	simulation.queue.add(now + job.runMs, (at) => {
		end(simulation, job.id, run, at);
	});
};

const throttle = ({cluster, throttled, policy}: Simulation, job: string) => {
	throttled.add(job);
	const known = cluster.tasks.get(job)?.estimate;
	if (known) {
		const cores = known.mean.cores * policy.cfg.throttledShare;
		placement.updateEstimate(cluster, job, {
			mean: {...known.mean, cores},
			deviation: {...known.deviation, cores: 0},
		});
	}
};

const checkpoint = (simulation: Simulation, job: string) => {
	const task = stop(simulation, job);
	if (task) {
		simulation.pending.set(job, task.job);
		simulation.counts.moves += 1;
	}
};

/** Applies preemptions; returns the time until the room is free, in ms. */
const preempt = (
	simulation: Simulation,
	preemptions: readonly core.placement.Preemption[],
): number => {
	let delayMs = 0;
	for (const {job, kind} of preemptions) {
		if (kind === 'throttle') {
			throttle(simulation, job);
			delayMs = Math.max(delayMs, throttleMs);
		} else {
			checkpoint(simulation, job);
			delayMs = Math.max(delayMs, checkpointMs);
		}
	}

	return delayMs;
};

const firstFit = (
	cluster: core.placement.Cluster,
	expected: core.placement.UsageEstimate,
): core.placement.PlacementDecision => {
	for (const load of cluster.loads.values()) {
		if (placement.hasRoom(load, expected)) {
			return {kind: 'place', worker: load.worker.id, preempt: []};
		}
	}

	return {kind: 'wait', reason: 'capacity'};
};

const decide = (simulation: Simulation, job: TraceJob, now: number) => {
	const {cluster, policy, quota} = simulation;
	const expected = estimate(simulation, job);
	return policy.firstFit
		? firstFit(cluster, expected)
		: placement.placeJob(
				cluster,
				{job, estimate: expected, quota, excluded: new Set()},
				now,
				policy.cfg,
			);
};

const tryPlace = (
	simulation: Simulation,
	job: TraceJob,
	now: number,
): boolean => {
	const decision = decide(simulation, job, now);
	if (decision.kind !== 'place') {
		return false;
	}

	const {counts} = simulation;
	const delayMs = preempt(simulation, decision.preempt) + startMs;
	const waitMs = now - job.submittedAt + delayMs;
	begin(simulation, job, decision.worker, now);
	counts.started += 1;
	simulation.lastStarts.set(job.customer, now);
	counts.maxWaitHours = Math.max(counts.maxWaitHours, waitMs / hourMs);
	if (job.urgent) {
		counts.urgentInTime += waitMs <= urgentBoundMs ? 1 : 0;
	}

	return true;
};

/** Places pending jobs that fit. */
export const placePending = (simulation: Simulation, now: number) => {
	const {cluster, pending, quotas} = simulation;
	let passedOver = 0;
	for (const job of placement.sortPending(
		cluster,
		[...pending.values()],
		quotas,
	)) {
		if (passedOver >= maxPassedOver) {
			return;
		}

		if (tryPlace(simulation, job, now)) {
			pending.delete(job.id);
		} else {
			passedOver += 1;
		}
	}
};

/** Places a submitted job or queues it. */
export const submit = (simulation: Simulation, job: TraceJob, now: number) => {
	simulation.counts.urgentJobs += job.urgent ? 1 : 0;
	if (!tryPlace(simulation, job, now)) {
		simulation.pending.set(job.id, job);
	}
};

/** Moves running jobs if the policy has relocations. */
export const relocate = (simulation: Simulation, now: number) => {
	const {cluster, policy, running, counts} = simulation;
	const cfg = policy.relocation;
	if (!cfg) {
		return;
	}

	simulation.observed = placement.observeLoads(
		cluster,
		simulation.observed,
		now,
		cfg,
	);
	const {observed} = simulation;
	for (const {job, to} of placement.chooseRelocations(
		cluster,
		observed,
		now,
		cfg,
	)) {
		const task = cluster.tasks.get(job);
		const known = running.get(job);
		if (task && known) {
			placement.removeTask(cluster, job);
			placement.addTask(cluster, {...task, worker: to, startedAt: now});
			known.worker = to;
			counts.moves += 1;
		}
	}
};
