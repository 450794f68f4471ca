/**
 * Placement advice. Steps of some queues may only run on executors that the
 * advice service names, each with a ticket. The set of named executors does
 * not change, but tickets expire. Advice holds for one incarnation of an
 * executor.
 */
import {
	couldHold,
	describeIncarnation,
	getRack,
	type Executor,
} from '../state/executor.js';
import {isSameIncarnation} from '../state/incarnation.js';
import type {
	AdviceWish,
	ExecutorAdvice,
	Owner,
	StepAdvice,
} from '../state/owner-state.js';
import {isWaiting, type Occurrence, type Step} from '../state/task.js';
import type {AdviceCost} from '../state/types.js';
import {countFitting} from './place-task.js';

/** A request to the advice service. */
export type AdviceRequest = {
	readonly stepId: string;
	readonly executorIds: readonly string[];
	/** Time that the service takes for it, as far as known, in milliseconds. */
	readonly costMs: number;
};

/** Answer of the advice service: the named executors with their tickets. */
export type Advice = {
	readonly tickets: ReadonlyArray<
		readonly [executorId: string, ticket: string]
	>;
	readonly validMs: number;
};

/** Limit per request, since the service takes time for each executor. */
const maxExecutorsPerRequest = 30;

/** Requests that one plan wants: more than are sent before the next one. */
const maxWishes = 100;

/** Executors asked for in proportion to the tasks that wait. */
const spareFactor = 2;

/** By how much longer than the next priority one waits, in milliseconds. */
const priorityStepMs = 4000;

/** Which executors to ask for first. */
const rankWeights = {hasRoom: 4, wasNamed: 2, nearData: 1} as const;

/** Where a queue does not say. */
const unknownCost: AdviceCost = {decisionMs: 0, eachMs: 0};

const getCost = ({job}: Occurrence): AdviceCost =>
	job.accepted.policy.adviceCost ?? unknownCost;

/** A ticket with less time left than this is not used, in milliseconds. */
const ticketMarginMs = 200;

/** Delay after a request without an answer, in milliseconds. */
const retryMs = 300;

/** Returns the id of a step, unique across queues. */
export const getStepId = ({occurrence, number}: Step): string =>
	`${occurrence.job.accepted.id}.${occurrence.number}.${number}`;

/** Whether the queue of a step requires placement advice. */
export const needsAdvice = ({occurrence}: Step): boolean =>
	occurrence.job.accepted.policy.needsAdvice;

const getOrCreateAdvice = (owner: Owner, step: Step): StepAdvice => {
	const stepId = getStepId(step);
	const advice = owner.advice.get(stepId) ?? {
		executors: new Map<string, ExecutorAdvice>(),
		validUntil: 0,
		pending: new Map<string, number | undefined>(),
		pendingRequests: 0,
		isOverdue: false,
		wantedSince: undefined,
		retryAt: 0,
	};
	owner.advice.set(stepId, advice);
	return advice;
};

const isValid = ({validUntil}: StepAdvice, now: number): boolean =>
	now + ticketMarginMs < validUntil;

const findAdvice = (
	{executors}: StepAdvice,
	executor: Executor,
): ExecutorAdvice | undefined => {
	const advice = executors.get(executor.id);
	const {startedAtEpochMs} = describeIncarnation(executor);
	return advice && isSameIncarnation(advice.startedAtEpochMs, startedAtEpochMs)
		? advice
		: undefined;
};

/** Returns the valid ticket of a step for an executor, if any. */
export const findTicket = (
	owner: Owner,
	step: Step,
	executor: Executor,
	now: number,
): string | undefined => {
	const advice = owner.advice.get(getStepId(step));
	return advice && isValid(advice, now)
		? findAdvice(advice, executor)?.ticket
		: undefined;
};

/** Lists those of the given executors that may run a step now. */
export const listAdvisedExecutors = (
	owner: Owner,
	step: Step,
	executors: readonly Executor[],
	now: number,
): readonly Executor[] =>
	needsAdvice(step)
		? executors.filter(
				(each) => findTicket(owner, step, each, now) !== undefined,
			)
		: executors;

/** Waiting tasks that the executors with a valid ticket have room for. */
const countCovered = (
	advice: StepAdvice,
	step: Step,
	executors: readonly Executor[],
	now: number,
): number => {
	if (!isValid(advice, now)) {
		return 0;
	}

	let covered = 0;
	for (const executor of executors) {
		if (findAdvice(advice, executor)?.ticket !== undefined) {
			covered += countFitting(executor, step);
		}
	}

	return covered;
};

/**
 * Number of executors to name. Each costs time, so that few are asked for few
 * tasks; as many as take no longer than the decision itself cost little.
 */
const getRequestSize = ({spec, occurrence}: Step, waiting: number): number => {
	const {decisionMs, eachMs} = getCost(occurrence);
	const cheap = eachMs > 0 ? Math.floor(decisionMs / eachMs) : Infinity;
	const wanted = spec.isGang ? Infinity : spareFactor * waiting;
	return Math.min(maxExecutorsPerRequest, Math.max(1, wanted, cheap));
};

/**
 * Whether advice is of use while no executor has room: tickets would expire, but
 * which executors may run the step is worth knowing, and long-running tasks
 * preempt others there.
 */
const isOfUseWithoutRoom = ({executors}: StepAdvice, {spec}: Step): boolean =>
	spec.isLongRunning || executors.size === 0;

