/** What the owner of a service orders next. */
import {
	findTicket,
	listAdvisedExecutors,
	needsAdvice,
	prepareAdviceRequest,
	type AdviceRequest,
} from './placement-advice.js';
import {
	expireEvacuations,
	listEvacuationStops,
	mayStopLongRunning,
} from './evacuation.js';
import {
	addRun,
	removeRun,
	getRack,
	grantLease,
	type Executor,
} from './executor.js';
import {
	createRejectedDemands,
	isKnownNotToFit,
	recordRejectedDemand,
	type RejectedDemands,
} from './rejected-demands.js';
import {isLocationKnown} from './owner.js';
import type {Owner} from './owner-state.js';
import {findEviction, listUsable, placeTask} from './place-task.js';
import {rankJobs, type RankedJob} from './rank.js';
import {countAvailableStarts} from './start-window.js';
import {
	createRun,
	isStepReady,
	isWaiting,
	type Run,
	type Step,
	type Task,
} from './task.js';

/** Why a run is stopped. */
export type StopReason =
	| 'job-ended'
	| 'task-done'
	| 'duplicate'
	| 'unanswered-start'
	| 'hung'
	| 'evacuation'
	| 'preempted'
	| 'executor-draining';

/** An order to an executor. */
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
	  }
	| ({readonly kind: 'advise'} & AdviceRequest);

type StartOrder = Extract<Command, {readonly kind: 'start'}>;

/** Room for so many runs of one task under one owner. */
const runsPerToken = 10_000;

/** Numbers rise over all owners of a task, since fencing tokens do. */
const nextRunNumber = (owner: Owner, task: Task): number =>
	Math.max(task.lastRun, owner.token * runsPerToken) + 1;

const stopRun = (
	executor: Executor,
	run: Run,
	reason: StopReason,
): Command | undefined => {
	if (run.isStopPending) {
		return undefined;
	}

	run.isStopPending = true;
	run.state = run.confirmedAt === undefined ? 'barring' : 'stopping';
	return {kind: 'stop', executor, run, reason};
};

const isHung = (owner: Owner, run: Run, now: number): boolean => {
	const {hangFactor, hangMs, startupLimitMs} = owner.cfg;
	const {spec} = run.task.step;
	if (run.state !== 'running' || spec.isGang) {
		return false;
	}

	if (spec.isLongRunning) {
		return run.percent < 100 && now - run.askedAt > startupLimitMs;
	}

	return (
		now - run.askedAt > hangFactor * spec.estimateMs &&
		now - run.progressedAt > hangMs &&
		run.percent < 100
	);
};

const isDuplicate = ({task, number}: Run): boolean =>
	!task.step.spec.allowsCopies &&
	task.runs.some((other) => other.number > number);

const findStopReason = (
	owner: Owner,
	run: Run,
	now: number,
): StopReason | undefined => {
	const {task} = run;
	if (task.step.occurrence.job.end) {
		return 'job-ended';
	}

	if (task.isDone) {
		return 'task-done';
	}

	if (isDuplicate(run)) {
		return 'duplicate';
	}

	if (run.state === 'unsettled') {
		return 'unanswered-start';
	}

	return isHung(owner, run, now) ? 'hung' : undefined;
};

const isStoppable = ({state}: Run): boolean =>
	state === 'running' || state === 'unsettled';

const leavesSoon = ({listed}: Executor, run: Run): boolean =>
	listed.isDraining &&
	run.task.step.spec.isLongRunning &&
	mayStopLongRunning(run.task);

const planStops = (owner: Owner, now: number): readonly Command[] => {
	const orders: Command[] = [];
	const add = (order: Command | undefined) => {
		if (order) {
			orders.push(order);
		}
	};

	for (const executor of owner.executors.values()) {
		// A silent executor is asked again once it has answered a look.
		if (executor.unresponsiveSince !== undefined) {
			continue;
		}

		for (const run of executor.runs.values()) {
			const reason = isStoppable(run)
				? findStopReason(owner, run, now)
				: undefined;
			add(reason && stopRun(executor, run, reason));
		}

		for (const run of listEvacuationStops(owner, executor, now)) {
			add(stopRun(executor, run, 'evacuation'));
		}

		for (const run of executor.runs.values()) {
			if (isStoppable(run) && leavesSoon(executor, run)) {
				add(stopRun(executor, run, 'executor-draining'));
			}
		}
	}

	return orders;
};

type Planning = {
	readonly owner: Owner;
	readonly now: number;
	readonly usable: readonly Executor[];
	readonly orders: Command[];
	/** What no usable executor has room for any more. */
	readonly full: RejectedDemands;
	/** Starts that may still be ordered, by the owner's window. */
	startsLeft: number;
};

