/**
 * How the jobs of one worker leave it: which run out and which move. One
 * waiting time is chosen for the worker, so that the cost of idle cores, of
 * the wave's delay and of moves together is least. Since estimates may be far
 * off, waiting ends when it has cost as much as the moves would have (the
 * break-even rule of ski rental: at most twice the best cost in hindsight).
 */
import type {RunningJob} from './facts.js';
import type {WaveWeights} from './settings.js';

const hourMs = 3_600_000;

/** What is decided for one worker. */
export type EvacuationPlan = {
	/** Jobs to move now. */
	readonly moves: readonly RunningJob[];
	/** Expected time until the others have run out, in milliseconds. */
	readonly waitMs: number;
	/** Cost in the unit of the weights. */
	readonly cost: number;
};

/** One worker to be emptied. */
export type EvacuationInput = {
	readonly cores: number;
	readonly jobs: readonly RunningJob[];
	readonly weights: WaveWeights;
	/** Time since it takes no new jobs, in milliseconds. */
	readonly waitedMs: number;
	/** Time left to the wave's deadline, in milliseconds. */
	readonly untilDeadlineMs: number;
};

/** Cost of moving one job: the move, and the work that it repeats. */
export const getMoveCost = (job: RunningJob, weights: WaveWeights): number => {
	const lostCoreHours =
		job.movability === 'restart' ? (job.cores * job.elapsedMs) / hourMs : 0;
	return weights.moves + weights.bufferCoreHours * lostCoreHours;
};

/** True once the wait has cost as much as moving everything would. */
const isPatienceSpent = (input: EvacuationInput, moveCost: number): boolean => {
	const {weights, cores, jobs, waitedMs} = input;
	const busy = jobs.reduce((sum, job) => sum + job.cores, 0);
	const idle = Math.max(0, cores - busy);
	const hourly = weights.bufferCoreHours * idle + weights.rollOutHours;
	return (hourly * waitedMs) / hourMs > moveCost;
};

/** Cost of a wait in which jobs use that many core-milliseconds. */
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
 * Chooses the wait of least cost among the times at which a job ends: the
 * first jobs that end are waited for, the rest move.
 */
export const planEvacuation = (input: EvacuationInput): EvacuationPlan => {
	const {jobs, weights, untilDeadlineMs} = input;
	const fixed = jobs.filter(({movability}) => movability === 'none');
	const movable = jobs
		.filter(({movability}) => movability !== 'none')
		.toSorted((a, b) => a.remainingMs - b.remainingMs);
	let waitMs = Math.max(0, ...fixed.map(({remainingMs}) => remainingMs));
	let moveCost = sumMoveCosts(movable, weights);
	let busyCoreMs = sumBusy(fixed);
	let waited = 0;
	let cost = getWaitCost(input, waitMs, busyCoreMs) + moveCost;
	if (isPatienceSpent(input, moveCost)) {
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