/** Records that a plan wants advice on a step, if a request is of use now. */
export const wishForAdvice = (
	owner: Owner,
	step: Step,
	executors: readonly Executor[],
	now: number,
): void => {
	const advice = getOrCreateAdvice(owner, step);
	const isPending = advice.pendingRequests > 0 && !advice.isOverdue;
	const isEnough = owner.adviceWishes.size >= maxWishes;
	if (isPending || isEnough || now < advice.retryAt) {
		return;
	}

	const waiting = step.tasks.filter((task) => isWaiting(task)).length;
	const isCovered =
		!step.spec.isGang && countCovered(advice, step, executors, now) >= waiting;
	if (isCovered) {
		return;
	}

	const isFresh = isValid(advice, now);
	const candidates = executors.filter((each) => {
		const known = findAdvice(advice, each);
		return (
			couldHold(each, step) &&
			(!known || (known.ticket !== undefined && !isFresh))
		);
	});
	const fitting = new Set(
		candidates.filter((each) => countFitting(each, step) > 0),
	);
	const hasRoom = fitting.size > 0;
	const isUseful = hasRoom || isOfUseWithoutRoom(advice, step);
	if (candidates.length === 0 || !isUseful) {
		return;
	}

	advice.wantedSince ??= now;
	const getRank = (executor: Executor): number =>
		(fitting.has(executor) ? rankWeights.hasRoom : 0) +
		(findAdvice(advice, executor) ? rankWeights.wasNamed : 0) +
		(getRack(executor) === step.spec.preferredRack ? rankWeights.nearData : 0);
	owner.adviceWishes.set(step, {
		step,
		executors: candidates
			.toSorted((one, two) => getRank(two) - getRank(one))
			.slice(0, getRequestSize(step, waiting)),
		wantedSince: advice.wantedSince,
		hasRoom,
	});
};

/**
 * When a wish counts as wanted: lower priorities wait longer, but not for ever
 * behind others.
 */
const getUrgency = ({step, wantedSince}: AdviceWish): number =>
	wantedSince + step.occurrence.job.accepted.policy.priority * priorityStepMs;

/** Compares wishes: those that can start now first, then the oldest. */
export const compareWishes = (one: AdviceWish, two: AdviceWish): number =>
	Number(two.hasRoom) - Number(one.hasRoom) ||
	getUrgency(one) - getUrgency(two);

/** Whether a step waits for advice: no usable executor has a valid ticket. */
export const isAdviceMissing = (
	owner: Owner,
	step: Step,
	usable: readonly Executor[],
	now: number,
): boolean =>
	needsAdvice(step) &&
	usable.length > 0 &&
	listAdvisedExecutors(owner, step, usable, now).length === 0;

const isStillWanted = ({step}: AdviceWish): boolean =>
	!step.occurrence.job.end && step.tasks.some((task) => isWaiting(task));

/** Returns the most urgent wish of an owner whose tasks still wait. */
export const findAdviceWish = ({adviceWishes}: Owner): AdviceWish | undefined =>
	[...adviceWishes.values()]
		.filter((wish) => isStillWanted(wish))
		.toSorted((one, two) => compareWishes(one, two))[0];

/** Returns the request of a wish, which counts as pending from now on. */
export const takeAdviceRequest = (
	owner: Owner,
	wish: AdviceWish,
): AdviceRequest => {
	const {step, executors} = wish;
	owner.adviceWishes.delete(step);
	const advice = getOrCreateAdvice(owner, step);
	advice.pendingRequests += 1;
	advice.isOverdue = false;
	for (const each of executors) {
		advice.pending.set(each.id, describeIncarnation(each).startedAtEpochMs);
	}

	const {decisionMs, eachMs} = getCost(step.occurrence);
	return {
		stepId: getStepId(step),
		executorIds: executors.map(({id}) => id),
		costMs: decisionMs + eachMs * executors.length,
	};
};

/** Lets a step be asked for again whose request takes longer than expected. */
export const noteAdviceOverdue = (
	owner: Owner,
	{stepId}: Pick<AdviceRequest, 'stepId'>,
): void => {
	const advice = owner.advice.get(stepId);
	if (advice) {
		advice.isOverdue = true;
	}
};

/** Applies the answer to a request; `undefined` means that there was none. */
export const applyAdvice = (
	owner: Owner,
	request: Pick<AdviceRequest, 'stepId' | 'executorIds'>,
	answer: Advice | undefined,
	now: number,
): void => {
	const advice = owner.advice.get(request.stepId);
	if (!advice) {
		return;
	}

	const {executors, pending} = advice;
	const asked = request.executorIds.filter((id) => pending.has(id));
	const incarnations = new Map(asked.map((id) => [id, pending.get(id)]));
	advice.pendingRequests = Math.max(0, advice.pendingRequests - 1);
	if (advice.pendingRequests === 0) {
		pending.clear();
	}

	if (!answer) {
		advice.retryAt = now + retryMs;
		return;
	}

	advice.wantedSince = undefined;
	if (!isValid(advice, now)) {
		for (const [id, {ticket}] of executors) {
			if (ticket !== undefined) {
				executors.delete(id);
			}
		}
	}

	const tickets = new Map(answer.tickets);
	for (const [id, startedAtEpochMs] of incarnations) {
		executors.set(id, {startedAtEpochMs, ticket: tickets.get(id)});
	}

	// All tickets share the earliest expiry.
	const validUntil = now + answer.validMs;
	advice.validUntil = isValid(advice, now)
		? Math.min(advice.validUntil, validUntil)
		: validUntil;
};

/**
 * Forgets the advice on an executor that has started again, also if its start
 * is not reported.
 */
export const forgetTickets = (owner: Owner, executorId: string): void => {
	for (const {executors, pending} of owner.advice.values()) {
		executors.delete(executorId);
		pending.delete(executorId);
	}
};

/** Drops a ticket that an executor refused, so that a new one is requested. */
export const dropTicket = (
	owner: Owner,
	step: Step,
	executorId: string,
): void => {
	owner.advice.get(getStepId(step))?.executors.delete(executorId);
};
