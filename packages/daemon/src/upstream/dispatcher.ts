/**
 * Carries one admitted request to its answer: attempts one after another,
 * a hedge beside a silent one, all within the deadline and the budget.
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

/** A request on its way. */
export type ActiveRequest = {
	readonly state: UpstreamState;
	readonly req: UpstreamRequest;
	readonly resolve: (result: AttemptResult) => void;
	readonly activeAttempts: Set<Attempt>;
	readonly failures: AttemptError[];
	readonly history: targets.AttemptHistory;
	attempts: number;
	/** Ended attempts of which no byte went out. */
	unsentAttempts: number;
	/** When the first attempt that went silent began. */
	unresponsiveSince: number | undefined;
	isCompleted: boolean;
	timer: NodeJS.Timeout | undefined;
	stopListening: (() => void) | undefined;
};

const settle = (run: ActiveRequest, result: AttemptResult): void => {
	run.isCompleted = true;
	clearTimeout(run.timer);
	run.stopListening?.();
	for (const each of run.activeAttempts) {
		attempts.abortAttempt(each);
	}

	run.activeAttempts.clear();
	run.resolve(result);
};

const settleWithError = (run: ActiveRequest): void => {
	const {error, outcome} = core.attemptOutcome.combineErrors(run.failures);
	settle(run, {kind: 'error', error, outcome, attempts: run.attempts});
};

const getFacts = (run: ActiveRequest, target: targets.Target | undefined) => ({
	idempotent: run.req.repeatable,
	bodyReplayable: !(run.req.body instanceof Readable),
	attempts:
		run.attempts -
		Math.min(run.unsentAttempts, run.state.cfg.maxUnsentAttempts),
	maxAttempts: run.state.cfg.maxAttempts,
	deadline: run.req.deadline,
	expectedMs: run.state.serviceTime.meanMs,
	hasAlternative: target !== undefined,
});

const launch = (run: ActiveRequest, target: targets.Target): void => {
	const {state, req} = run;
	run.attempts += 1;
	state.stats.attempts += 1;
	run.history.tried.add(target.link.id);
	const {unresponsiveSince: provedSince} = run;
	const to = {...target, provedSince};
	const attempt = attempts.startAttempt(state, req, to, {
		onEnd(ended, end) {
			handleEnd(run, ended, end);
		},
		onUnresponsive(silent) {
			handleSilence(run, silent);
		},
	});
	run.activeAttempts.add(attempt);
};

/** Takes a target and asks the decision; gives the slot back on a no. */
const tryAgain = (
	run: ActiveRequest,
	decide: (facts: core.retry.RetryFacts) => core.retry.RetryDecision,
): boolean => {
	const target = targets.acquireTarget(run.state, run.history);
	const decision = decide(getFacts(run, target));
	if (decision.kind === 'retry' && target !== undefined) {
		launch(run, target);
		return true;
	}

	target?.slot.release(false);
	if (decision.kind === 'give-up' && decision.reason === 'budget') {
		run.state.stats.budgetDenied += 1;
	}

	return false;
};

const takeAnswer = (
	run: ActiveRequest,
	attempt: Attempt,
	answer: Answer,
): void => {
	const {state} = run;
	const {link} = attempt;
	core.connectionSilence.recordServiceTime(
		state.serviceTime,
		state.cfg.unresponsiveDetection,
		state.clock() - attempt.startedAt,
	);
	if (attempt.isUnresponsive) {
		link.unresponsiveAttempts = Math.max(0, link.unresponsiveAttempts - 1);
	}

	settle(run, {
		kind: 'answer',
		outcome: 'ran',
		...answer,
		executor: link.id,
		attempts: run.attempts,
	});
};

const handleEnd = (
	run: ActiveRequest,
	attempt: Attempt,
	{end, answer}: ExchangeEnd,
): void => {
	run.activeAttempts.delete(attempt);
	const {state} = run;
	const {refusal} = state.service;
	const found = core.attemptOutcome.decideOutcome(end, refusal);
	healthRecord.recordHealth(state, attempt, end, found.kind === 'answer');
	if (found.kind === 'answer' && answer !== undefined) {
		takeAnswer(run, attempt, answer);
		return;
	}

	if (answer?.body instanceof Readable) {
		answer.body.destroy();
	}

	if (found.kind === 'error') {
		run.failures.push(found);
		run.unsentAttempts += attempts.getBytesSent(attempt) === 0 ? 1 : 0;
	}

	run.history.failedZones.add(attempt.link.availabilityZone);
	const waiting = [...run.activeAttempts].some((each) => !each.isUnresponsive);
	if (waiting) {
		return;
	}

	const again = tryAgain(run, (facts) => {
		const failed = found.kind === 'error' ? found : run.failures.at(-1);
		return failed === undefined
			? {kind: 'give-up', reason: 'hopeless'}
			: core.retry.decideRetry(failed, facts, state.budget, state.clock());
	});
	if (again) {
		state.stats.retries += 1;
	} else if (run.activeAttempts.size === 0) {
		settleWithError(run);
	}
};

const handleSilence = (run: ActiveRequest, attempt: Attempt): void => {
	const {state} = run;
	const {link, startedAt} = attempt;
	const now = state.clock();
	if (!attempt.isUnresponsive) {
		attempt.isUnresponsive = true;
		run.unresponsiveSince ??= startedAt;
		link.unresponsiveAttempts += 1;
		const event = {kind: 'slow', elapsedMs: now - startedAt} as const;
		core.health.recordEvent(state.health, link.id, event, now);
	}

	probes.suspectConnections(state, link);
	const waiting = [...run.activeAttempts].some((each) => !each.isUnresponsive);
	if (waiting) {
		return;
	}

	run.history.failedZones.add(link.availabilityZone);
	const hedged = tryAgain(run, (facts) =>
		core.retry.decideHedge(facts, state.budget, now),
	);
	if (hedged) {
		state.stats.hedges += 1;
	}
};

/** Ends a request from outside: its deadline has passed or its caller left. */
const stop = (run: ActiveRequest, kind: 'deadline' | 'cancelled'): void => {
	const {state} = run;
	const {refusal} = state.service;
	for (const each of run.activeAttempts) {
		const end = {kind, bytesSent: attempts.getBytesSent(each)} as const;
		const found = core.attemptOutcome.decideOutcome(end, refusal);
		healthRecord.recordHealth(state, each, end, false);
		if (found.kind === 'error') {
			run.failures.push(found);
		}
	}

	settleWithError(run);
};

const watchCaller = (run: ActiveRequest): void => {
	const {req, state} = run;
	const leftMs = Math.max(0, req.deadline - state.clock());
	run.timer = setTimeout(() => {
		stop(run, 'deadline');
	}, leftMs);
	run.stopListening = req.cancellation?.onCancel(() => {
		stop(run, 'cancelled');
	});
};

const refuse = (
	state: UpstreamState,
	error: 'no-executor' | 'overloaded' | 'cancelled',
): AttemptResult => {
	state.stats.refused += 1;
	return {kind: 'error', error, outcome: 'not-run', attempts: 0};
};

/** Sends an admitted request; resolves with its answer or its one error. */
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

		const run: ActiveRequest = {
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
		const target = targets.acquireTarget(run.state, run.history);
		if (target === undefined) {
			resolve(refuse(state, 'overloaded'));
			return;
		}

		state.stats.requests += 1;
		core.retryBudget.recordRequest(state.budget);
		watchCaller(run);
		launch(run, target);
	});
