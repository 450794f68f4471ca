/**
 * What the owner of a service expects for a new job: the room, the work that
 * waits, and the rates that the teams have left. A plain value, so that the
 * decision on a job needs nothing else of the owner.
 */
import {isCrashSuspect} from '../polls/crash-evidence.js';
import {listUsable, mayTakeTaskOf} from '../placement/place-task.js';
import {needsAdvice} from '../placement/placement-advice.js';
import {
	getObjectiveMs,
	getRemainingCriticalPathMs,
	isLate,
	lateUntilFactor,
	type PresentTimes,
} from '../ranking/rank.js';
import {describeTeamRates, type TeamRate} from '../ranking/team-rate.js';
import {computeTeamUse, mayTeamStart} from '../ranking/team-use.js';
import {couldHold, getFree, hasRoom, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {isLocationKnown} from '../state/task-location.js';
import {
	isLongRunningJob,
	isStepReady,
	isWaiting,
	type Job,
	type Run,
	type Step,
} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {getLowTaskMs} from './run-time-bounds.js';

/** Room that a run certainly holds; times count from the outlook's. */
export type HeldRoom = {
	readonly cpuMillis: number;
	/** The run certainly does not end sooner. */
	readonly forMs: number;
};

/** Tasks of one job that wait and could start on any executor with room. */
export type WaitingWork = {
	readonly queue: string;
	readonly team: string | undefined;
	readonly priority: number;
	readonly isBeyondRate: boolean;
	/** Remaining work of the job as it is ranked, in cpu-milliseconds. */
	readonly remainingWork: number;
	/** Time for which the job counts as in time, and as worth something. */
	readonly inTimeMs: number;
	readonly usefulMs: number;
	/** Lowest work of the tasks, in cpu-milliseconds. */
	readonly lowWork: number;
	/** Largest demand of the tasks, by each resource. */
	readonly demand: Resources;
	/** Whether the cap of its team may keep the tasks from starting. */
	readonly isCapped: boolean;
};

/** Free room of an executor that may be given work. */
export type FreeRoom = {
	readonly free: Resources;
	readonly labels: readonly string[];
};

/** Expectations of one service; cpu in thousandths of a core. */
export type QueueOutlook = {
	/** Monotonic time at which it was made, in milliseconds. */
	readonly madeAt: number;
	readonly takenOverAt: number;
	/** Whether executors and their capacities are known well enough. */
	readonly isCertain: boolean;
	/**
	 * Whether learned run times replace declared ones: then they decide the order
	 * of jobs, and it changes as they do.
	 */
	readonly areRunTimesLearned: boolean;
	/** Capacity of the executors that may be given work. */
	readonly capacityCpu: number;
	/** Capacity of the service's other executors, which may recover any time. */
	readonly recoverableCpu: number;
	/** Capacity of the machines that may still be moved to the service. */
	readonly movableCpu: number;
	readonly held: readonly HeldRoom[];
	readonly rooms: readonly FreeRoom[];
	/** At least the lowest work that waits, in cpu-milliseconds. */
	readonly waitingLowWork: number;
	/** Absent while `waitingLowWork` is too little to delay a job for long. */
	readonly waiting: readonly WaitingWork[] | undefined;
	/** Whether in-time work waits that fits on no executor now. */
	readonly doesInTimeWorkWait: boolean;
	readonly teamRates: ReadonlyMap<string, TeamRate>;
	readonly sharesRoomBetweenTeams: boolean;
};

/** Times of ends are rounded down to it, so that few entries remain. */
const heldStepMs = 100;

/** A team with at most as many tokens may use up its rate while it applies. */
const fewTokens = 2;

const sumCpu = (executors: readonly Executor[]): number =>
	executors.reduce((sum, {listed}) => sum + listed.capacity.cpuMillis, 0);

/** Lowest time that a run still holds its room, in milliseconds. */
const getLowRemainingMs = (
	{task, state, askedAt, percent}: Run,
	now: number,
) => {
	const {spec, occurrence} = task.step;
	const mayEndNow =
		// It may be cancelled at any time.
		spec.isLongRunning ||
		task.isDone ||
		occurrence.job.end !== undefined ||
		(state !== 'running' && state !== 'asked');
	if (mayEndNow) {
		return 0;
	}

	const lowMs = getLowTaskMs(spec);
	return Math.max(
		0,
		Math.min(lowMs - (now - askedAt), lowMs * (1 - percent / 100)),
	);
};

const listHeld = (
	executors: readonly Executor[],
	now: number,
): readonly HeldRoom[] => {
	const cpuByStep = new Map<number, number>();
	for (const {runs} of executors) {
		for (const run of runs.values()) {
			const {spec} = run.task.step;
			const step = Math.floor(getLowRemainingMs(run, now) / heldStepMs);
			if (step > 0 && !spec.fillsIdleCapacity) {
				const {cpuMillis} = spec.resources;
				cpuByStep.set(step, (cpuByStep.get(step) ?? 0) + cpuMillis);
			}
		}
	}

	return [...cpuByStep].map(([step, cpuMillis]) => ({
		cpuMillis,
		forMs: step * heldStepMs,
	}));
};

/** Whether tasks of a step can start wherever there is room for them. */
const startsAnywhere = (step: Step): boolean => {
	const {spec} = step;
	return (
		!spec.isGang &&
		!spec.needsSameRack &&
		!spec.fillsIdleCapacity &&
		!spec.isLongRunning &&
		spec.requiredLabel === undefined &&
		spec.maxPerExecutor === undefined &&
		!needsAdvice(step)
	);
};

const describeWaiting = (
	owner: Owner,
	job: Job,
	{now, epochNow}: PresentTimes,
): WaitingWork | undefined => {
	const {accepted} = job;
	if (accepted.spec.schedule !== undefined || isLongRunningJob(job)) {
		return undefined;
	}

	let lowWork = 0;
	const demand = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			const count =
				isStepReady(step) && startsAnywhere(step)
					? step.tasks.filter(
							(task) =>
								isWaiting(task) &&
								isLocationKnown(owner, task) &&
								!isCrashSuspect(task),
						).length
					: 0;
			const {cpuMillis, memoryMb, accelerators} = step.spec.resources;
			if (count > 0) {
				lowWork += count * cpuMillis * getLowTaskMs(step.spec);
				demand.cpuMillis = Math.max(demand.cpuMillis, cpuMillis);
				demand.memoryMb = Math.max(demand.memoryMb, memoryMb);
				demand.accelerators = Math.max(demand.accelerators, accelerators);
			}
		}
	}

	if (lowWork === 0) {
		return undefined;
	}

	const {team, policy} = accepted;
	const objectiveMs = getObjectiveMs(owner, job, now);
	const expectedMs =
		epochNow -
		accepted.acceptedAtEpochMs +
		getRemainingCriticalPathMs(owner, job, now);
	return {
		queue: policy.queue,
		team,
		priority: policy.priority,
		isBeyondRate: job.isBeyondRate,
		remainingWork: job.remainingWork,
		inTimeMs: objectiveMs - expectedMs,
		usefulMs: lateUntilFactor * objectiveMs - expectedMs,
		lowWork,
		demand,
		isCapped: team !== undefined && owner.capLimits.has(team),
	};
};

