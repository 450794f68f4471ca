import * as tap from 'tap';
import * as outcome from './attempt-outcome.js';

const refusal = {statuses: [503], header: 'x-not-run'};
const answered = (status: number, ...headerNames: string[]) =>
	({kind: 'answered', status, headerNames: new Set(headerNames)}) as const;

const table: ReadonlyArray<[string, outcome.AttemptEnd, string, string]> = [
	['200', answered(200), 'answer', 'ran'],
	['500', answered(500), 'answer', 'ran'],
	['503 undeclared', answered(503), 'answer', 'ran'],
	[
		'503 with the header',
		answered(503, 'x-not-run'),
		'upstream-refused',
		'not-run',
	],
	['200 with the header', answered(200, 'x-not-run'), 'answer', 'ran'],
	['408', answered(408), 'upstream-reset', 'unknown'],
	[
		'connect failed',
		{kind: 'connect-failed'},
		'upstream-unreachable',
		'not-run',
	],
	['malformed request', {kind: 'invalid-request'}, 'bad-request', 'not-run'],
	['no connection', {kind: 'no-connection'}, 'overloaded', 'not-run'],
	[
		'broken, nothing sent',
		{kind: 'broken', bytesSent: 0},
		'upstream-unreachable',
		'not-run',
	],
	[
		'broken, one byte sent',
		{kind: 'broken', bytesSent: 1},
		'upstream-reset',
		'unknown',
	],
	[
		'deadline, nothing sent',
		{kind: 'deadline', bytesSent: 0},
		'deadline-in-queue',
		'not-run',
	],
	[
		'deadline, one byte sent',
		{kind: 'deadline', bytesSent: 1},
		'upstream-timeout',
		'unknown',
	],
	[
		'cancelled, nothing sent',
		{kind: 'cancelled', bytesSent: 0},
		'cancelled',
		'not-run',
	],
	[
		'cancelled, one byte sent',
		{kind: 'cancelled', bytesSent: 1},
		'cancelled',
		'unknown',
	],
];

for (const [name, end, kind, wanted] of table) {
	tap.t.test(`${name}: ${kind}, ${wanted}`, async (t) => {
		const found = outcome.decideOutcome(end, refusal);
		t.equal(found.kind === 'answer' ? 'answer' : found.error, kind);
		t.equal(found.outcome, wanted);
	});
}

tap.t.test(
	'an attempt that may have run takes precedence over a later not-run',
	async (t) => {
		const decideError = (end: outcome.AttemptEnd) => {
			const found = outcome.decideOutcome(end, refusal);
			if (found.kind === 'answer') {
				throw new Error('not an error');
			}

			return found;
		};

		const reset = decideError({kind: 'broken', bytesSent: 9});
		const refused = decideError(answered(503, 'x-not-run'));
		const timedOut = decideError({kind: 'deadline', bytesSent: 9});
		t.same(outcome.combineErrors([reset, refused]), reset);
		t.same(outcome.combineErrors([refused, reset, timedOut]), timedOut);
		t.same(outcome.combineErrors([refused]), refused);
		t.equal(outcome.combineErrors([]).error, 'no-executor');
	},
);
