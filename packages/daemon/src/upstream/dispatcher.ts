/**
 * Dispatches one admitted request: retries failed attempts and hedges
 * unresponsive ones, within the deadline and the retry budget.
 */
import {Readable} from 'node:stream';
import * as core from '@gullstand/core';
import * as attempts from './attempt.js';
import type {Attempt} from './attempt.js';
import type {Answer, ExchangeEnd} from './exchange.js';
import * as probes from './probe.js';
import * as healthRecord from './health-record.js';
import type {UpstreamState} from './state.js';
import * as targets from './target.js';
import type {AttemptResult, UpstreamRequest} from './types.js';

type AttemptError = Extract<
	core.attemptOutcome.AttemptOutcome,
	{kind: 'error'}
>;

/** State of a request that has been dispatched and not yet answered. */
export type ActiveRequest = {
	readonly state: UpstreamState;
	readonly req: UpstreamRequest;
	readonly resolve: (result: AttemptResult) => void;
	readonly activeAttempts: Set<Attempt>;
	readonly failures: AttemptError[];
	readonly history: targets.AttemptHistory;
	attempts: number;
	/** Ended attempts that sent no byte. */
	unsentAttempts: number;
	/** Start of the first attempt that became unresponsive. */
	unresponsiveSince: number | undefined;
	isCompleted: boolean;
	timer: NodeJS.Timeout | undefined;
	stopListening: (() => void) | undefined;
};

const complete = (active: ActiveRequest, result: AttemptResult): void => {
	active.isCompleted = true;
	clearTimeout(active.timer);
	active.stopListening?.();
	for (const each of active.activeAttempts) {
		attempts.abortAttempt(each);
	}

	active.activeAttempts.clear();
	active.resolve(result);
};

const completeWithError = (active: ActiveRequest): void => {
	const {error, outcome} = core.attemptOutcome.combineErrors(active.failures);
	complete(active, {kind: 'error', error, outcome, attempts: active.attempts});
};

const getRetryFacts = (
	active: ActiveRequest,
	target: targets.Target | undefined,
) => ({
	idempotent: active.req.repeatable,
	bodyReplayable: !(active.req.body instanceof Readable),
	attempts:
		active.attempts -
		Math.min(active.unsentAttempts, active.state.cfg.maxUnsentAttempts),
	maxAttempts: active.state.cfg.maxAttempts,
	deadline: active.req.deadline,
	expectedMs: active.state.serviceTime.meanMs,
	hasAlternative: target !== undefined,
});

const launch = (active: ActiveRequest, target: targets.Target): void => {
	const {state, req} = active;
	active.attempts += 1;
	state.stats.attempts += 1;
	active.history.tried.add(target.link.id);
	const {unresponsiveSince: suspectedAt} = active;
	const to = {...target, suspectedAt};
	const attempt = attempts.startAttempt(state, req, to, {
		onEnd(ended, end) {
			handleEnd(active, ended, end);
		},
		onUnresponsive(unresponsive) {
			handleUnresponsive(active, unresponsive);
		},
	});
	active.activeAttempts.add(attempt);
};

/** Starts another attempt if the decision allows it; true if started. */
const startIfAllowed = (
	active: ActiveRequest,
	decide: (facts: core.retry.RetryContext) => core.retry.RetryDecision,
): boolean => {
	const target = targets.acquireTarget(active.state, active.history);
	const decision = decide(getRetryFacts(active, target));
	if (decision.kind === 'retry' && target !== undefined) {
		launch(active, target);
		return true;
	}

	target?.slot.release(false);
	if (decision.kind === 'give-up' && decision.reason === 'budget') {
		active.state.stats.budgetDenied += 1;
	}

	return false;
};

const applyAnswer = (
	active: ActiveRequest,
	attempt: Attempt,
	answer: Answer,
): void => {
	const {state} = active;
	const {link} = attempt;
	core.unresponsiveConnections.recordServiceTime(
		state.serviceTime,
		state.cfg.unresponsiveDetection,
		state.clock() - attempt.startedAt,
	);
	if (attempt.isUnresponsive) {
		link.unresponsiveAttempts = Math.max(0, link.unresponsiveAttempts - 1);
	}

	complete(active, {
		kind: 'answer',
		outcome: 'ran',
		...answer,
		executor: link.id,
		attempts: active.attempts,
	});
};

