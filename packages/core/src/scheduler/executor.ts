/** Executors of a service as the owner of the service holds them. */
import {
	isCertainlyPast,
	pickLatestReading,
	estimateRemoteTime,
	type RemoteClock,
} from './remote-clock.js';
import type {Run, Step} from './task.js';
import type {ListedExecutor, Resources} from './types.js';

/** An end whose acknowledgement waits for the store. */
export type UnackedEnd = {
	readonly number: number;
	/** The flush that must be stored before it may be acknowledged. */
	readonly flushNumber: number;
};

/** Why an executor is being emptied. */
export type Evacuation = {
	/** It is over unless it is asked for again before. */
	readonly validUntil: number;
	/** From then on, runs are stopped rather than waited for. */
	readonly stopFrom: number;
};

/** One life of an executor. */
export type Executor = {
	readonly id: string;
	listed: ListedExecutor;
	/** False once the registry has dropped it. */
	isListed: boolean;
	/** The registry has dropped it; one that was inherited may not be read yet. */
	wasUnlisted: boolean;
	/** It has answered a look that carried this owner's fencing token. */
	isAdopted: boolean;
	/** The store says that runs may be here. */
	isRostered: boolean;
	/** Since when it has left calls unanswered; absent while it answers. */
	unresponsiveSince: number | undefined;
	/** Its mark in the roster: since when nothing is granted there. */
	suspectedSince: number | undefined;
	/** The store has the mark, or may have it. */
	isSuspicionSent: boolean;
	clock: RemoteClock | undefined;
	/** Latest lease end sent, by the executor's clock, answered or not. */
	grantedUntil: number;
	readonly runs: Map<string, Run>;
	used: Resources;
	/** Runs of no known job; what room they take is not known. */
	orphanedRunCount: number;
	/** Number of the last end that was taken in. */
	lastEndNumber: number;
	unackedEnds: UnackedEnd[];
	acknowledgedUpto: number;
	/** Its last look listed ends: it waits for their acknowledgement. */
	hasListedEnds: boolean;
	evacuation: Evacuation | undefined;
	/** Failed runs in a row. */
	consecutiveFailures: number;
	quarantinedUntil: number;
};

const nothingUsed: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** An executor that was just listed. */
export const createExecutor = (listed: ListedExecutor): Executor => ({
	id: listed.id,
	listed,
	isListed: true,
	wasUnlisted: false,
	isAdopted: false,
	isRostered: false,
	unresponsiveSince: undefined,
	suspectedSince: undefined,
	isSuspicionSent: false,
	clock: undefined,
	grantedUntil: 0,
	runs: new Map(),
	used: nothingUsed,
	orphanedRunCount: 0,
	lastEndNumber: 0,
	unackedEnds: [],
	acknowledgedUpto: 0,
	hasListedEnds: false,
	evacuation: undefined,
	consecutiveFailures: 0,
	quarantinedUntil: 0,
});

/** Key of a run among those of one executor. */
export const getRunKey = (taskId: string, run: number): string =>
	`${taskId}/${run}`;

/** What a run takes; cpu of one that fills is not counted. */
export const getDemand = ({spec}: Step): Resources =>
	spec.fillsIdleCapacity ? {...spec.resources, cpuMillis: 0} : spec.resources;

const addResources = (
	used: Resources,
	added: Resources,
	sign: 1 | -1,
): Resources => ({
	cpuMillis: used.cpuMillis + sign * added.cpuMillis,
	memoryMb: used.memoryMb + sign * added.memoryMb,
	accelerators: used.accelerators + sign * added.accelerators,
});

/** Notes a run, which takes room from now on. */
export const addRun = (executor: Executor, run: Run): void => {
	executor.runs.set(getRunKey(run.task.id, run.number), run);
	executor.used = addResources(executor.used, getDemand(run.task.step), 1);
	run.task.runs.push(run);
};

/** Drops a run that is certainly not there any more. */
export const removeRun = (executor: Executor, run: Run): void => {
	if (!executor.runs.delete(getRunKey(run.task.id, run.number))) {
		return;
	}

	executor.used = addResources(executor.used, getDemand(run.task.step), -1);
	run.task.runs = run.task.runs.filter((each) => each !== run);
};

/** Room that is left. */
export const getFree = ({listed, used}: Executor): Resources =>
	addResources(listed.capacity, used, -1);

/** Whether one more task of a step fits. */
export const hasRoom = (executor: Executor, step: Step): boolean => {
	const free = getFree(executor);
	const wanted = getDemand(step);
	return (
		wanted.cpuMillis <= free.cpuMillis &&
		wanted.memoryMb <= free.memoryMb &&
		wanted.accelerators <= free.accelerators
	);
};

/** Whether an executor of this size, empty, could hold a task of a step. */
export const couldHold = ({listed}: Executor, {spec}: Step): boolean => {
	const {capacity, labels} = listed;
	const {resources, requiredLabel} = spec;
	return (
		resources.cpuMillis <= capacity.cpuMillis &&
		resources.memoryMb <= capacity.memoryMb &&
		resources.accelerators <= capacity.accelerators &&
		(requiredLabel === undefined || labels.includes(requiredLabel))
	);
};

const rackPattern = /^r\d/v;

/** The rack label, such as `r1-2`, if there is one. */
export const getRack = ({listed}: Executor): string | undefined =>
	listed.labels.find((label) => rackPattern.test(label));

/** Why an executor is given no new work, or that it may be. */
export type Readiness =
	| 'usable'
	| 'unlisted'
	| 'draining'
	| 'silent'
	| 'not-adopted'
	| 'not-rostered'
	| 'strays'
	| 'evacuating'
	| 'resting';

/** The first reason that holds; asked of each executor in each plan. */
export const getReadiness = (executor: Executor, now: number): Readiness => {
	if (!executor.isListed) {
		return 'unlisted';
	}

	if (executor.listed.isDraining) {
		return 'draining';
	}

	if (executor.unresponsiveSince !== undefined) {
		return 'silent';
	}

	if (!executor.isAdopted) {
		return 'not-adopted';
	}

	if (!executor.isRostered) {
		return 'not-rostered';
	}

	if (executor.orphanedRunCount > 0) {
		return 'strays';
	}

	if (executor.evacuation !== undefined) {
		return 'evacuating';
	}

	return executor.quarantinedUntil > now ? 'resting' : 'usable';
};

/** Whether an executor may be given new work at all. */
export const isUsable = (executor: Executor, now: number): boolean =>
	getReadiness(executor, now) === 'usable';

/** Notes a reading of the executor's clock. */
export const recordClockReading = (
	executor: Executor,
	reportedMs: number,
	receivedAt: number,
): void => {
	executor.clock = pickLatestReading(executor.clock, {reportedMs, receivedAt});
};

/** The lease end to grant now, in whole milliseconds of its clock. */
export const grantLease = (
	executor: Executor,
	leaseMs: number,
	now: number,
): number | undefined => {
	if (!executor.clock) {
		return undefined;
	}

	const until = Math.floor(estimateRemoteTime(executor.clock, now) + leaseMs);
	executor.grantedUntil = Math.max(executor.grantedUntil, until);
	return until;
};

/** Whether all that this owner started there has certainly lapsed. */
export const haveLeasesExpired = (executor: Executor, now: number): boolean =>
	executor.clock !== undefined &&
	isCertainlyPast(executor.clock, executor.grantedUntil, now);
