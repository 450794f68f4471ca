/**
 * Chooses the worker for a job: the one that it fills most, spread over racks
 * and availability zones, within the quota of its customer. Urgent jobs may
 * preempt tasks that can be throttled or checkpointed.
 * Source: docs/design/placement.md.
 */
import {match} from 'ts-pattern';
import type {Job, Resources, Worker} from '../types/job.js';
import * as clusters from './cluster.js';
import * as resources from './resources.js';
import type {UsageEstimate} from './usage-estimate.js';

/** Weights of the placement score, all 0 or more, and placement limits. */
export type PlacementConfig = {
	/**
	 * Weight of the share of the worker that would be reserved; favours full
	 * workers.
	 */
	readonly packWeight: number;
	/** Penalty for the share of the customer's tasks in the same rack. */
	readonly rackWeight: number;
	/**
	 * Penalty for the share of the customer's tasks in the same availability
	 * zone.
	 */
	readonly zoneWeight: number;
	/** Penalty for each task that is throttled for urgent work. */
	readonly throttleWeight: number;
	/**
	 * Penalty for each task that is checkpointed, which delays the start and
	 * moves the task.
	 */
	readonly checkpointWeight: number;
	/**
	 * Minimum time between two starts on one worker, in milliseconds; limits how
	 * many jobs a worker that fails them at once attracts.
	 */
	readonly minStartIntervalMs: number;
	/** Share of its cores that a throttled task keeps. */
	readonly throttledShare: number;
	readonly margin: clusters.SafetyMargin;
};

/** Default settings. */
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

/** Preemption of one task. */
export type Preemption = {
	readonly job: string;
	readonly kind: 'throttle' | 'checkpoint';
};

/** Decision for one job. */
export type PlacementDecision =
	| {
			readonly kind: 'place';
			readonly worker: string;
			readonly preempt: readonly Preemption[];
	  }
	| {readonly kind: 'wait'; readonly reason: 'quota' | 'capacity'}
	/** No worker could ever run the job. */
	| {readonly kind: 'impossible'; readonly reason: 'too-large' | 'over-quota'};

/** A job to place, with its usage estimate and quota. */
export type PlacementRequest = {
	readonly job: Job;
	readonly estimate: UsageEstimate;
	/** Resources that the contract allows its customer to use at once. */
	readonly quota: Resources;
	/** Workers to skip, such as those that the job failed on. */
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
	// Share after this task is placed; the first task of a customer has none.
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

const isEligible = (
	load: clusters.WorkerLoad,
	{excluded}: PlacementRequest,
	now: number,
	cfg: PlacementConfig,
): boolean =>
	load.worker.isOpen &&
	!excluded.has(load.worker.id) &&
	now - load.lastStartAt >= cfg.minStartIntervalMs;

/**
 * Returns the preemption of a task and the resources that it frees; undefined
 * if the task cannot be preempted.
 */
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

/** Lists the youngest task first, which loses the least work. */
const listYoungestFirst = (load: clusters.WorkerLoad): clusters.PlacedTask[] =>
	[...load.tasks.values()].toSorted((a, b) => b.startedAt - a.startedAt);

/** Resources to free on a worker; negative where there is room. */
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
	for (const task of listYoungestFirst(load)) {
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

const getPreemptionPenalty = (
	preempt: readonly Preemption[],
	cfg: PlacementConfig,
): number => {
	let penalty = 0;
	for (const {kind} of preempt) {
		penalty += kind === 'throttle' ? cfg.throttleWeight : cfg.checkpointWeight;
	}

	return penalty;
};

const createCandidate = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	load: clusters.WorkerLoad,
	cfg: PlacementConfig,
): Candidate | undefined => {
	const {job, estimate} = request;
	// `mayHaveRoom` rejects most full workers without computing the margin.
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
		getScore(cluster, request, load, cfg) - getPreemptionPenalty(preempt, cfg);
	return {worker: load.worker.id, preempt, score};
};

const findBestCandidate = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	now: number,
	cfg: PlacementConfig,
): Candidate | undefined => {
	let best: Candidate | undefined;
	for (const load of cluster.loads.values()) {
		if (!isEligible(load, request, now, cfg)) {
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

type RequestCheck = 'place' | 'quota' | 'too-large' | 'over-quota';

const checkRequest = (
	cluster: clusters.Cluster,
	{job, estimate, quota}: PlacementRequest,
): RequestCheck => {
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

/** Decides the placement of one job; changes nothing. */
export const placeJob = (
	cluster: clusters.Cluster,
	request: PlacementRequest,
	now: number,
	cfg: PlacementConfig = defaultPlacementConfig,
): PlacementDecision =>
	match(checkRequest(cluster, request))
		.returnType<PlacementDecision>()
		.with('over-quota', 'too-large', (reason) => ({kind: 'impossible', reason}))
		.with('quota', () => ({kind: 'wait', reason: 'quota'}))
		.with('place', () => {
			const best = findBestCandidate(cluster, request, now, cfg);
			return best
				? {kind: 'place', worker: best.worker, preempt: best.preempt}
				: {kind: 'wait', reason: 'capacity'};
		})
		.exhaustive();
