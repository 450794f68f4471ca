/**
 * Simulated fleet: workers that run jobs, fail and return, and an instance
 * list that shows it late. Placement is best fit with placement advice.
 */
import {budget, type Instance, type waves} from '@gullstand/core';
import {
	drawExponential,
	drawLogNormal,
	type Random,
} from '../../frame/random.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createJobSource, type Job, type JobSource} from './jobs.js';
import type {LogEvent} from './log-checker.js';
import {createWorker, isUp, type Worker} from './worker.js';
import {
	createInstances,
	createLedgers,
	type Outage,
	type Size,
} from './scenario.js';

const minuteMs = 60_000;
const checkpointEveryMs = 30 * minuteMs;
const listLagMs = {least: 5000, mean: 10_000} as const;

/** A simulated fleet with its event log and counts. */
export type Fleet = {
	readonly size: Size;
	readonly random: Random;
	readonly workers: Map<string, Worker>;
	readonly byPool: Map<string, Worker[]>;
	readonly ledgers: Map<string, budget.Ledger>;
	readonly servicesByPool: Map<string, readonly string[]>;
	readonly facts: Map<string, waves.InstanceFacts>;
	readonly queue: EventQueue;
	readonly log: LogEvent[];
	readonly source: JobSource;
	readonly waiting: Map<string, Job[]>;
	readonly figures: {
		finished: number;
		queuedMs: number;
		repeatedCoreHours: number;
		unknownJobs: number;
	};
	getAdvice: (id: string, hasMoved: boolean) => waves.PlacementAdvice;
	now: number;
};

const getFacts = (fleet: Fleet, worker: Worker): waves.InstanceFacts => ({
	id: worker.instance.id,
	pool: worker.instance.pool,
	cores: fleet.size.cores,
	get state() {
		return worker.instance.state;
	},
	get isDrained() {
		return fleet.now >= worker.drainedAt;
	},
	get evidence() {
		return {
			listed: worker.isListed ? ('live' as const) : ('absent' as const),
			incarnationBefore: String(worker.incarnationAtTake),
			incarnation: String(worker.listedIncarnation),
			probesPassed: isUp(worker) && fleet.now >= worker.probesPassFrom ? 3 : 0,
		};
	},
	get coresFree() {
		return isUp(worker) ? fleet.size.cores - worker.used : 0;
	},
	memoryMbFree: 65_536,
	get jobs() {
		return [...worker.jobs.values()].map((job) => ({
			id: job.id,
			cores: job.cores,
			memoryMb: job.cores * 1024,
			elapsedMs: job.savedMs + fleet.now - job.startedAt,
			remainingMs: fleet.source.estimate(job, fleet.now),
			movability: job.movability,
		}));
	},
});

const endJob = (fleet: Fleet, worker: Worker, job: Job, starts: number) => {
	if (job.starts === starts && worker.jobs.has(job.id)) {
		worker.jobs.delete(job.id);
		worker.used -= job.cores;
		fleet.figures.finished += 1;
		fleet.source.learn(job);
		fillPool(fleet, job.pool);
	}
};

/** Starts a job from the work that it has saved. */
export const startJob = (fleet: Fleet, worker: Worker, job: Job): void => {
	job.startedAt = fleet.now;
	job.starts += 1;
	worker.jobs.set(job.id, job);
	worker.used += job.cores;
	if (!isUp(worker)) {
		job.lostAt = {ranMs: job.savedMs, savedMs: job.savedMs};
		return;
	}

	const {starts} = job;
	fleet.queue.add(fleet.now + job.runMs - job.savedMs, (now) => {
		fleet.now = now;
		endJob(fleet, worker, job, starts);
	});
};

/** Removes a job from its worker; `savedMs` of its work is kept. */
export const removeJob = (
	fleet: Fleet,
	worker: Worker,
	job: Job,
	savedMs: number,
): void => {
	const ranMs = job.savedMs + fleet.now - job.startedAt;
	fleet.figures.repeatedCoreHours +=
		(job.cores * (ranMs - savedMs)) / (60 * minuteMs);
	job.savedMs = savedMs;
	job.starts += 1;
	worker.jobs.delete(job.id);
	worker.used -= job.cores;
};

