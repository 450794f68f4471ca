/**
 * Feeds a trace to the placement decisions and counts. No network, no host:
 * a job uses what the trace says, reports lag, and a worker over its memory
 * evicts its youngest job.
 */
import * as core from '@gullstand/core';
import type {Resources} from '@gullstand/core';
import {createEventQueue} from '../wave/event-queue.js';
import type {Policy} from './policies.js';
import {
	createWorkers,
	warmUpMs,
	type Deployment,
	type TraceJob,
} from './trace.js';

/** What one run counted. */
export type PlacementFigures = {
	/** Core-hours on workers with tasks that no task used. */
	readonly bufferCoreHours: number;
	readonly usedCoreHours: number;
	readonly moves: number;
	readonly evictions: number;
	/** Share of urgent jobs that started within 1.5 s. */
	readonly urgentInTime: number;
	readonly urgentJobs: number;
	readonly started: number;
	readonly finished: number;
	readonly maxWaitHours: number;
	/** Largest share of a customer's tasks (of 6 or more) in one rack. */
	readonly maxRackShare: number;
	/** Customers that waited an hour, under their quota, for any start. */
	readonly starved: number;
	/** Core-hours of the work that tasks wanted and did not get. */
	readonly overcommittedCoreHours: number;
};

const urgentBoundMs = 1500;

const startMs = 200;

const throttleMs = 100;

const checkpointMs = 20_000;

const reportEveryMs = 60_000;

const reportLagMs = 90_000;

const starvedMs = 3_600_000;

const hourMs = 3_600_000;

type Running = {
	readonly job: TraceJob;
	readonly startedAt: number;
	/** Tells an end of this run from the end of an earlier one. */
	readonly run: number;
	worker: string;
};

const getUse = ({job, startedAt}: Running, now: number): Resources => {
	const share = Math.min(1, 0.2 + (0.8 * (now - startedAt)) / warmUpMs);
	return {
		cores: job.used.cores * share,
		memoryMb: job.used.memoryMb * share,
		accelerators: 0,
	};
};

const firstFit = (
	cluster: core.placement.Cluster,
	estimate: core.placement.UseEstimate,
): core.placement.PlacementDecision => {
	for (const load of cluster.loads.values()) {
		if (core.placement.hasRoom(load, estimate)) {
			return {kind: 'place', worker: load.worker.id, preempt: []};
		}
	}

	return {kind: 'wait', reason: 'capacity'};
};

/** No declaration, however wild, is taken for more than a worker. */
const limitToWorker = (
	{mean, deviation}: core.placement.UseEstimate,
	{capacity}: Deployment,
): core.placement.UseEstimate => {
	const limited = {
		cores: Math.min(mean.cores, capacity.cores),
		memoryMb: Math.min(mean.memoryMb, capacity.memoryMb),
		accelerators: mean.accelerators,
	};
	const room = core.placement.subtractResources(capacity, limited);
	return {
		mean: limited,
		deviation: {
			cores: Math.min(deviation.cores, room.cores),
			memoryMb: Math.min(deviation.memoryMb, room.memoryMb / 3),
			accelerators: 0,
		},
	};
};

