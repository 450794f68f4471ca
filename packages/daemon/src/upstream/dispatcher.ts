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
export type Run = {
	readonly state: UpstreamState;
	readonly req: UpstreamRequest;
	readonly resolve: (result: AttemptResult) => void;
	readonly running: Set<Attempt>;
	readonly failures: AttemptError[];
	readonly history: targets.History;
	attempts: number;
	/** Ended attempts of which no byte went out. */
	unsent: number;
	/** When the first attempt that went silent began. */
	silentSince: number | undefined;
	settled: boolean;
	timer: NodeJS.Timeout | undefined;
	stopListening: (() => void) | undefined;
};

const settle = (run: Run, result: AttemptResult): void => {
	run.settled = true;
	clearTimeout(run.timer);
	run.stopListening?.();
	for (const each of run.running) {
		attempts.abortAttempt(each);
	}

	run.running.clear();
	run.resolve(result);
};

const settleWithError = (run: Run): void => {
	const {error, outcome} = core.attemptOutcome.combineErrors(run.failures);
	settle(run, {kind: 'error', error, outcome, attempts: run.attempts});
};

const getFacts = (run: Run, target: targets.Target | undefined) => ({
	idempotent: run.req.repeatable,
	bodyReplayable: !(run.req.body instanceof Readable),
	attempts:
		run.attempts - Math.min(run.unsent, run.state.cfg.maxUnsentAttempts),
	maxAttempts: run.state.cfg.maxAttempts,
	deadline: run.req.deadline,
	expectedMs: run.state.serviceTime.meanMs,
	hasAlternative: target !== undefined,
});

const launch = (run: Run, target: targets.Target): void => {
	const {state, req} = run;
	run.attempts += 1;
	state.stats.attempts += 1;
	run.history.tried.add(target.link.id);
	const {silentSince: provedSince} = run;
	const to = {...target, provedSince};
	const attempt = attempts.startAttempt(state, req, to, {
		onEnd(ended, end) {
			handleEnd(run, ended, end);
		},
		onSilent(silent) {
			handleSilence(run, silent);
		},
	});
	run.running.add(attempt);
};

/** Takes a target and asks the decision; gives the slot back on a no. */
const tryAgain = (
	run: Run,
	decide: (facts: core.retry.RetryContext) => core.retry.RetryDecision,
): boolean => {
	const target = targets.takeTarget(run.state, run.history);
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

const takeAnswer = (run: Run, attempt: Attempt, answer: Answer): void => {
	const {state} = run;
	const {link} = attempt;
	core.unresponsiveConnections.recordServiceTime(
		state.serviceTime,
		state.cfg.silence,
		state.clock() - attempt.startedAt,
	);
	if (attempt.silent) {
		link.silentAttempts = Math.max(0, link.silentAttempts - 1);
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
	run: Run,
	attempt: Attempt,
	{end, answer}: ExchangeEnd,
): void => {
	run.running.delete(attempt);
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
		run.unsent += attempts.getBytesSent(attempt) === 0 ? 1 : 0;
	}

	run.history.failedZones.add(attempt.link.availabilityZone);
	const waiting = [...run.running].some((each) => !each.silent);
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
	} else if (run.running.size === 0) {
		settleWithError(run);
	}
};

const handleSilence = (run: Run, attempt: Attempt): void => {
	const {state} = run;
	const {link, startedAt} = attempt;
	const now = state.clock();
	if (!attempt.silent) {
		attempt.silent = true;
		run.silentSince ??= startedAt;
		link.silentAttempts += 1;
		const event = {kind: 'slow', elapsedMs: now - startedAt} as const;
		core.health.recordEvent(state.health, link.id, event, now);
	}

	probes.suspect(state, link);
	const waiting = [...run.running].some((each) => !each.silent);
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
const stop = (run: Run, kind: 'deadline' | 'cancelled'): void => {
	const {state} = run;
	const {refusal} = state.service;
	for (const each of run.running) {
		const end = {kind, bytesSent: attempts.getBytesSent(each)} as const;
		const found = core.attemptOutcome.decideOutcome(end, refusal);
		healthRecord.recordHealth(state, each, end, false);
		if (found.kind === 'error') {
			run.failures.push(found);
		}
	}

	settleWithError(run);
};

const watchCaller = (run: Run): void => {
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

		const run: Run = {
			state,
			req,
			resolve,
			running: new Set(),
			failures: [],
			history: {tried: new Set(), failedZones: new Set()},
			attempts: 0,
			unsent: 0,
			silentSince: undefined,
			settled: false,
			timer: undefined,
			stopListening: undefined,
		};
		const target = targets.takeTarget(run.state, run.history);
		if (target === undefined) {
			resolve(refuse(state, 'overloaded'));
			return;
		}

		state.stats.requests += 1;
		core.retryBudget.recordRequest(state.budget);
		watchCaller(run);
		launch(run, target);
	});