const ranks = {good: 0, later: 1, never: 2} as const;

const pickWorker = (fleet: Fleet, job: Job): Worker | undefined => {
	let best: Worker | undefined;
	let bestRank = 2;
	for (const worker of fleet.byPool.get(job.pool)!) {
		const rank = ranks[fleet.getAdvice(worker.instance.id, job.hasMoved)];
		const fits =
			isUp(worker) &&
			worker.instance.state === 'serving' &&
			fleet.size.cores - worker.used >= job.cores;
		const isBetter =
			rank < bestRank ||
			(rank === bestRank && worker.used > (best?.used ?? -1));
		if (fits && rank < 2 && isBetter) {
			best = worker;
			bestRank = rank;
		}
	}

	return best;
};

/** Starts the waiting jobs of a pool that fit, in order of arrival. */
export const fillPool = (fleet: Fleet, pool: string): void => {
	const waiting = fleet.waiting.get(pool)!;
	for (const job of waiting.splice(0)) {
		const worker = pickWorker(fleet, job);
		if (worker) {
			startJob(fleet, worker, job);
		} else {
			waiting.push(job);
		}
	}
};

/** Queues a job in its pool and starts what fits. */
export const submitJob = (fleet: Fleet, job: Job): void => {
	fleet.waiting.get(job.pool)!.push(job);
	fillPool(fleet, job.pool);
};

const scheduleArrival = (fleet: Fleet, pool: string, everyMs: number) => {
	fleet.queue.add(fleet.now + drawExponential(fleet.random, everyMs), (now) => {
		fleet.now = now;
		submitJob(fleet, fleet.source.create(pool));
		scheduleArrival(fleet, pool, everyMs);
	});
};

const drawLag = ({random}: Fleet) =>
	listLagMs.least + drawExponential(random, listLagMs.mean);

const updateLedgers = (
	fleet: Fleet,
	worker: Worker,
	update: (
		ledger: budget.Versioned<budget.Ledger>,
	) => budget.RowPut<budget.Ledger> | undefined,
) => {
	for (const service of worker.services) {
		const value = fleet.ledgers.get(service)!;
		const write = update({value, version: 1});
		fleet.ledgers.set(service, write?.value ?? value);
	}
};

/** Updates the listed state of a worker and records loss or recovery. */
const updateList = (fleet: Fleet, worker: Worker, incarnation: number) => {
	const isListed = isUp(worker);
	if (incarnation !== worker.incarnation) {
		return;
	}

	worker.listedIncarnation = worker.incarnation;
	if (isListed === worker.isListed) {
		return;
	}

	worker.isListed = isListed;
	const {instance, services} = worker;
	const kind = isListed ? 'seen-up' : 'seen-down';
	fleet.log.push({kind, instance: instance.id, services});
	if (isListed) {
		updateLedgers(fleet, worker, (ledger) =>
			budget.markRecovered(ledger, [instance]),
		);
	} else {
		requeueJobs(fleet, worker);
		updateLedgers(fleet, worker, (ledger) =>
			budget.markLost(ledger, [instance.id], fleet.now),
		);
	}

	fillPool(fleet, instance.pool);
};

const scheduleListUpdate = (fleet: Fleet, worker: Worker) => {
	const {incarnation} = worker;
	fleet.queue.add(fleet.now + drawLag(fleet), (now) => {
		fleet.now = now;
		updateList(fleet, worker, incarnation);
	});
};

/** Takes a worker down: its jobs stop; the list shows it later. */
export const takeDown = (fleet: Fleet, worker: Worker): void => {
	const {instance, services} = worker;
	fleet.log.push({kind: 'down', instance: instance.id, services});
	for (const job of worker.jobs.values()) {
		const ranMs = job.savedMs + fleet.now - job.startedAt;
		const savedMs =
			job.movability === 'checkpoint'
				? Math.max(job.savedMs, ranMs - (ranMs % checkpointEveryMs))
				: 0;
		job.starts += 1;
		job.lostAt = {ranMs, savedMs};
	}

	scheduleListUpdate(fleet, worker);
};

