/** Load of a service, from which the size of its pool is decided. */
import {getPartWithinCap} from '../../teams/cap-share.js';
import {addResources, noResources} from '../../teams/resources.js';
import {getDemand, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {listUsable} from '../placement/place-task.js';
import {isLate, type PresentTimes} from '../ranking/rank.js';
import {getRemainingWork} from '../run-times/work.js';
import {isStepReady, isWaiting, type Job, type Step} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {computeTeamDemand} from '../ranking/team-use.js';
import {getArrivingCpu} from './arrivals.js';

/** Load of one executor. */
export type ExecutorLoad = {
	readonly runs: number;
	/** Runs of long-running tasks. */
	readonly lasting: number;
	readonly usedCpu: number;
};

/** Load of jobs that miss their objective; cpu in thousandths of a core. */
export type LateLoad = {
	readonly waitingCpu: number;
	readonly usedCpu: number;
	/** Remaining work, in cpu-milliseconds. */
	readonly work: number;
};

/**
 * Load of a service; cpu in thousandths of a core. Memory counts as the cpu of
 * the same part of an executor where it is the scarcer of the two.
 */
export type ServiceLoad = {
	/** Demand of the tasks that wait, are ready and within their teams' caps. */
	readonly waitingCpu: number;
	/** Demand of the runs. */
	readonly usedCpu: number;
	/**
	 * The part of both that belongs to jobs that can no longer meet their
	 * objective; absent from owners of older releases.
	 */
	readonly late?: LateLoad;
	/** Capacity of all executors that may be given work. */
	readonly capacityCpu: number;
	/** Recently submitted work, as the number of cores that it keeps busy. */
	readonly arrivingCpu: number;
	/** Executors needed to satisfy `maxPerExecutor` of the loaded steps. */
	readonly minExecutors: number;
	readonly executors: Readonly<Record<string, ExecutorLoad>>;
	/** Unresponsive executors, with the milliseconds since they became so. */
	readonly silent: Readonly<Record<string, number>>;
};

const addDemand = (sum: Resources, step: Step, count: number): Resources => {
	const {cpuMillis, memoryMb, accelerators} = getDemand(step);
	return addResources(sum, {
		cpuMillis: count * cpuMillis,
		memoryMb: count * memoryMb,
		accelerators: count * accelerators,
	});
};

/**
 * Returns a function that expresses resources as cpu: that of the part of an
 * executor which they take by the scarcer of cpu and memory. Any writer may list
 * an executor of any size, so those that have answered decide, if any have.
 */
const createCpuMeasure = (
	executors: readonly Executor[],
): ((resources: Resources) => number) => {
	const answered = executors.filter(({isAdopted}) => isAdopted);
	let capacity = noResources;
	for (const {listed} of answered.length > 0 ? answered : executors) {
		capacity = addResources(capacity, listed.capacity);
	}

	const cpuPerMb =
		capacity.memoryMb > 0 ? capacity.cpuMillis / capacity.memoryMb : 0;
	return ({cpuMillis, memoryMb}) => Math.max(cpuMillis, memoryMb * cpuPerMb);
};

const describeExecutor = (executor: Executor): ExecutorLoad => ({
	runs: executor.runs.size,
	lasting: [...executor.runs.values()].filter(
		({task}) => task.step.spec.isLongRunning,
	).length,
	usedCpu: executor.used.cpuMillis,
});

const getWaiting = (job: Job): Resources => {
	let waiting = noResources;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(step)) {
				const tasks = step.tasks.filter((task) => isWaiting(task));
				waiting = addDemand(waiting, step, tasks.length);
			}
		}
	}

	return waiting;
};

const getUsed = (job: Job): Resources => {
	let used = noResources;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			let runs = 0;
			for (const task of step.tasks) {
				runs += task.runs.length;
			}

			used = addDemand(used, step, runs);
		}
	}

	return used;
};

const getMinExecutors = (job: Job): number => {
	let minExecutors = 0;
	for (const {steps} of job.occurrences.values()) {
		for (const {spec, doneCount} of steps) {
			const left = spec.count - doneCount;
			minExecutors = Math.max(
				minExecutors,
				Math.ceil(left / (spec.maxPerExecutor ?? left)) || 0,
			);
		}
	}

	return minExecutors;
};

const sum = (values: readonly number[]): number =>
	values.reduce((total, value) => total + value, 0);

/** Returns by job the part of its demand that its team's cap leaves room for. */
const createCapFilter = (owner: Owner): ((job: Job) => number) => {
	if (owner.capLimits.size === 0) {
		return () => 1;
	}

	const parts = new Map(
		[...computeTeamDemand(owner)].map(([team, need]) => {
			const cap = owner.capLimits.get(team)?.cap;
			return [team, cap ? getPartWithinCap(cap, need) : 1] as const;
		}),
	);
	return ({accepted: {team}}) =>
		team === undefined ? 1 : (parts.get(team) ?? 1);
};

/** Expresses demand of jobs as cpu. */
type DemandMeasure = {
	readonly toCpu: (resources: Resources) => number;
	/** The part of a job's demand that its team's cap leaves room for. */
	readonly getCapPart: (job: Job) => number;
};

const sumWaitingCpu = (
	jobs: readonly Job[],
	{toCpu, getCapPart}: DemandMeasure,
): number => {
	let waiting = noResources;
	for (const job of jobs) {
		const part = getCapPart(job);
		const {cpuMillis, memoryMb, accelerators} = getWaiting(job);
		waiting = addResources(waiting, {
			cpuMillis: part * cpuMillis,
			memoryMb: part * memoryMb,
			accelerators: part * accelerators,
		});
	}

	return toCpu(waiting);
};

const describeLate = (
	owner: Owner,
	times: PresentTimes,
	measure: DemandMeasure,
): LateLoad => {
	const late = [...owner.openJobs].filter((job) => isLate(owner, job, times));
	let used = noResources;
	for (const job of late) {
		used = addResources(used, getUsed(job));
	}

	return {
		waitingCpu: sumWaitingCpu(late, measure),
		usedCpu: measure.toCpu(used),
		work: sum(late.map((job) => getRemainingWork(owner, job))),
	};
};

/** Returns the current load of a service. */
export const describeLoad = (
	owner: Owner,
	now: number,
	epochNow: number,
): ServiceLoad => {
	const all = [...owner.executors.values()];
	const usable = listUsable(owner, now);
	const measure: DemandMeasure = {
		toCpu: createCpuMeasure(all),
		getCapPart: createCapFilter(owner),
	};
	let used = noResources;
	for (const executor of all) {
		used = addResources(used, executor.used);
	}

	return {
		waitingCpu: sumWaitingCpu([...owner.openJobs], measure),
		usedCpu: measure.toCpu(used),
		late: describeLate(owner, {now, epochNow}, measure),
		capacityCpu: sum(usable.map(({listed}) => listed.capacity.cpuMillis)),
		arrivingCpu: getArrivingCpu(owner.arrivals, now),
		minExecutors: Math.max(
			0,
			...[...owner.openJobs].map((job) => getMinExecutors(job)),
		),
		executors: Object.fromEntries(
			all.map((each) => [each.id, describeExecutor(each)]),
		),
		silent: Object.fromEntries(
			all.flatMap(({id, unresponsiveSince, suspectedSince}) =>
				unresponsiveSince === undefined
					? []
					: [
							[
								id,
								now -
									Math.min(
										unresponsiveSince,
										suspectedSince ?? unresponsiveSince,
									),
							],
						],
			),
		),
	};
};
