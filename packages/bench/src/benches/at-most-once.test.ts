import * as tap from 'tap';
import {countBroken} from './at-most-once.js';
import {
	checkLog,
	type SendResult,
	type Verdict,
} from './at-most-once/log-checker.js';
import type {Run} from './at-most-once/executor.js';
import type {VariantName} from './at-most-once/variants.js';

type Rule = keyof Verdict;

/** Rules whose violation the checker must find in each variant. */
const variants: Array<[VariantName, Rule[]]> = [
	['correct', []],
	['dispatches-on-timeout', ['keysRunTwice']],
	['writes-unconditionally', ['keysRunTwice']],
	['takes-lost-for-refused', ['keysRunTwice', 'notRunThatRan']],
];
const mustBeZero: Rule[] = [
	'keysRunTwice',
	'notRunThatRan',
	'notRunKeysThatRan',
	'notRunAfterRun',
	'wrongAnswers',
];

for (const [name, broken] of variants) {
	tap.t.test(`finds violations of the variant ${name}`, async (t) => {
		const verdict = await countBroken(name, 1);
		for (const rule of broken) {
			t.ok(verdict[rule] > 0, `${rule}: ${verdict[rule]}`);
		}

		const found = mustBeZero.filter((rule) => verdict[rule] > 0);
		t.equal(found.length > 0, broken.length > 0, found.join(' '));
	});
}

const run = (sending: number, at: number): Run => ({
	key: 'k',
	sending,
	at,
	answer: `answer ${sending}`,
});
const result = (
	sending: number,
	at: number,
	outcome: SendResult['outcome'],
	changes: Partial<SendResult> = {},
): SendResult => ({
	sending,
	key: 'k',
	body: 'b',
	decidedAt: at,
	at,
	tookMs: 0,
	outcome,
	error: undefined,
	answer: undefined,
	...changes,
});

const table: Array<[string, Run[], SendResult[], Partial<Verdict>]> = [
	['nothing', [], [], {}],
	[
		'answered ran after a run',
		[run(1, 5)],
		[result(1, 9, 'ran', {answer: 'answer 1'})],
		{},
	],
	[
		'the answer of another run',
		[run(1, 5)],
		[result(1, 9, 'ran', {answer: 'answer 2'})],
		{wrongAnswers: 1},
	],
	['answered ran without a run', [], [result(1, 9, 'ran')], {wrongAnswers: 1}],
	[
		'a key run twice',
		[run(1, 5), run(2, 6)],
		[result(1, 9, 'unknown'), result(2, 9, 'unknown')],
		{keysRunTwice: 1},
	],
	[
		'a key run again after its retention',
		[run(1, 5), run(2, 105)],
		[result(1, 9, 'unknown'), result(2, 109, 'unknown')],
		{},
	],
	[
		'answered not-run, and ran later',
		[run(1, 20)],
		[result(1, 9, 'not-run')],
		{notRunThatRan: 1, notRunKeysThatRan: 1},
	],
	[
		'a repeat answered not-run after the run',
		[run(1, 5)],
		[result(1, 9, 'unknown'), result(2, 10, 'not-run')],
		{notRunAfterRun: 1},
	],
	[
		'another request answered not-run under the key',
		[run(1, 5)],
		[result(1, 9, 'unknown'), result(2, 10, 'not-run', {error: 'key-reused'})],
		{},
	],
	[
		'a repeat answered not-run before the run, received later',
		[run(1, 15)],
		[result(2, 20, 'not-run', {decidedAt: 14}), result(1, 19, 'unknown')],
		{},
	],
	[
		'a repeat answered not-run at the time of the run',
		[run(1, 15)],
		[result(2, 20, 'not-run', {decidedAt: 15}), result(1, 19, 'unknown')],
		{notRunAfterRun: 1},
	],
	[
		'a repeat answered not-run before the run',
		[run(1, 15)],
		[result(2, 10, 'not-run'), result(1, 19, 'unknown')],
		{},
	],
];

for (const [name, log, replies, expected] of table) {
	tap.t.test(`checks the log: ${name}`, async (t) => {
		const verdict = checkLog(log, replies, 100);
		const broken = Object.fromEntries(
			Object.entries(verdict).filter(([, count]) => count > 0),
		);
		t.same(broken, expected);
	});
}
