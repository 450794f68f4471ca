/**
 * Advice: on some queues only executors that an advice service names may run a
 * step, each with a ticket. Whom it names does not change; tickets expire.
 */
import type {Executor} from './executor.js';
import type {Owner, StepAdvice} from './owner-state.js';
import type {Step} from './task.js';

/** A question to the advice service. */
export type AdviceRequest = {
	readonly stepId: string;
	readonly executorIds: readonly string[];
};

/** Its answer: the executors named, with their tickets. */
export type Advice = {
	readonly tickets: ReadonlyArray<
		readonly [executorId: string, ticket: string]
	>;
	readonly validMs: number;
};

/**
 * Executors asked about at once: the service takes time for each, and what the
 * users count as usual is thirty.
 */
const maxAsked = 30;

/** Time left at which a ticket is no longer used, in milliseconds. */
const ticketMarginMs = 200;

/** Pause after a question without an answer, in milliseconds. */
const retryMs = 300;

/** Id of a step, unique over all queues. */
export const getStepId = ({occurrence, number}: Step): string =>
	`${occurrence.job.accepted.id}.${occurrence.number}.${number}`;

/** Whether the queue of a step needs advice. */
export const needsAdvice = ({occurrence}: Step): boolean =>
	occurrence.job.accepted.policy.needsAdvice;

const getAdvice = (owner: Owner, step: Step): StepAdvice => {
	const stepId = getStepId(step);
	const known = owner.advice.get(stepId) ?? {
		tickets: new Map<string, string>(),
		rejectedExecutors: new Set<string>(),
		validUntil: 0,
		isRequestPending: false,
		retryAt: 0,
	};
	owner.advice.set(stepId, known);
	return known;
};

const isValid = ({validUntil}: StepAdvice, now: number): boolean =>
	now + ticketMarginMs < validUntil;

/** The ticket for a step on an executor, if one is valid. */
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

/** Those of the executors that may run a step now. */
export const listAdvisedExecutors = (
	owner: Owner,
	step: Step,
	executors: readonly Executor[],
	now: number,
): readonly Executor[] =>
	needsAdvice(step)
		? executors.filter(({id}) => findTicket(owner, step, id, now) !== undefined)
		: executors;

/** The question that a step needs answered, if any. */
export const prepareAdviceRequest = (
	owner: Owner,
	step: Step,
	executors: readonly Executor[],
	now: number,
): AdviceRequest | undefined => {
	const advice = getAdvice(owner, step);
	if (advice.isRequestPending || now < advice.retryAt) {
		return undefined;
	}

	const isFresh = isValid(advice, now);
	const open = executors.filter(
		({id}) =>
			!advice.rejectedExecutors.has(id) && !(isFresh && advice.tickets.has(id)),
	);
	if (open.length === 0) {
		return undefined;
	}

	advice.isRequestPending = true;
	const executorIds = open.slice(0, maxAsked).map(({id}) => id);
	return {stepId: getStepId(step), executorIds};
};

/** Takes in an answer, or that none came. */
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

	// One time for all: the earliest end of any ticket held.
	const validUntil = now + answer.validMs;
	advice.validUntil = isValid(advice, now)
		? Math.min(advice.validUntil, validUntil)
		: validUntil;
};

/** An executor refused a ticket: it is asked about anew. */
export const dropTicket = (
	owner: Owner,
	step: Step,
	executorId: string,
): void => {
	owner.advice.get(getStepId(step))?.tickets.delete(executorId);
};