/** Runs a trace under one way to place. */
export const runTrace = (
	deployment: Deployment,
	trace: readonly TraceJob[],
	policy: Policy,
): PlacementFigures => {
	const {placement} = core;
	const workers = createWorkers(deployment);
	const cluster = placement.createCluster(workers);
	const queue = createEventQueue();
	const running = new Map<string, Running>();
	const throttled = new Set<string>();
	const histories = new Map<string, core.placement.UsageHistory>();
	const habits = new Map<string, core.placement.CustomerHabit>();
	const pending = new Map<string, TraceJob>();
	const starved = new Set<string>();
	const lastStarts = new Map<string, number>();
	const total = deployment.workers * deployment.capacity.cores;
	const quota: Resources = {
		cores: (total / deployment.customers) * 3,
		memoryMb: Number.MAX_SAFE_INTEGER,
		accelerators: 0,
	};
	const quotas = new Map(
		Array.from({length: deployment.customers}, (_, index) => [
			`c${index}`,
			quota,
		]),
	);
	let observed: core.placement.Observed = new Map();
	let runs = 0;
	const counts = {
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
	};

	const estimate = (job: TraceJob) =>
		limitToWorker(
			policy.estimate(job, histories.get(job.id), habits.get(job.customer)),
			deployment,
		);

	const stop = (id: string): Running | undefined => {
		const task = running.get(id);
		running.delete(id);
		throttled.delete(id);
		placement.removeTask(cluster, id);
		return task;
	};

	const end = (id: string, run: number, now: number) => {
		if (running.get(id)?.run !== run) {
			return;
		}

		const task = stop(id);
		const history = histories.get(id);
		if (task && history) {
			const {customer, declared} = task.job;
			const habit = habits.get(customer) ?? placement.emptyHabit;
			habits.set(customer, placement.addEndedJob(habit, declared, history));
		}

		histories.delete(id);
		counts.finished += 1;
		placePending(now);
	};

	const begin = (job: TraceJob, worker: string, now: number) => {
		runs += 1;
		const run = runs;
		running.set(job.id, {job, worker, startedAt: now, run});
		placement.addTask(cluster, {
			job: job.id,
			customer: job.customer,
			worker,
			estimate: estimate(job),
			urgent: job.urgent,
			canThrottle: job.canThrottle,
			canCheckpoint: job.canCheckpoint,
			startedAt: now,
		});
		queue.add(now + job.runMs, (at) => {
			end(job.id, run, at);
		});
	};

	const throttle = (job: string) => {
		const known = cluster.tasks.get(job)?.estimate;
		if (known) {
			const cores = known.mean.cores * policy.cfg.throttledShare;
			placement.updateEstimate(cluster, job, {
				mean: {...known.mean, cores},
				deviation: {...known.deviation, cores: 0},
			});
		}
	};

	const preempt = (
		preemptions: readonly core.placement.Preemption[],
	): number => {
		let delayMs = 0;
		for (const {job, kind} of preemptions) {
			if (kind === 'throttle') {
				throttled.add(job);
				throttle(job);

				delayMs = Math.max(delayMs, throttleMs);
				continue;
			}

			const task = stop(job);
			if (task) {
				pending.set(job, task.job);
				counts.moves += 1;
				delayMs = Math.max(delayMs, checkpointMs);
			}
		}

		return delayMs;
	};

	const decide = (job: TraceJob, now: number) =>
		policy.firstFit
			? firstFit(cluster, estimate(job))
			: placement.placeJob(
					cluster,
					{job, estimate: estimate(job), quota, excluded: new Set()},
					now,
					policy.cfg,
				);

	const tryPlace = (job: TraceJob, now: number): boolean => {
		const decision = decide(job, now);
		if (decision.kind !== 'place') {
			return false;
		}

		const delayMs = preempt(decision.preempt) + startMs;
		const waitMs = now - job.submittedAt + delayMs;
		begin(job, decision.worker, now);
		counts.started += 1;
		lastStarts.set(job.customer, now);
		counts.maxWaitHours = Math.max(counts.maxWaitHours, waitMs / hourMs);
		if (job.urgent) {
			counts.urgentInTime += waitMs <= urgentBoundMs ? 1 : 0;
		}

		return true;
	};

	const placePending = (now: number) => {
		const ordered = placement.orderPending(
			cluster,
			[...pending.values()],
			quotas,
		);
		let failures = 0;
		for (const job of ordered) {
			// A few that do not fit are passed over, so that none blocks all.
			if (failures >= 8) {
				return;
			}

			if (tryPlace(job, now)) {
				pending.delete(job.id);
			} else {
				failures += 1;
			}
		}
	};

	const submit = (job: TraceJob, now: number) => {
		counts.urgentJobs += job.urgent ? 1 : 0;
		if (!tryPlace(job, now)) {
			pending.set(job.id, job);
		}
	};

	const evictOverfull = (now: number) => {
		for (const load of cluster.loads.values()) {
			const tasks = [...load.tasks.keys()]
				.map((id) => running.get(id))
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
				stop(task.job.id);
				pending.set(task.job.id, task.job);
				counts.evictions += 1;
			}
		}
	};

	const account = (now: number) => {
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
			const hours = reportEveryMs / hourMs;
			counts.bufferCoreHours += (cores - used) * hours;
			counts.usedCoreHours += used * hours;
			counts.overcommittedCoreHours += Math.max(0, wanted - cores) * hours;
		}
	};

	const learn = (now: number) => {
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
				placement.updateEstimate(cluster, id, estimate(task.job));
			}
		}
	};

	const relocate = (now: number) => {
		if (!policy.relocation) {
			return;
		}

		observed = placement.observeLoads(
			cluster,
			observed,
			now,
			policy.relocation,
		);
		const relocations = placement.chooseRelocations(
			cluster,
			observed,
			now,
			policy.relocation,
		);
		for (const {job, to} of relocations) {
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

	/** A customer starves if it waits an hour in which nothing of it starts. */
	const noteWaiting = (now: number) => {
		for (const job of pending.values()) {
			const used = placement.getCustomerUse(cluster, job.customer);
			const need = placement.addResources(used, estimate(job).mean);
			const isUnderQuota = placement.fitsInto(need, quota);
			const since = Math.max(
				job.submittedAt,
				lastStarts.get(job.customer) ?? 0,
			);
			if (isUnderQuota && now - since > starvedMs) {
				starved.add(job.customer);
			}
		}
	};

	const noteSpread = () => {
		const totals = new Map<string, number>();
		for (const task of cluster.tasks.values()) {
			totals.set(task.customer, (totals.get(task.customer) ?? 0) + 1);
		}

		for (const [key, count] of cluster.spread) {
			const [customer = '', kind] = key.split(' ');
			const tasks = totals.get(customer) ?? 0;
			if (kind === 'rack' && tasks >= 6) {
				counts.maxRackShare = Math.max(counts.maxRackShare, count / tasks);
			}
		}
	};

	const report = (now: number) => {
		account(now);
		evictOverfull(now);
		learn(now);
		relocate(now);
		placePending(now);
		noteWaiting(now);
		noteSpread();
	};

	for (const job of trace) {
		queue.add(job.submittedAt, (now) => {
			submit(job, now);
		});
	}

	const endAt = deployment.hours * hourMs;
	for (let at = reportEveryMs; at <= endAt; at += reportEveryMs) {
		queue.add(at, report);
	}

	queue.advance(endAt);
	const {urgentInTime, urgentJobs} = counts;
	return {
		...counts,
		urgentInTime: urgentJobs > 0 ? urgentInTime / urgentJobs : 1,
		starved: starved.size,
	};
};
