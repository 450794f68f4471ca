/**
 * Guards against a job being given up for executors that were lost before a
 * start of its task reached them.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	getCommandRun,
	submit,
	loseExecutor,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

type Case = {
	readonly name: string;
	readonly answer: scheduler.StartAnswer;
	readonly crashes: number;
};

const cases: readonly Case[] = [
	{
		name: 'turned away by another incarnation',
		answer: {kind: 'other-life'},
		crashes: 0,
	},
	{
		name: 'refused',
		answer: {kind: 'refused', reason: 'unhealthy', clockMs: undefined},
		crashes: 0,
	},
	{name: 'answered', answer: {kind: 'started', clockMs: 10}, crashes: 1},
	{name: 'not answered', answer: {kind: 'no-answer'}, crashes: 1},
];

/** A task whose start was sent at 0 and has no answer yet. */
const createStart = () => {
	const owner = createTestOwner(
		['x0', 'x1', 'x2', 'x3', 'x4', 'x5'].map((id) => createListed(id)),
	);
	const job = submit(owner, createAccepted('a', [{estimateMs: 60_000}]));
	const [task] = scheduler.listTasks(job);
	return {owner, job, task: task!, run: sendStart(owner, 0)};
};

const sendStart = (owner: scheduler.Owner, now: number): scheduler.Run =>
	getCommandRun(scheduler.planCommands(owner, now, now)[0])!;

const applyAnswer = (
	owner: scheduler.Owner,
	run: scheduler.Run,
	answer: scheduler.StartAnswer,
	now: number,
) => {
	const isTurnedAway = scheduler.isTurnedAway(answer);
	const settled = scheduler.settleCrash(owner, run, isTurnedAway, now);
	scheduler.applyStartAnswer(owner, run, answer, now);
	if (answer.kind === 'other-life') {
		loseExecutor(owner, run.executorId, now);
	}

	return settled?.jobEnds ?? [];
};

for (const {name, answer, crashes} of cases) {
	tap.t.test(`a start ${name}, its executor lost before`, async (t) => {
		const {owner, task, run} = createStart();
		loseExecutor(owner, run.executorId, 10);
		applyAnswer(owner, run, answer, 12);
		t.equal(task.crashes.length, crashes);
		t.equal(owner.crashSuspects.has(task), crashes > 0);
	});

	tap.t.test(`a start ${name}, its executor lost after`, async (t) => {
		const {owner, task, run} = createStart();
		applyAnswer(owner, run, answer, 12);
		loseExecutor(owner, run.executorId, 20);
		t.equal(task.crashes.length, crashes);
	});

	tap.t.test(`two crashes and a start ${name}`, async (t) => {
		const {owner, job, run} = createStart();
		applyAnswer(owner, run, {kind: 'started', clockMs: 0}, 1);
		loseExecutor(owner, run.executorId, 10);
		const second = sendStart(owner, 20);
		applyAnswer(owner, second, {kind: 'started', clockMs: 20}, 21);
		loseExecutor(owner, second.executorId, 30);
		const third = sendStart(owner, 40);
		const {jobEnds} = loseExecutor(owner, third.executorId, 50);
		t.equal(jobEnds.length, 0, 'no job fails while the answer is awaited');
		t.equal(applyAnswer(owner, third, answer, 52).length, crashes);
		t.equal(job.end, crashes === 0 ? undefined : 'failed');
	});
}

tap.t.test(
	'the next owner counts a start whose answer it cannot get',
	async (t) => {
		const {owner, job, run} = createStart();
		loseExecutor(owner, run.executorId, 10);
		const {occurrences} = scheduler.encodeProgress(job);
		const [crash] = occurrences[0]?.tasks[run.task.id]?.crashes ?? [];
		t.match(crash, {run: run.number, survivedMs: 0, wasIsolated: false});
		t.notOk(Object.hasOwn(crash!, 'awaitsAnswer'));
	},
);
