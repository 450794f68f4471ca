/**
 * Where a job runs: the worker that it leaves fullest, spread over racks and
 * availability zones, within its customer's quota. Urgent work may take room
 * from work that can be throttled or checkpointed.
 * Source: docs/design/placement.md.
 */
import {match} from 'ts-pattern';
import type {Job, Resources, Worker} from '../types/job.js';
import * as clusters from './cluster.js';
import * as resources from './resources.js';

/** Weights of the one objective; all from 0. */
export type PlacementConfig = {
	/** Prefers workers that are fuller already: less idle buffer. */
	readonly packWeight: number;
	/** Against each task of the customer in the same rack. */
	readonly rackWeight: number;
	/** Against each task of the customer in the same availability zone. */
	readonly zoneWeight: number;
	/** Against each task that urgent work takes room from. */
	readonly preemptWeight: number;
	/** Time between two starts on one worker; bounds a black hole. */
	readonly startGapMs: number;
	/** Cores left to a throttled task, as a share of what it has. */
	readonly throttledShare: number;
};

/** Settings in force when none are given. */
export const defaultPlacementConfig: PlacementConfig = {
	packWeight: 1,
	rackWeight: 0.05,
	zoneWeight: 0.01,
	preemptWeight: 0.5,
	startGapMs: 0,
	throttledShare: 0.1,
};

/** How room is made. */
export type Preemption = {
	readonly job: string;
	readonly kind: 'throttle' | 'checkpoint';
};

/** What is decided for a job. */
export type PlacementDecision =
	| {
			readonly kind: 'place';
			readonly worker: string;
			readonly preempt: readonly Preemption[];
	  }
	| {readonly kind: 'wait'; readonly reason: 'quota' | 'capacity'}
	/** No worker could ever run it, whatever else ends. */
	| {readonly kind: 'impossible'; readonly reason: 'too-large' | 'over-quota'};

/** A job to place and what is known of it. */
export type PlacementRequest = {
	readonly job: Job;
	/** What to reserve. */
	readonly estimate: Resources;
	/** What the contract lets its customer use at once. */
	readonly quota: Resources;
	/** Workers that are not to be tried, such as those it failed on. */
	readonly excluded: ReadonlySet<string>;
};

type Candidate = {
	readonly worker: string;
	readonly preempt: readonly Preemption[];
	readonly score: number;
};

const getSpreadPenalty = (
	cluster: clusters.Cluster,
	customer: string,
	worker: Worker,
	cfg: PlacementConfig,
): number => {
	const {rack, zone} = clusters.countNearby(cluster, customer, worker);
	return rack * cfg.rackWeight + zone * cfg.zoneWeight;
};

const getFullness = (
	load: clusters.WorkerLoad,
	estimate: Resources,
): number => {
	const reserved = resources.addResources(load.reserved, estimate);
	return resources.getDominantShare(reserved, load.worker.capacity);
};

const getScore = (
	cluster: clusters.Cluster,
	{job, estimate}: PlacementRequest,
	load: clusters.WorkerLoad,
	cfg: PlacementConfig,
): number =>
	cfg.packWeight * getFullness(load, estimate) -
	getSpreadPenalty(cluster, job.customer, load.worker, cfg);

const isOpen = (
	load: clusters.WorkerLoad,
	{excluded}: PlacementRequest,
	now: number,
	cfg: PlacementConfig,
): boolean =>
	load.worker.isOpen &&
	!excluded.has(load.worker.id) &&
	now - load.lastStartAt >= cfg.startGapMs;

/** What a task gives up, and how; undefined if it can give up nothing. */
const getPreemption = (
	task: clusters.PlacedTask,
	needsCoresOnly: boolean,
	cfg: PlacementConfig,
): {preemption: Preemption; freed: Resources} | undefined => {
	if (task.urgent) {
		return undefined;
	}

	if (task.canThrottle && needsCoresOnly) {
		const cores = task.reserved.cores * (1 - cfg.throttledShare);
		return {
			preemption: {job: task.job, kind: 'throttle'},
			freed: {...resources.noResources, cores},
		};
	}

	return task.canCheckpoint
		? {
				preemption: {job: task.job, kind: 'checkpoint'},
				freed: task.reserved,
			}
		: undefined;
};

