/** Starts, ends and moves of jobs, as the placement decisions have it. */
import * as core from '@gullstand/core';
import type {TraceJob} from './trace.js';
import {estimate, stop, type Simulation} from './simulation.js';

const {placement} = core;

const urgentBoundMs = 1500;

const startMs = 200;

const throttleMs = 100;

const checkpointMs = 20_000;

const hourMs = 3_600_000;

/** Jobs that do not fit and are passed over, so that none blocks all. */
const maxPassedOver = 8;

const learnFromEnd = (
	world: Simulation,
	{id, customer, declared}: TraceJob,
) => {
	const history = world.histories.get(id);
	const habit =
		world.usageModels.get(customer) ?? placement.emptyCustomerUsageModel;
	if (history) {
		world.usageModels.set(
			customer,
			placement.addEndedJob(habit, declared, history),
		);
	}

	world.histories.delete(id);
};

const end = (world: Simulation, id: string, run: number, now: number) => {
	if (world.running.get(id)?.run !== run) {
		return;
	}

	const task = stop(world, id);
	if (task) {
		learnFromEnd(world, task.job);
	}

	world.counts.finished += 1;
	placePending(world, now);
};

const begin = (
	world: Simulation,
	job: TraceJob,
	worker: string,
	now: number,
) => {
	world.runs += 1;
	const run = world.runs;
	world.running.set(job.id, {job, worker, startedAt: now, run});
	placement.addTask(world.cluster, {
		job: job.id,
		customer: job.customer,
		worker,
		estimate: estimate(world, job),
		urgent: job.urgent,
		canThrottle: job.canThrottle,
		canCheckpoint: job.canCheckpoint,
		startedAt: now,
	});
	world.queue.add(now + job.runMs, (at) => {
		end(world, job.id, run, at);
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

const checkpoint = (world: Simulation, job: string) => {
	const task = stop(world, job);
	if (task) {
		world.pending.set(job, task.job);
		world.counts.moves += 1;
	}
};

/** Makes room; the time until it is there, in milliseconds. */
const preempt = (
	world: Simulation,
	preemptions: readonly core.placement.Preemption[],
): number => {
	let delayMs = 0;
	for (const {job, kind} of preemptions) {
		if (kind === 'throttle') {
			throttle(world, job);
			delayMs = Math.max(delayMs, throttleMs);
		} else {
			checkpoint(world, job);
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

const decide = (world: Simulation, job: TraceJob, now: number) => {
	const {cluster, policy, quota} = world;
	const expected = estimate(world, job);
	return policy.firstFit
		? firstFit(cluster, expected)
		: placement.placeJob(
				cluster,
				{job, estimate: expected, quota, excluded: new Set()},
				now,
				policy.cfg,
			);
};

const tryPlace = (world: Simulation, job: TraceJob, now: number): boolean => {
	const decision = decide(world, job, now);
	if (decision.kind !== 'place') {
		return false;
	}

	const {counts} = world;
	const delayMs = preempt(world, decision.preempt) + startMs;
	const waitMs = now - job.submittedAt + delayMs;
	begin(world, job, decision.worker, now);
	counts.started += 1;
	world.lastStarts.set(job.customer, now);
	counts.maxWaitHours = Math.max(counts.maxWaitHours, waitMs / hourMs);
	if (job.urgent) {
		counts.urgentInTime += waitMs <= urgentBoundMs ? 1 : 0;
	}

	return true;
};

/** Places what waits, as far as there is room. */
export const placePending = (world: Simulation, now: number) => {
	const {cluster, pending, quotas} = world;
	let passedOver = 0;
	for (const job of placement.sortPending(
		cluster,
		[...pending.values()],
		quotas,
	)) {
		if (passedOver >= maxPassedOver) {
			return;
		}

		if (tryPlace(world, job, now)) {
			pending.delete(job.id);
		} else {
			passedOver += 1;
		}
	}
};

/** A job is submitted. */
export const submit = (world: Simulation, job: TraceJob, now: number) => {
	world.counts.urgentJobs += job.urgent ? 1 : 0;
	if (!tryPlace(world, job, now)) {
		world.pending.set(job.id, job);
	}
};

/** Moves running jobs, if the run's way does. */
export const relocate = (world: Simulation, now: number) => {
	const {cluster, policy, running, counts} = world;
	const cfg = policy.relocation;
	if (!cfg) {
		return;
	}

	world.observed = placement.observeLoads(cluster, world.observed, now, cfg);
	const {observed} = world;
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
