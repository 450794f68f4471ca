/**
 * Decides which jobs of a worker finish in place and which move. One waiting
 * time is chosen per worker that minimizes the cost of idle cores, of the delay
 * of the wave and of moves together. Since estimates may be far off, waiting
 * ends once it has cost as much as the moves would have (the break-even rule of
 * ski rental: at most twice the best cost in hindsight).
 */
import type {RunningJob} from './facts.js';
import type {WaveWeights} from './settings.js';

const hourMs = 3_600_000;

/** Plan for evacuating one worker. */
export type EvacuationPlan = {
	/** Jobs to move now. */
	readonly moves: readonly RunningJob[];
	/** Expected time until the remaining jobs have finished, in milliseconds. */
	readonly waitMs: number;
	/** Expected cost, in the unit of the weights. */
	readonly cost: number;
};

/** The worker to evacuate. */
export type EvacuationInput = {
	readonly cores: number;
	readonly jobs: readonly RunningJob[];
	readonly weights: WaveWeights;
	/** Time since placement on the worker stopped, in milliseconds. */
	readonly waitedMs: number;
	/**
	 * Time until jobs must have left the worker to meet the deadline, in
	 * milliseconds.
	 */
	readonly untilDeadlineMs: number;
};

/** Cost of moving one job, including the work that a restart repeats. */
export const getMoveCost = (job: RunningJob, weights: WaveWeights): number => {
	const lostCoreHours =
		job.movability === 'restart' ? (job.cores * job.elapsedMs) / hourMs : 0;
	return weights.moves + weights.bufferCoreHours * lostCoreHours;
};

/** Whether waiting has cost more than moving every movable job would. */
const isWaitExhausted = (input: EvacuationInput, moveCost: number): boolean => {
	const {weights, cores, jobs, waitedMs} = input;
	const busy = jobs.reduce((sum, job) => sum + job.cores, 0);
	const idle = Math.max(0, cores - busy);
	const hourly = weights.bufferCoreHours * idle + weights.rollOutHours;
	return (hourly * waitedMs) / hourMs > moveCost;
};

/** Cost of waiting `waitMs` while jobs use `busyCoreMs` core-milliseconds. */
const getWaitCost = (
	{cores, weights}: EvacuationInput,
	waitMs: number,
	busyCoreMs: number,
): number => {
	const idleCoreHours = Math.max(0, cores * waitMs - busyCoreMs) / hourMs;
	const waitHours = waitMs / hourMs;
	return (
		weights.bufferCoreHours * idleCoreHours + weights.rollOutHours * waitHours
	);
};

const sumMoveCosts = (jobs: readonly RunningJob[], weights: WaveWeights) =>
	jobs.reduce((sum, job) => sum + getMoveCost(job, weights), 0);

const sumBusy = (jobs: readonly RunningJob[]) =>
	jobs.reduce((sum, job) => sum + job.cores * job.remainingMs, 0);

/**
 * Chooses the cheapest wait among the times at which a job is expected to end:
 * jobs that end by then finish in place, the others move.
 */
export const planEvacuation = (input: EvacuationInput): EvacuationPlan => {
	const {jobs, weights, untilDeadlineMs} = input;
	const immovable = jobs.filter(({movability}) => movability === 'none');
	const movable = jobs
		.filter(({movability}) => movability !== 'none')
		.toSorted((a, b) => a.remainingMs - b.remainingMs);
	let waitMs = Math.max(0, ...immovable.map(({remainingMs}) => remainingMs));
	let moveCost = sumMoveCosts(movable, weights);
	let busyCoreMs = sumBusy(immovable);
	let waited = 0;
	let cost = getWaitCost(input, waitMs, busyCoreMs) + moveCost;
	if (isWaitExhausted(input, moveCost)) {
		return {moves: movable, waitMs, cost};
	}

	for (const [index, job] of movable.entries()) {
		if (job.remainingMs > Math.max(waitMs, untilDeadlineMs)) {
			break;
		}

		moveCost -= getMoveCost(job, weights);
		busyCoreMs += job.cores * job.remainingMs;
		const untilMs = Math.max(waitMs, job.remainingMs);
		const option = getWaitCost(input, untilMs, busyCoreMs) + moveCost;
		if (option <= cost) {
			cost = option;
			waitMs = untilMs;
			waited = index + 1;
		}
	}

	return {moves: movable.slice(waited), waitMs, cost};
};