/** Lists the waiting work; takes as long as a plan. */
export const listWaitingWork = (
	owner: Owner,
	times: PresentTimes,
): readonly WaitingWork[] =>
	[...owner.openJobs].flatMap(
		(job) => describeWaiting(owner, job, times) ?? [],
	);

/** Bound on the lowest work that waits, in cpu-milliseconds. */
const sumLowWork = ({openJobs}: Owner): number => {
	let work = 0;
	for (const job of openJobs) {
		work += job.remainingWork;
	}

	return work * getLowTaskMs({estimateMs: 1});
};

/** Whether a step's next task fits on an executor, though on none now. */
const waitsForRoom = (usable: readonly Executor[], step: Step): boolean => {
	let isHeldBySome = false;
	for (const each of usable) {
		if (couldHold(each, step) && mayTakeTaskOf(step, each)) {
			if (hasRoom(each, step)) {
				return false;
			}

			isHeldBySome = true;
		}
	}

	return isHeldBySome;
};

/** Whether work waits for room that is still in time, and not for its cap. */
const doesInTimeWorkWait = (
	owner: Owner,
	usable: readonly Executor[],
	times: PresentTimes,
): boolean => {
	const use = computeTeamUse(owner);
	for (const job of owner.openJobs) {
		if (isLongRunningJob(job) || isLate(owner, job, times)) {
			continue;
		}

		for (const {steps} of job.occurrences.values()) {
			for (const step of steps) {
				const task = isStepReady(step)
					? step.tasks.find((each) => isWaiting(each))
					: undefined;
				const isWaitingForRoom =
					task !== undefined &&
					mayTeamStart(owner, use, task) &&
					waitsForRoom(usable, step);
				if (isWaitingForRoom) {
					return true;
				}
			}
		}
	}

	return false;
};

const areExecutorsKnown = (owner: Owner): boolean =>
	owner.areListingsRecent &&
	owner.unresolvedExecutors.size === 0 &&
	owner.executors.size > 0 &&
	[...owner.executors.values()].every(
		({isListed, isAdopted}) => isAdopted || !isListed,
	);

/**
 * Makes the outlook of a service. `fleetCpu` is the largest capacity of all
 * executors of the deployment in the recent past, in thousandths of a core.
 */
export const makeQueueOutlook = (
	owner: Owner,
	fleetCpu: number,
	now: number,
	epochNow: number,
): QueueOutlook => {
	const all = [...owner.executors.values()];
	const usable = listUsable(owner, now);
	const capacityCpu = sumCpu(usable);
	const serviceCpu = sumCpu(all);
	const teamRates = describeTeamRates(owner, now);
	const isRateShort = [...teamRates.values()].some(
		({tokens}) => tokens < fewTokens,
	);
	return {
		madeAt: now,
		takenOverAt: owner.takenOverAt,
		isCertain: areExecutorsKnown(owner),
		areRunTimesLearned: owner.runTimes.inForce > 0,
		capacityCpu,
		recoverableCpu: serviceCpu - capacityCpu,
		movableCpu: Math.max(0, fleetCpu - serviceCpu),
		held: listHeld(usable, now),
		rooms: usable.map((each) => ({
			free: getFree(each),
			labels: each.listed.labels,
		})),
		waitingLowWork: sumLowWork(owner),
		waiting: undefined,
		doesInTimeWorkWait:
			isRateShort && doesInTimeWorkWait(owner, usable, {now, epochNow}),
		teamRates,
		sharesRoomBetweenTeams: owner.cfg.sharesRoomBetweenTeams,
	};
};