const startTask = (
	planning: Planning,
	executor: Executor,
	task: Task,
	number: number,
): StartOrder | undefined => {
	const {owner, now} = planning;
	const leaseEndMs = grantLease(executor, owner.cfg.taskLeaseMs, now);
	if (leaseEndMs === undefined) {
		return undefined;
	}

	planning.startsLeft -= 1;
	const run = createRun(task, number, executor.id, now);
	task.lastRun = number;
	addRun(executor, run);
	const ticket = needsAdvice(task.step)
		? findTicket(owner, task.step, executor.id, now)
		: undefined;
	return {kind: 'start', executor, run, leaseEndMs, ticket};
};

const evictFor = ({usable, orders}: Planning, task: Task): void => {
	for (const run of findEviction(usable, task)) {
		const executor = usable.find(({id}) => id === run.executorId);
		const order = executor && stopRun(executor, run, 'preempted');
		if (order) {
			orders.push(order);
		}
	}
};

/** Executors that may run a step; asks for advice where some are unknown. */
const listStepExecutors = (
	{owner, now, usable, orders}: Planning,
	step: Step,
): readonly Executor[] => {
	if (!needsAdvice(step) || !step.tasks.some((task) => isWaiting(task))) {
		return usable;
	}

	const request = prepareAdviceRequest(owner, step, usable, now);
	if (request) {
		orders.push({kind: 'advise', ...request});
	}

	return listAdvisedExecutors(owner, step, usable, now);
};

/** Starts what it can of a step, until the executors are full for it. */
const planStep = (planning: Planning, step: Step): void => {
	const {owner, orders, full} = planning;
	const isLasting = step.spec.isLongRunning;
	if (!isLasting && isKnownNotToFit(full, step)) {
		return;
	}

	const usable = listStepExecutors(planning, step);
	for (const task of step.tasks) {
		if (planning.startsLeft <= 0) {
			return;
		}

		if (!isWaiting(task) || !isLocationKnown(owner, task)) {
			continue;
		}

		const placement = placeTask(usable, task);
		if (placement.kind === 'refused') {
			if (placement.reason === 'noRoom' && isLasting) {
				evictFor(planning, task);
			}

			recordRejectedDemand(full, planning.usable, step);
			return;
		}

		const number = nextRunNumber(owner, task);
		const order = startTask(planning, placement.executor, task, number);
		if (order) {
			orders.push(order);
		}
	}
};

const isGangReady = (owner: Owner, step: Step): boolean =>
	step.tasks.every((task) => isWaiting(task) && isLocationKnown(owner, task));

const groupByRack = (
	executors: readonly Executor[],
): ReadonlyArray<readonly Executor[]> =>
	[...new Set(executors.map((each) => getRack(each)))].map((rack) =>
		executors.filter((each) => getRack(each) === rack),
	);

const listRackGroups = (
	usable: readonly Executor[],
	step: Step,
): ReadonlyArray<readonly Executor[]> =>
	step.spec.needsSameRack ? [...groupByRack(usable), usable] : [usable];

/** Starts all tasks of a gang with one run number, or none. */
const planGang = (planning: Planning, step: Step): void => {
	const {owner, orders, full} = planning;
	if (isKnownNotToFit(full, step) || !isGangReady(owner, step)) {
		return;
	}

	const number = Math.max(
		...step.tasks.map((task) => nextRunNumber(owner, task)),
	);
	const advised = listStepExecutors(planning, step);
	for (const group of listRackGroups(advised, step)) {
		const started: StartOrder[] = [];
		for (const task of step.tasks) {
			const placement = placeTask(group, task);
			const order =
				placement.kind === 'placed'
					? startTask(planning, placement.executor, task, number)
					: undefined;
			if (!order) {
				break;
			}

			started.push(order);
		}

		if (started.length === step.tasks.length) {
			orders.push(...started);
			return;
		}

		for (const {executor, run} of started) {
			removeRun(executor, run);
		}

		planning.startsLeft += started.length;
	}
};

const planJob = (planning: Planning, {job}: RankedJob): void => {
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			if (step.doneCount === step.spec.count || !isStepReady(step)) {
				continue;
			}

			if (step.spec.isGang) {
				planGang(planning, step);
			} else {
				planStep(planning, step);
			}
		}
	}
};

/** Starts that have been ordered and not answered. */
const countAsked = ({executors}: Owner): number => {
	let count = 0;
	for (const {runs} of executors.values()) {
		for (const {state} of runs.values()) {
			count += state === 'asked' ? 1 : 0;
		}
	}

	return count;
};

/** Plans the orders of this moment; runs are noted as asked for. */
export const planCommands = (
	owner: Owner,
	now: number,
	epochNow: number,
): readonly Command[] => {
	expireEvacuations(owner, now);
	const stops = planStops(owner, now);
	const usable = listUsable(owner, now);
	const full = createRejectedDemands();
	const planning: Planning = {
		owner,
		now,
		usable,
		orders: [...stops],
		full,
		startsLeft: countAvailableStarts(owner.startWindow, countAsked(owner)),
	};
	if (usable.length === 0 || planning.startsLeft === 0) {
		return planning.orders;
	}

	for (const ranked of rankJobs(owner, epochNow)) {
		if (planning.startsLeft <= 0) {
			break;
		}

		planJob(planning, ranked);
	}

	return planning.orders;
};
