/**
 * When a running job is moved: its worker is over its capacity by the new
 * estimates, or a nearly empty worker can be emptied. Hysteresis: a gain must
 * outweigh the move, last, and not come soon after the last move of the job.
 * Source: docs/design/placement.md.
 */
import * as clusters from './cluster.js';
import * as resources from './resources.js';

/** Settings of relocation. */
export type RelocationConfig = {
	/** Share of capacity above which a worker is over. */
	readonly overloadedShare: number;
	/** Share of capacity below which a worker is worth emptying. */
	readonly nearlyEmptyShare: number;
	/** Time that a worker must be so before anything moves, in ms. */
	readonly settleMs: number;
	/** Time for which a moved job stays where it is, in ms. */
	readonly stayMs: number;
};

/** For long jobs, whose every move is a risk. */
export const fewerMovesConfig: RelocationConfig = {
	overloadedShare: 1.1,
	nearlyEmptyShare: 0.15,
	settleMs: 300_000,
	stayMs: 3_600_000,
};

/** For small instances, whose idle capacity costs most. */
export const lessIdleCapacityConfig: RelocationConfig = {
	overloadedShare: 1.02,
	nearlyEmptyShare: 0.25,
	settleMs: 60_000,
	stayMs: 900_000,
};

/** Settings in force when none are given. */
export const defaultRelocationConfig = fewerMovesConfig;

/** Since when each worker has been over or nearly empty. */
export type LoadObservations = ReadonlyMap<
	string,
	{readonly kind: 'over' | 'nearly-empty'; readonly since: number}
>;

/** One job to move. */
export type Relocation = {
	readonly job: string;
	readonly from: string;
	readonly to: string;
	readonly reason: 'over' | 'nearly-empty';
};

const classify = (
	load: clusters.WorkerLoad,
	cfg: RelocationConfig,
): 'over' | 'nearly-empty' | undefined => {
	const share = resources.getDominantShare(load.reserved, load.worker.capacity);
	if (share > cfg.overloadedShare) {
		return 'over';
	}

	return load.tasks.size > 0 && share < cfg.nearlyEmptyShare
		? 'nearly-empty'
		: undefined;
};

/** Notes which workers are over or nearly empty, and since when. */
export const observeLoads = (
	cluster: clusters.Cluster,
	observed: LoadObservations,
	now: number,
	cfg: RelocationConfig = defaultRelocationConfig,
): LoadObservations => {
	const next = new Map<
		string,
		{kind: 'over' | 'nearly-empty'; since: number}
	>();
	for (const load of cluster.loads.values()) {
		const kind = classify(load, cfg);
		const known = observed.get(load.worker.id);
		if (kind) {
			const since = known?.kind === kind ? known.since : now;
			next.set(load.worker.id, {kind, since});
		}
	}

	return next;
};

/** Only what can go on elsewhere without loss is moved. */
const mayMove = (
	task: clusters.PlacedTask,
	now: number,
	cfg: RelocationConfig,
): boolean =>
	task.canCheckpoint && !task.urgent && now - task.startedAt >= cfg.stayMs;

const findTarget = (
	cluster: clusters.Cluster,
	task: clusters.PlacedTask,
	observed: LoadObservations,
): string | undefined => {
	let best: {worker: string; share: number} | undefined;
	for (const load of cluster.loads.values()) {
		const {id, isOpen, capacity} = load.worker;
		const fits = clusters.hasRoom(load, task.estimate);
		if (id === task.worker || !isOpen || observed.has(id) || !fits) {
			continue;
		}

		const share = resources.getDominantShare(load.reserved, capacity);
		if (!best || share > best.share) {
			best = {worker: id, share};
		}
	}

	return best?.worker;
};

/** The smallest task that brings an over-full worker back under. */
const chooseTask = (
	load: clusters.WorkerLoad,
	now: number,
	cfg: RelocationConfig,
): clusters.PlacedTask | undefined => {
	const {capacity} = load.worker;
	const getShare = (task: clusters.PlacedTask) =>
		resources.getDominantShare(task.estimate.mean, capacity);
	const excess = resources.getDominantShare(load.reserved, capacity) - 1;
	const movable = [...load.tasks.values()]
		.filter((task) => mayMove(task, now, cfg))
		.toSorted((a, b) => getShare(a) - getShare(b));
	return movable.find((task) => getShare(task) >= excess) ?? movable.at(-1);
};

/** At most one job a worker and call; the next call sees what it did. */
export const chooseRelocations = (
	cluster: clusters.Cluster,
	observed: LoadObservations,
	now: number,
	cfg: RelocationConfig = defaultRelocationConfig,
): readonly Relocation[] => {
	const relocations: Relocation[] = [];
	for (const [worker, {kind, since}] of observed) {
		const load = cluster.loads.get(worker);
		if (!load || now - since < cfg.settleMs) {
			continue;
		}

		const task = chooseTask(load, now, cfg);
		const to = task && findTarget(cluster, task, observed);
		if (task && to !== undefined) {
			relocations.push({job: task.job, from: worker, to, reason: kind});
		}
	}

	return relocations;
};
