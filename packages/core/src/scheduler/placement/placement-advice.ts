/**
 * Placement advice. Steps of some queues may only run on executors that the
 * advice service names, each with a ticket. The set of named executors does
 * not change, but tickets expire.
 */
import type {Executor} from '../state/executor.js';
import type {Owner, StepAdvice} from '../state/owner-state.js';
import type {Step} from '../state/task.js';

/** A request to the advice service. */
export type AdviceRequest = {
	readonly stepId: string;
	readonly executorIds: readonly string[];
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
		tickets: new Map<string, string>(),
		rejectedExecutors: new Set<string>(),
		validUntil: 0,
		isRequestPending: false,
		retryAt: 0,
	};
	owner.advice.set(stepId, advice);
	return advice;
};

const isValid = ({validUntil}: StepAdvice, now: number): boolean =>
	now + ticketMarginMs < validUntil;

/** Returns the valid ticket of a step for an executor, if any. */
export const findTicket = (
	owner: Owner,
	step: Step,
	executorId: string,
	now: number,
): string | undefined => {
	const advice = owner.advice.get(getStepId(step));
	return advice && isValid(advice, now)
		? advice.tickets.get(executorId)
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
		? executors.filter(({id}) => findTicket(owner, step, id, now) !== undefined)
		: executors;

/**
 * Returns the next request for a step and marks it as pending; `undefined` if
 * none is needed now.
 */
export const prepareAdviceRequest = (
	owner: Owner,
	step: Step,
	executors: readonly Executor[],
	now: number,
): AdviceRequest | undefined => {
	const advice = getOrCreateAdvice(owner, step);
	if (advice.isRequestPending || now < advice.retryAt) {
		return undefined;
	}

	const isFresh = isValid(advice, now);
	const unknown = executors.filter(
		({id}) =>
			!advice.rejectedExecutors.has(id) && !(isFresh && advice.tickets.has(id)),
	);
	if (unknown.length === 0) {
		return undefined;
	}

	advice.isRequestPending = true;
	const executorIds = unknown
		.slice(0, maxExecutorsPerRequest)
		.map(({id}) => id);
	return {stepId: getStepId(step), executorIds};
};

/** Applies the answer to a request; `undefined` means that there was none. */
export const applyAdvice = (
	owner: Owner,
	request: AdviceRequest,
	answer: Advice | undefined,
	now: number,
): void => {
	const advice = owner.advice.get(request.stepId);
	if (!advice) {
		return;
	}

	advice.isRequestPending = false;
	if (!answer) {
		advice.retryAt = now + retryMs;
		return;
	}

	if (!isValid(advice, now)) {
		advice.tickets.clear();
	}

	const named = new Map(answer.tickets);
	for (const id of request.executorIds) {
		const ticket = named.get(id);
		if (ticket === undefined) {
			advice.rejectedExecutors.add(id);
		} else {
			advice.tickets.set(id, ticket);
		}
	}

	// All tickets share the earliest expiry.
	const validUntil = now + answer.validMs;
	advice.validUntil = isValid(advice, now)
		? Math.min(advice.validUntil, validUntil)
		: validUntil;
};

/** Forgets the advice on an executor, which holds for one incarnation. */
export const forgetTickets = (owner: Owner, executorId: string): void => {
	for (const {tickets, rejectedExecutors} of owner.advice.values()) {
		tickets.delete(executorId);
		rejectedExecutors.delete(executorId);
	}
};

/** Drops a ticket that an executor refused, so that a new one is requested. */
export const dropTicket = (
	owner: Owner,
	step: Step,
	executorId: string,
): void => {
	owner.advice.get(getStepId(step))?.tickets.delete(executorId);
};
