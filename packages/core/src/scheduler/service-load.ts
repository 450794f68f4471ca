/** How much the queues of a service ask for, for the sizes of its pool. */
import {getDemand, type Executor} from './executor.js';
import type {Arrivals, Owner} from './owner-state.js';
import {listUsable} from './place-task.js';
import {isLate} from './rank.js';
import {isStepReady, isWaiting, type Job} from './task.js';

/** Load of one executor. */
export type ExecutorLoad = {
	readonly runs: number;
	/** Runs of tasks that last. */
	readonly lasting: number;
	readonly usedCpu: number;
};

/** The part of a load that is of late jobs; cpu in thousandths of a core. */
export type LateLoad = {
	readonly waitingCpu: number;
	readonly usedCpu: number;
	/** Work that is left, in cpu-milliseconds. */
	readonly work: number;
};

/** Load of a service; cpu in thousandths of a core. */
export type ServiceLoad = {
	/** Of the tasks that wait and may start. */
	readonly waitingCpu: number;
	/** Of what runs. */
	readonly usedCpu: number;
	/**
	 * Of both, what is of jobs that can't meet their objective any more; owners
	 * of older releases do not tell it.
	 */
	readonly late?: LateLoad;
	/** Of all executors that may take work. */
	readonly capacityCpu: number;
	/** Work handed in lately, as the cores that it keeps busy. */
	readonly arrivingCpu: number;
	/** Executors that its open steps need because their tasks must be apart. */
	readonly minExecutors: number;
	readonly executors: Readonly<Record<string, ExecutorLoad>>;
	/** Executors that leave calls unanswered, with the time since then. */
	readonly silent: Readonly<Record<string, number>>;
};

/**
 * Time constant of the weights, in milliseconds: long enough to even out
 * single jobs, short enough to see a rise within a second.
 */
const arrivalWindowMs = 1200;

/** No work yet. */
export const noArrivals: Arrivals = {work: 0, at: 0};

const decay = ({work, at}: Arrivals, now: number): number =>
	work * Math.exp(-Math.max(0, now - at) / arrivalWindowMs);

/** Notes work that came in. */
export const recordArrival = (
	arrivals: Arrivals,
	work: number,
	now: number,
): Arrivals => ({work: decay(arrivals, now) + work, at: now});

/** Cores that the work of the last while keeps busy, in thousandths. */
export const getArrivingCpu = (arrivals: Arrivals, now: number): number =>
	decay(arrivals, now) / arrivalWindowMs;

const describeExecutor = (executor: Executor): ExecutorLoad => ({
	runs: executor.runs.size,
	lasting: [...executor.runs.values()].filter(
		({task}) => task.step.spec.isLongRunning,
	).length,
	usedCpu: executor.used.cpuMillis,
});

const getWaitingCpu = (job: Job): number => {
	let waiting = 0;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			const {resources, fillsIdleCapacity} = step.spec;
			if (!fillsIdleCapacity && isStepReady(step)) {
				const tasks = step.tasks.filter((task) => isWaiting(task));
				waiting += tasks.length * resources.cpuMillis;
			}
		}
	}

	return waiting;
};

const getUsedCpu = (job: Job): number => {
	let used = 0;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			const runs = step.tasks.reduce((sum, task) => sum + task.runs.length, 0);
			used += runs * getDemand(step).cpuMillis;
		}
	}

	return used;
};

const getMinExecutors = (job: Job): number => {
	let most = 0;
	for (const {steps} of job.occurrences.values()) {
		for (const {spec, doneCount} of steps) {
			const left = spec.count - doneCount;
			most = Math.max(
				most,
				Math.ceil(left / (spec.maxPerExecutor ?? left)) || 0,
			);
		}
	}

	return most;
};

const sum = (values: readonly number[]): number =>
	values.reduce((total, value) => total + value, 0);

const describeLate = (owner: Owner, epochNow: number): LateLoad => {
	const late = [...owner.openJobs].filter((job) => isLate(job, epochNow));
	return {
		waitingCpu: sum(late.map((job) => getWaitingCpu(job))),
		usedCpu: sum(late.map((job) => getUsedCpu(job))),
		work: sum(late.map(({remainingWork}) => remainingWork)),
	};
};

/** Describes the load of a service now. */
export const describeLoad = (
	owner: Owner,
	now: number,
	epochNow: number,
): ServiceLoad => {
	const all = [...owner.executors.values()];
	const usable = listUsable(owner, now);
	return {
		waitingCpu: sum([...owner.openJobs].map((job) => getWaitingCpu(job))),
		usedCpu: sum(all.map(({used}) => used.cpuMillis)),
		late: describeLate(owner, epochNow),
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