const handleEnd = (
	active: ActiveRequest,
	attempt: Attempt,
	{end, answer}: ExchangeEnd,
): void => {
	active.activeAttempts.delete(attempt);
	const {state} = active;
	const {refusal} = state.service;
	const found = core.attemptOutcome.decideOutcome(end, refusal);
	healthRecord.recordHealth(state, attempt, end, found.kind === 'answer');
	if (found.kind === 'answer' && answer !== undefined) {
		applyAnswer(active, attempt, answer);
		return;
	}

	if (answer?.body instanceof Readable) {
		answer.body.destroy();
	}

	if (found.kind === 'error') {
		active.failures.push(found);
		active.unsentAttempts += attempts.getBytesSent(attempt) === 0 ? 1 : 0;
	}

	active.history.failedZones.add(attempt.link.availabilityZone);
	const hasResponsiveAttempt = [...active.activeAttempts].some(
		(each) => !each.isUnresponsive,
	);
	if (hasResponsiveAttempt) {
		return;
	}

	const retried = startIfAllowed(active, (facts) => {
		const failed = found.kind === 'error' ? found : active.failures.at(-1);
		return failed === undefined
			? {kind: 'give-up', reason: 'hopeless'}
			: core.retry.decideRetry(failed, facts, state.budget, state.clock());
	});
	if (retried) {
		state.stats.retries += 1;
	} else if (active.activeAttempts.size === 0) {
		completeWithError(active);
	}
};

const handleUnresponsive = (active: ActiveRequest, attempt: Attempt): void => {
	const {state} = active;
	const {link, startedAt} = attempt;
	const now = state.clock();
	if (!attempt.isUnresponsive) {
		attempt.isUnresponsive = true;
		active.unresponsiveSince ??= startedAt;
		link.unresponsiveAttempts += 1;
		const event = {kind: 'slow', elapsedMs: now - startedAt} as const;
		core.health.recordEvent(state.health, link.id, event, now);
	}

	probes.suspectConnections(state, link);
	const hasResponsiveAttempt = [...active.activeAttempts].some(
		(each) => !each.isUnresponsive,
	);
	if (hasResponsiveAttempt) {
		return;
	}

	active.history.failedZones.add(link.availabilityZone);
	const hedged = startIfAllowed(active, (facts) =>
		core.retry.decideHedge(facts, state.budget, now),
	);
	if (hedged) {
		state.stats.hedges += 1;
	}
};

/** Ends a request whose deadline has passed or whose caller has disconnected. */
const stop = (active: ActiveRequest, kind: 'deadline' | 'cancelled'): void => {
	const {state} = active;
	const {refusal} = state.service;
	for (const each of active.activeAttempts) {
		const end = {kind, bytesSent: attempts.getBytesSent(each)} as const;
		const found = core.attemptOutcome.decideOutcome(end, refusal);
		healthRecord.recordHealth(state, each, end, false);
		if (found.kind === 'error') {
			active.failures.push(found);
		}
	}

	completeWithError(active);
};

const watchCaller = (active: ActiveRequest): void => {
	const {req, state} = active;
	const leftMs = Math.max(0, req.deadline - state.clock());
	active.timer = setTimeout(() => {
		stop(active, 'deadline');
	}, leftMs);
	active.stopListening = req.cancellation?.onCancel(() => {
		stop(active, 'cancelled');
	});
};

const refuse = (
	state: UpstreamState,
	error: 'no-executor' | 'overloaded' | 'cancelled',
): AttemptResult => {
	state.stats.refused += 1;
	return {kind: 'error', error, outcome: 'not-run', attempts: 0};
};

/** Dispatches an admitted request; resolves to its answer or its error. */
export const dispatch = async (
	state: UpstreamState,
	req: UpstreamRequest,
): Promise<AttemptResult> =>
	new Promise((resolve) => {
		if (req.cancellation?.isCancelled()) {
			resolve(refuse(state, 'cancelled'));
			return;
		}

		if (state.links.size === 0) {
			resolve(refuse(state, 'no-executor'));
			return;
		}

		const active: ActiveRequest = {
			state,
			req,
			resolve,
			activeAttempts: new Set(),
			failures: [],
			history: {tried: new Set(), failedZones: new Set()},
			attempts: 0,
			unsentAttempts: 0,
			unresponsiveSince: undefined,
			isCompleted: false,
			timer: undefined,
			stopListening: undefined,
		};
		const target = targets.acquireTarget(active.state, active.history);
		if (target === undefined) {
			resolve(refuse(state, 'overloaded'));
			return;
		}

		state.stats.requests += 1;
		core.retryBudget.recordRequest(state.budget);
		watchCaller(active);
		launch(active, target);
	});
