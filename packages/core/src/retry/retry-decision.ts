/**
 * Decides whether to retry or hedge a request. Only a request that is
 * idempotent or certainly was not run may be sent again, within the limits of
 * its deadline, attempts and retry budget.
 */
import * as errors from '../errors/error-table.js';
import type {ErrorKind} from '../errors/error-table.js';
import type {Outcome} from '../types/outcome.js';
import * as retryBudget from './retry-budget.js';

/** Input of the decision. Times in milliseconds. */
export type RetryContext = {
	/** True if the request may run twice. */
	readonly idempotent: boolean;
	/** False once part of a streamed request body has been read. */
	readonly bodyReplayable: boolean;
	/** Attempts so far, failed and in flight. */
	readonly attempts: number;
	readonly maxAttempts: number;
	/** When the caller stops waiting. */
	readonly deadline: number;
	/** Expected time to an answer. */
	readonly expectedMs: number;
	/** True if an executor that was not tried yet is available. */
	readonly hasAlternative: boolean;
};

/** Why a request is not sent again. */
export type NoRetryReason =
	| 'hopeless'
	| 'not-repeatable'
	| 'attempts'
	| 'deadline'
	| 'no-alternative'
	| 'budget';

export type RetryDecision =
	| {readonly kind: 'retry'}
	| {readonly kind: 'give-up'; readonly reason: NoRetryReason};

const giveUp = (reason: NoRetryReason): RetryDecision => ({
	kind: 'give-up',
	reason,
});

const decide = (
	context: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision => {
	if (!context.bodyReplayable) {
		return giveUp('not-repeatable');
	}

	if (context.attempts >= context.maxAttempts) {
		return giveUp('attempts');
	}

	if (now + context.expectedMs > context.deadline) {
		return giveUp('deadline');
	}

	if (!context.hasAlternative) {
		return giveUp('no-alternative');
	}

	return retryBudget.trySpend(budget) ? {kind: 'retry'} : giveUp('budget');
};

/** Error and outcome of a failed attempt. */
export type Failure = {readonly error: ErrorKind; readonly outcome: Outcome};

/** Decides after a failed attempt; `retry` has taken a token. */
export const decideRetry = (
	failed: Failure,
	context: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision => {
	const isPermanent = errors.errorTable[failed.error].retry === 'never';
	const maySendAgain = failed.outcome === 'not-run' || context.idempotent;
	if (isPermanent || failed.error === 'cancelled') {
		return giveUp('hopeless');
	}

	return maySendAgain ? decide(context, budget, now) : giveUp('not-repeatable');
};

/** Decides on a parallel attempt while one is unresponsive but not failed. */
export const decideHedge = (
	context: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision =>
	context.idempotent ? decide(context, budget, now) : giveUp('not-repeatable');
