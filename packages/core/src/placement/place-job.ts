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
import type {UsageEstimate} from './usage-estimate.js';

/** Weights of the one objective; all from 0. */
export type PlacementConfig = {
	/** Prefers workers that are fuller already: less idle buffer. */
	readonly packWeight: number;
	/** Against the share of the customer's tasks in the same rack. */
	readonly rackWeight: number;
	/** Against the share of the customer's tasks in the same zone. */
	readonly zoneWeight: number;
	/** Against each task that is throttled for urgent work. */
	readonly throttleWeight: number;
	/** Against each task that is checkpointed: room comes late, and it moves. */
	readonly checkpointWeight: number;
	/** Time between two starts on one worker; bounds a black hole. */
	readonly minStartIntervalMs: number;
	/** Cores left to a throttled task, as a share of what it has. */
	readonly throttledShare: number;
	readonly margin: clusters.SafetyMargin;
};

/** Settings in force when none are given. */
export const defaultPlacementConfig: PlacementConfig = {
	packWeight: 1,
	rackWeight: 0.6,
	zoneWeight: 0.2,
	throttleWeight: 0.3,
	checkpointWeight: 3,
	minStartIntervalMs: 0,
	throttledShare: 0.1,
	margin: clusters.defaultSafetyMargin,
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
	readonly estimate: UsageEstimate;
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
	const {rack, zone, all} = clusters.countCustomerTasks(
		cluster,
		customer,
		worker,
	);
	const penalty = rack * cfg.rackWeight + zone * cfg.zoneWeight;
	// As a share after this one is placed; a first task has no others near.
	return penalty / (all + 1);
};

const getFullness = (
	load: clusters.WorkerLoad,
	{mean}: UsageEstimate,
): number => {
	const reserved = resources.addResources(load.reserved, mean);
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
	now - load.lastStartAt >= cfg.minStartIntervalMs;

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
		const cores = task.estimate.mean.cores * (1 - cfg.throttledShare);
		return {
			preemption: {job: task.job, kind: 'throttle'},
			freed: {...resources.noResources, cores},
		};
	}

	return task.canCheckpoint
		? {
				preemption: {job: task.job, kind: 'checkpoint'},
				freed: task.estimate.mean,
			}
		: undefined;
};

/** Youngest first: what is taken back has done the least work. */
const listByAge = (load: clusters.WorkerLoad): clusters.PlacedTask[] =>
	[...load.tasks.values()].toSorted((a, b) => b.startedAt - a.startedAt);

/** What has to be freed on a worker; negative where there is room. */
const getShortage = (
	load: clusters.WorkerLoad,
	estimate: UsageEstimate,
	cfg: PlacementConfig,
): Resources =>
	resources.subtractResources(
		clusters.getRequiredResources(load, estimate, cfg.margin),
		load.worker.capacity,
	);

const findPreemptions = (
	load: clusters.WorkerLoad,
	estimate: UsageEstimate,
	cfg: PlacementConfig,
): readonly Preemption[] | undefined => {
	let shortage = getShortage(load, estimate, cfg);
	const preempt: Preemption[] = [];
	const needsCoresOnly = shortage.memoryMb <= 0 && shortage.accelerators <= 0;
	for (const task of listByAge(load)) {
		if (resources.fitsInto(shortage, resources.noResources)) {
			break;
		}

		const found = getPreemption(task, needsCoresOnly, cfg);
		if (found) {
			shortage = resources.subtractResources(shortage, found.freed);
			preempt.push(found.preemption);
		}
	}

	return resources.fitsInto(shortage, resources.noResources)
		? preempt
		: undefined;
};

const getPreemptionCost = (
	preempt: readonly Preemption[],
	cfg: PlacementConfig,
): number => {
	let cost = 0;
	for (const {kind} of preempt) {
		cost += kind === 'throttle' ? cfg.throttleWeight : cfg.checkpointWeight;
	}

	return cost;
};

const createCandidate = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	load: clusters.WorkerLoad,
	cfg: PlacementConfig,
): Candidate | undefined => {
	const {job, estimate} = request;
	// Most workers of a busy fleet are full: told by the sums alone.
	const fits =
		clusters.mayHaveRoom(load, estimate) &&
		clusters.hasRoom(load, estimate, cfg.margin);
	if (!fits && !job.urgent) {
		return undefined;
	}

	const preempt = fits ? [] : findPreemptions(load, estimate, cfg);
	if (!preempt) {
		return undefined;
	}

	const score =
		getScore(cluster, request, load, cfg) - getPreemptionCost(preempt, cfg);
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
	{mean}: UsageEstimate,
): boolean => {
	for (const {worker} of cluster.loads.values()) {
		if (resources.fitsInto(mean, worker.capacity)) {
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
	if (!resources.fitsInto(estimate.mean, quota)) {
		return 'over-quota';
	}

	if (!fitsSomeWorker(cluster, estimate)) {
		return 'too-large';
	}

	const used = clusters.getCustomerUsage(cluster, job.customer);
	return resources.fitsInto(resources.addResources(used, estimate.mean), quota)
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