/** Requeues the jobs of a lost worker from their last checkpoints. */
const requeueJobs = (fleet: Fleet, worker: Worker) => {
	// A requeued job may start on this worker at once.
	const lost = [...worker.jobs.values()];
	for (const job of lost) {
		const {ranMs, savedMs} = job.lostAt!;
		fleet.log.push({kind: 'worker-failed', job: job.id});
		job.startedAt = fleet.now - ranMs + job.savedMs;
		removeJob(fleet, worker, job, savedMs);
		job.hasMoved = false;
		job.lostAt = undefined;
		if (job.movability === 'none') {
			fleet.figures.unknownJobs += 1;
		} else {
			submitJob(fleet, job);
		}
	}
};

/** Brings a worker up again as a new incarnation. */
export const bringUp = (fleet: Fleet, worker: Worker): void => {
	const {instance, services} = worker;
	requeueJobs(fleet, worker);
	worker.incarnation += 1;
	worker.probesPassFrom = fleet.now + minuteMs;
	fleet.log.push({kind: 'up', instance: instance.id, services});
	scheduleListUpdate(fleet, worker);
};

/** Reboots a drained worker for its maintenance. */
export const rebootWorker = (fleet: Fleet, worker: Worker): void => {
	worker.instance = {...worker.instance, state: 'away'};
	const wasUp = isUp(worker);
	worker.isRebooting = true;
	if (wasUp) {
		takeDown(fleet, worker);
	}

	const forMs = drawLogNormal(fleet.random, 6 * minuteMs, 0.4);
	fleet.queue.add(fleet.now + forMs, (now) => {
		fleet.now = now;
		worker.isRebooting = false;
		if (isUp(worker)) {
			bringUp(fleet, worker);
		}
	});
};

const addOutage = (fleet: Fleet, {at, forMs, instances}: Outage) => {
	const affected = instances.map((id) => fleet.workers.get(id)!);
	fleet.queue.add(at, (now) => {
		fleet.now = now;
		for (const worker of affected) {
			const wasUp = isUp(worker);
			worker.outages += 1;
			if (wasUp) {
				takeDown(fleet, worker);
			}
		}
	});
	fleet.queue.add(at + forMs, (now) => {
		fleet.now = now;
		for (const worker of affected) {
			worker.outages -= 1;
			if (isUp(worker)) {
				bringUp(fleet, worker);
			}
		}
	});
};

const logPromises = (fleet: Fleet) => {
	for (const {service, terms, entries} of fleet.ledgers.values()) {
		fleet.log.push({
			kind: 'promise',
			service,
			keep: terms.keepExecutors,
			maxAway: terms.maxAway,
			size: Object.keys(entries).length,
		});
	}
};

/** Creates a fleet with its outages; jobs arrive from time 0. */
export const createFleet = (
	size: Size,
	random: Random,
	getOutages: (instances: readonly Instance[]) => readonly Outage[],
): Fleet => {
	const instances = createInstances(size);
	const fleet: Fleet = {
		size,
		random,
		workers: new Map(),
		byPool: new Map(),
		ledgers: createLedgers(size, instances),
		servicesByPool: new Map(),
		facts: new Map(),
		queue: createEventQueue(),
		log: [],
		source: createJobSource(random, size.teams),
		waiting: new Map(),
		figures: {finished: 0, queuedMs: 0, repeatedCoreHours: 0, unknownJobs: 0},
		getAdvice: () => 'good',
		now: 0,
	};
	for (const instance of instances) {
		const worker = createWorker(instance);
		const {pool} = instance;
		fleet.workers.set(instance.id, worker);
		fleet.facts.set(instance.id, getFacts(fleet, worker));
		fleet.servicesByPool.set(pool, worker.services);
		fleet.byPool.set(pool, [...(fleet.byPool.get(pool) ?? []), worker]);
		fleet.waiting.set(pool, []);
	}

	logPromises(fleet);
	for (const [pool, workers] of fleet.byPool) {
		const coresWanted = size.load * size.cores * workers.length;
		scheduleArrival(fleet, pool, fleet.source.meanCoreMs / coresWanted);
	}

	for (const outage of getOutages(instances)) {
		addOutage(fleet, outage);
	}

	return fleet;
};

/** Runs all events that are due and sets the time. */
export const advanceFleet = (fleet: Fleet, now: number): void => {
	fleet.queue.advance(now);
	fleet.now = now;
};
