/**
 * Whether a request may be sent once more: only what is idempotent or
 * certainly not run, within the deadline, the attempts and the budget.
 */
import * as errors from '../errors/error-table.js';
import type {ErrorKind} from '../errors/error-table.js';
import type {Outcome} from '../types/outcome.js';
import * as retryBudget from './retry-budget.js';

/** What the decision looks at. Times in milliseconds. */
export type RetryContext = {
	/** True if the request may run twice. */
	readonly idempotent: boolean;
	/** False once a streamed request body has been read in part. */
	readonly bodyReplayable: boolean;
	/** Attempts made so far, failed and in flight. */
	readonly attempts: number;
	readonly maxAttempts: number;
	/** When the caller stops waiting. */
	readonly deadline: number;
	/** Time that an answer usually takes. */
	readonly expectedMs: number;
	/** True if an executor that was not tried can take the request. */
	readonly hasAlternative: boolean;
};

/** Why a request is not sent once more. */
export type NoRetryReason =
	| 'hopeless'
	| 'not-repeatable'
	| 'attempts'
	| 'deadline'
	| 'no-alternative'
	| 'budget';

/** Send once more, or not and why. */
export type RetryDecision =
	| {readonly kind: 'retry'}
	| {readonly kind: 'give-up'; readonly reason: NoRetryReason};

const giveUp = (reason: NoRetryReason): RetryDecision => ({
	kind: 'give-up',
	reason,
});

const decide = (
	facts: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision => {
	if (!facts.bodyReplayable) {
		return giveUp('not-repeatable');
	}

	if (facts.attempts >= facts.maxAttempts) {
		return giveUp('attempts');
	}

	if (now + facts.expectedMs > facts.deadline) {
		return giveUp('deadline');
	}

	if (!facts.hasAlternative) {
		return giveUp('no-alternative');
	}

	return retryBudget.trySpend(budget) ? {kind: 'retry'} : giveUp('budget');
};

/** Error and outcome of a failed attempt. */
export type Failure = {readonly error: ErrorKind; readonly outcome: Outcome};

/** Decides after a failed attempt; a retry has spent its token. */
export const decideRetry = (
	failed: Failure,
	facts: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision => {
	const hopeless = errors.errorTable[failed.error].retry === 'never';
	const safe = failed.outcome === 'not-run' || facts.idempotent;
	if (hopeless || failed.error === 'cancelled') {
		return giveUp('hopeless');
	}

	return safe ? decide(facts, budget, now) : giveUp('not-repeatable');
};

/** Decides a second attempt beside one that is silent but not failed. */
export const decideHedge = (
	facts: RetryContext,
	budget: retryBudget.RetryBudget,
	now: number,
): RetryDecision =>
	facts.idempotent ? decide(facts, budget, now) : giveUp('not-repeatable');
