/**
 * Decides which running jobs move: those on workers whose estimated usage
 * exceeds their capacity, or on nearly empty workers that can be emptied.
 * Hysteresis limits moves: the state of the worker must last, and a job must
 * not have started or moved recently.
 * Source: docs/design/placement.md.
 */
import * as clusters from './cluster.js';
import * as resources from './resources.js';

/** Settings of relocation. */
export type RelocationConfig = {
	/** Share of capacity above which a worker is overloaded. */
	readonly overloadedShare: number;
	/** Share of capacity below which a worker is nearly empty. */
	readonly nearlyEmptyShare: number;
	/**
	 * Time for which a worker must be overloaded or nearly empty before a job
	 * moves, in milliseconds.
	 */
	readonly settleMs: number;
	/** Minimum time between the start of a task and its move, in milliseconds. */
	readonly stayMs: number;
};

/** Settings for long jobs, where every move is a risk. */
export const fewerMovesConfig: RelocationConfig = {
	overloadedShare: 1.1,
	nearlyEmptyShare: 0.15,
	settleMs: 300_000,
	stayMs: 3_600_000,
};

/** Settings for small instances, where idle capacity costs most. */
export const lessIdleCapacityConfig: RelocationConfig = {
	overloadedShare: 1.02,
	nearlyEmptyShare: 0.25,
	settleMs: 60_000,
	stayMs: 900_000,
};

/** Default settings. */
export const defaultRelocationConfig = fewerMovesConfig;

/**
 * Overloaded and nearly empty workers, with the time since when, in
 * milliseconds.
 */
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

/** Updates which workers are overloaded or nearly empty, and since when. */
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

/** Only tasks that can resume from a checkpoint move, except urgent ones. */
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

/**
 * The smallest task whose move ends the overload; otherwise the largest one.
 */
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

/**
 * Chooses at most one job per worker to move. The caller applies the moves
 * before the next call.
 */
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
