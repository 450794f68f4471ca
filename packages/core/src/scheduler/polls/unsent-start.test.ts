/**
 * Guards against a start that never left the owner counting as an answer of its
 * executor, with the time for which it waited as the time of the answer.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	getCommandRun,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const cases: ReadonlyArray<{
	readonly answer: scheduler.StartAnswer;
	readonly tookMs: number;
	readonly meanAnswerMs: number;
	readonly lateShare: number;
}> = [
	{
		answer: {kind: 'not-sent'},
		tookMs: 600,
		meanAnswerMs: 0,
		lateShare: 1 / 16,
	},
	{answer: {kind: 'not-sent'}, tookMs: 2, meanAnswerMs: 0, lateShare: 0},
	{answer: {kind: 'no-answer'}, tookMs: 2, meanAnswerMs: 0, lateShare: 1 / 16},
	{
		answer: {kind: 'refused', reason: 'unhealthy', clockMs: undefined},
		tookMs: 160,
		meanAnswerMs: 10,
		lateShare: 1 / 16,
	},
	{
		answer: {kind: 'started', clockMs: 32},
		tookMs: 32,
		meanAnswerMs: 2,
		lateShare: 0,
	},
];

for (const {answer, tookMs, meanAnswerMs, lateShare} of cases) {
	tap.t.test(`${answer.kind} after ${tookMs} ms`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(owner, createAccepted('a'));
		const run = getCommandRun(scheduler.planCommands(owner, 0, 0)[0])!;
		scheduler.applyStartAnswer(owner, run, answer, tookMs);
		t.match(owner.startWindow, {meanAnswerMs, lateShare});
	});
}

tap.t.test('a start that was not sent is sent again', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	const executor = owner.executors.get('x')!;
	submit(owner, createAccepted('a'));
	const run = getCommandRun(scheduler.planCommands(owner, 0, 0)[0])!;
	const effect = scheduler.applyStartAnswer(owner, run, {kind: 'not-sent'}, 50);
	t.equal(effect, 'none');
	t.equal(executor.runs.size, 0);
	t.equal(executor.unresponsiveSince, undefined);
	t.equal(scheduler.planCommands(owner, 240, 240).length, 0, 'it rests');
	t.equal(scheduler.planCommands(owner, 260, 260).length, 1);
});

tap.t.test('a stop that was not sent is sent again', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	submit(owner, createAccepted('a'));
	const run = getCommandRun(scheduler.planCommands(owner, 0, 0)[0])!;
	scheduler.applyStartAnswer(owner, run, {kind: 'started', clockMs: 5}, 5);
	run.state = 'stopping';
	run.isStopPending = true;
	const effect = scheduler.applyStopAnswer(owner, run, {kind: 'not-sent'}, 50);
	t.equal(effect, 'look-again');
	t.match(run, {state: 'running', isStopPending: false});
	t.equal(run.mayStopUntil, undefined, 'it can end no run');
});
