/** Commands of a plan, and the steps that its parts share. */
import {
	findTicket,
	listAdvisedExecutors,
	needsAdvice,
	wishForAdvice,
} from '../placement/placement-advice.js';
import {addRun, describeIncarnation, type Executor} from '../state/executor.js';
import {noteRunOfSuspect} from '../polls/crash-suspects.js';
import {grantLease} from '../state/leases.js';
import type {Owner} from '../state/owner-state.js';
import {
	findEviction,
	placeTask,
	type Placement,
} from '../placement/place-task.js';
import {
	createRun,
	isWaiting,
	type Run,
	type Step,
	type Task,
} from '../state/task.js';
import {
	mayTeamStart,
	recordTeamUse,
	type TeamUse,
} from '../ranking/team-use.js';
import type {RejectedDemands} from './rejected-demands.js';
import {
	addPendingStart,
	getStartTurn,
	type PendingStarts,
} from './starts-left.js';

/** Reason for which a run is stopped. */
export type StopReason =
	| 'job-ended'
	| 'task-done'
	| 'duplicate'
	| 'unanswered-start'
	| 'hung'
	| 'gang-incomplete'
	| 'evacuation'
	| 'preempted'
	| 'executor-draining';

/** A command to an executor. */
export type Command =
	| {
			readonly kind: 'start';
			readonly executor: Executor;
			readonly run: Run;
			/** Lease end, by the executor's clock. */
			readonly leaseEndMs: number;
			readonly ticket: string | undefined;
	  }
	| {
			readonly kind: 'stop';
			readonly executor: Executor;
			readonly run: Run;
			readonly reason: StopReason;
	  };

/** A start of a run. */
export type StartCommand = Extract<Command, {readonly kind: 'start'}>;

/** Records a stop; `undefined` if one is under way already. */
export const stopRun = (
	executor: Executor,
	run: Run,
	reason: StopReason,
): Command | undefined => {
	if (run.isStopPending) {
		return undefined;
	}

	run.isStopPending = true;
	run.stopRaise = executor.tokenRaise;
	run.state = run.confirmedAt === undefined ? 'barring' : 'stopping';
	return {kind: 'stop', executor, run, reason};
};

/** A plan in progress. */
export type Planning = {
	readonly owner: Owner;
	readonly now: number;
	/** Executors that the rest of the plan may use. */
	usable: readonly Executor[];
	readonly commands: Command[];
	/** Demands that fit on none of the usable executors. */
	readonly rejected: RejectedDemands;
	/** What the teams use, starts of this plan included. */
	readonly teamUse: TeamUse;
	/** Number of starts that the start window still allows. */
	startsLeft: number;
	/** Starts of this plan included. */
	readonly pendingStarts: PendingStarts;
};

/** Selects one of the given executors for a start of a task. */
export const placeStart = (
	{pendingStarts}: Planning,
	executors: readonly Executor[],
	task: Task,
): Placement =>
	placeTask(executors, task, (each) => getStartTurn(pendingStarts, each));

/** Records a run and its lease; `undefined` while no lease can be granted. */
export const startTask = (
	planning: Planning,
	executor: Executor,
	task: Task,
	{number, isIsolated}: Pick<Run, 'number' | 'isIsolated'>,
): StartCommand | undefined => {
	const {owner, now} = planning;
	const leaseEndMs = grantLease(executor, owner.cfg.taskLeaseMs, now);
	if (leaseEndMs === undefined) {
		return undefined;
	}

	planning.startsLeft -= 1;
	addPendingStart(planning.pendingStarts, executor, 1);
	recordTeamUse(planning.teamUse, task);
	const run = createRun(task, number, executor.id, now);
	run.isIsolated = isIsolated;
	run.incarnation = describeIncarnation(executor);
	run.startRaise = executor.tokenRaise;
	task.lastRun = number;
	noteRunOfSuspect(owner, task);
	addRun(executor, run);
	const ticket = needsAdvice(task.step)
		? findTicket(owner, task.step, executor, now)
		: undefined;
	return {kind: 'start', executor, run, leaseEndMs, ticket};
};

/** Whether the cap of its team allows `count` tasks like this one to start. */
export const isWithinTeamCap = (
	{owner, teamUse}: Planning,
	task: Task,
	count = 1,
): boolean => mayTeamStart(owner, teamUse, task, count);

/** Keeps executors from the rest of the plan. */
export const reserveExecutors = (
	planning: Planning,
	executors: readonly Executor[],
): void => {
	planning.usable = planning.usable.filter((each) => !executors.includes(each));
};

/**
 * Stops the runs that make room for a task on one of the given executors, which
 * must be those that may run it. Until then the executor is kept free of other
 * starts, which would take the room piece by piece. Returns whether an executor
 * is being cleared.
 */
export const evictFor = (
	planning: Planning,
	executors: readonly Executor[],
	task: Task,
): boolean => {
	const eviction = findEviction(executors, task);
	if (!eviction) {
		return false;
	}

	for (const run of eviction.runs) {
		const command = stopRun(eviction.executor, run, 'preempted');
		planning.commands.push(...(command ? [command] : []));
	}

	reserveExecutors(planning, [eviction.executor]);
	return true;
};

/** Lists the executors that may run a step; wishes for missing advice. */
export const listStepExecutors = (
	{owner, now, usable}: Planning,
	step: Step,
): readonly Executor[] => {
	if (!needsAdvice(step) || !step.tasks.some((task) => isWaiting(task))) {
		return usable;
	}

	wishForAdvice(owner, step, usable, now);
	return listAdvisedExecutors(owner, step, usable, now);
};
