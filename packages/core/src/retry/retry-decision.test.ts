import * as tap from 'tap';
import * as retryBudget from './retry-budget.js';
import * as retry from './retry-decision.js';

const context: retry.RetryContext = {
	idempotent: true,
	bodyReplayable: true,
	attempts: 1,
	maxAttempts: 3,
	deadline: 1000,
	expectedMs: 100,
	hasAlternative: true,
};

const createBudget = (tokens: number) =>
	retryBudget.createRetryBudget({
		ratio: 0.09,
		initialTokens: tokens,
		maxTokens: 80,
	});

type Case = {
	readonly name: string;
	readonly outcome: 'not-run' | 'unknown';
	readonly error?: 'bad-request' | 'cancelled';
	readonly change: Partial<retry.RetryContext>;
	readonly now?: number;
	readonly tokens?: number;
	readonly retried: 'retry' | retry.NoRetryReason;
	readonly hedged: 'retry' | retry.NoRetryReason;
};

const table: readonly Case[] = [
	{
		name: 'idempotent, unknown',
		outcome: 'unknown',
		change: {},
		retried: 'retry',
		hedged: 'retry',
	},
	{
		name: 'not repeatable, unknown',
		outcome: 'unknown',
		change: {idempotent: false},
		retried: 'not-repeatable',
		hedged: 'not-repeatable',
	},
	{
		name: 'not repeatable, certainly not run',
		outcome: 'not-run',
		change: {idempotent: false},
		retried: 'retry',
		hedged: 'not-repeatable',
	},
	{
		name: 'streamed body already read',
		outcome: 'not-run',
		change: {bodyReplayable: false},
		retried: 'not-repeatable',
		hedged: 'not-repeatable',
	},
	{
		name: 'attempts used up',
		outcome: 'unknown',
		change: {attempts: 3},
		retried: 'attempts',
		hedged: 'attempts',
	},
	{
		name: 'too close to the deadline',
		outcome: 'unknown',
		change: {},
		now: 901,
		retried: 'deadline',
		hedged: 'deadline',
	},
	{
		name: 'just in time',
		outcome: 'unknown',
		change: {},
		now: 900,
		retried: 'retry',
		hedged: 'retry',
	},
	{
		name: 'no untried executor',
		outcome: 'unknown',
		change: {hasAlternative: false},
		retried: 'no-alternative',
		hedged: 'no-alternative',
	},
	{
		name: 'malformed, permanent for every executor',
		outcome: 'not-run',
		error: 'bad-request',
		change: {},
		retried: 'hopeless',
		hedged: 'retry',
	},
	{
		name: 'cancelled by the caller',
		outcome: 'unknown',
		error: 'cancelled',
		change: {},
		retried: 'hopeless',
		hedged: 'retry',
	},
	{
		name: 'budget spent',
		outcome: 'not-run',
		change: {},
		tokens: 0.9,
		retried: 'budget',
		hedged: 'budget',
	},
];

for (const {name, outcome, change, now = 0, tokens = 5, ...wanted} of table) {
	tap.t.test(name, async (t) => {
		const error = wanted.error ?? 'upstream-reset';
		const all = {...context, ...change};
		for (const variant of ['retried', 'hedged'] as const) {
			const budget = createBudget(tokens);
			const decision =
				variant === 'retried'
					? retry.decideRetry({error, outcome}, all, budget, now)
					: retry.decideHedge(all, budget, now);
			const found = decision.kind === 'retry' ? 'retry' : decision.reason;
			t.equal(found, wanted[variant]);
			t.equal(budget.tokens, found === 'retry' ? tokens - 1 : tokens);
		}
	});
}

tap.t.test(
	'failing attempts never exceed 1.1 times the requests',
	async (t) => {
		const budget = createBudget(5);
		let attempts = 0;
		const requests = 10_000;
		for (let index = 0; index < requests; index++) {
			retryBudget.recordRequest(budget);
			attempts += 1;
			for (let made = 1; made < context.maxAttempts; made++) {
				const decision = retry.decideRetry(
					{error: 'upstream-reset', outcome: 'unknown'},
					{...context, attempts: made},
					budget,
					0,
				);
				attempts += decision.kind === 'retry' ? 1 : 0;
			}
		}

		t.ok(attempts / requests <= 1.1, `${attempts} attempts`);
		t.ok(attempts / requests > 1.08, 'the budget is used');
	},
);

tap.t.test('tokens never exceed maxTokens', async (t) => {
	const budget = createBudget(5);
	for (let index = 0; index < 10_000; index++) {
		retryBudget.recordRequest(budget);
	}

	t.equal(budget.tokens, 80);
});