/** Youngest first: what is taken back has done the least work. */
const listByAge = (load: clusters.WorkerLoad): clusters.PlacedTask[] =>
	[...load.tasks.values()].toSorted((a, b) => b.startedAt - a.startedAt);

const findPreemptions = (
	load: clusters.WorkerLoad,
	estimate: Resources,
	cfg: PlacementConfig,
): readonly Preemption[] | undefined => {
	let room = clusters.getRoom(load);
	const preempt: Preemption[] = [];
	const needsCoresOnly =
		estimate.memoryMb <= room.memoryMb &&
		estimate.accelerators <= room.accelerators;
	for (const task of listByAge(load)) {
		if (resources.fitsInto(estimate, room)) {
			return preempt;
		}

		const found = getPreemption(task, needsCoresOnly, cfg);
		if (found) {
			room = resources.addResources(room, found.freed);
			preempt.push(found.preemption);
		}
	}

	return resources.fitsInto(estimate, room) ? preempt : undefined;
};

const createCandidate = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	load: clusters.WorkerLoad,
	cfg: PlacementConfig,
): Candidate | undefined => {
	const {job, estimate} = request;
	const fits = resources.fitsInto(estimate, clusters.getRoom(load));
	if (!fits && !job.urgent) {
		return undefined;
	}

	const preempt = fits ? [] : findPreemptions(load, estimate, cfg);
	if (!preempt) {
		return undefined;
	}

	const score =
		getScore(cluster, request, load, cfg) - preempt.length * cfg.preemptWeight;
	return {worker: load.worker.id, preempt, score};
};

const findBest = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	now: number,
	cfg: PlacementConfig,
): Candidate | undefined => {
	let best: Candidate | undefined;
	for (const load of cluster.loads.values()) {
		if (!isOpen(load, request, now, cfg)) {
			continue;
		}

		const candidate = createCandidate(cluster, request, load, cfg);
		if (candidate && (!best || candidate.score > best.score)) {
			best = candidate;
		}
	}

	return best;
};

const fitsSomeWorker = (
	cluster: clusters.Cluster,
	estimate: Resources,
): boolean => {
	for (const {worker} of cluster.loads.values()) {
		if (resources.fitsInto(estimate, worker.capacity)) {
			return true;
		}
	}

	return false;
};

type Verdict = 'place' | 'quota' | 'too-large' | 'over-quota';

const judgeRequest = (
	cluster: clusters.Cluster,
	{job, estimate, quota}: PlacementRequest,
): Verdict => {
	if (!resources.fitsInto(estimate, quota)) {
		return 'over-quota';
	}

	if (!fitsSomeWorker(cluster, estimate)) {
		return 'too-large';
	}

	const used = clusters.getCustomerUse(cluster, job.customer);
	return resources.fitsInto(resources.addResources(used, estimate), quota)
		? 'place'
		: 'quota';
};

/** Decides for one job; changes nothing. */
export const placeJob = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	now: number,
	cfg: PlacementConfig = defaultPlacementConfig,
): PlacementDecision =>
	match(judgeRequest(cluster, request))
		.returnType<PlacementDecision>()
		.with('over-quota', 'too-large', (reason) => ({kind: 'impossible', reason}))
		.with('quota', () => ({kind: 'wait', reason: 'quota'}))
		.with('place', () => {
			const best = findBest(cluster, request, now, cfg);
			return best
				? {kind: 'place', worker: best.worker, preempt: best.preempt}
				: {kind: 'wait', reason: 'capacity'};
		})
		.exhaustive();
