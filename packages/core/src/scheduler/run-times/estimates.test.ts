/**
 * Guards against jobs that are judged by two different estimates, and against
 * predictions that are preferred to what was observed.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	pollExecutor,
	submit,
	type TestPoll,
} from '../owner.test.fixture.js';
import {addSamples, getLastRun} from './run-times.test.fixture.js';

/** Two steps of two tasks, declared as 500 ms and predicted as about 2,000 ms. */
const createOwner = () => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, [4]);
	const steps = [{count: 2}, {count: 2, after: [0]}];
	const job = submit(owner, createAccepted('a', steps));
	planAndStart(owner, 1000);
	return {owner, job};
};

const [first, second] = ['a.0.0.0', 'a.0.0.1'];

const cases: ReadonlyArray<{
	readonly name: string;
	readonly poll: TestPoll;
	/** Expected paths in milliseconds; 2,000 for each step that is predicted. */
	readonly total: number;
	readonly remaining: number;
}> = [
	{
		name: 'no progress is reported',
		poll: {at: 1400, running: [{taskId: first}, {taskId: second}]},
		total: 4000,
		remaining: 1600 + 2000,
	},
	{
		name: 'a run has taken longer than predicted',
		poll: {at: 4000, running: [{taskId: first}, {taskId: second}]},
		total: 3000 + 500 + 2000,
		remaining: 500 + 2000,
	},
	{
		name: 'one run progresses slowly',
		poll: {
			at: 2000,
			running: [
				{taskId: first, percent: 10},
				{taskId: second, percent: 50},
			],
		},
		total: 10_000 + 2000,
		remaining: 9000 + 2000,
	},
	{
		name: 'all runs progress quickly',
		poll: {
			at: 1400,
			running: [
				{taskId: first, percent: 50},
				{taskId: second, percent: 40},
			],
		},
		total: 1000 + 2000,
		remaining: 600 + 2000,
	},
	{
		name: 'one run has ended and the other one nearly',
		poll: {
			at: 1900,
			running: [{taskId: second, percent: 90}],
			ends: [{taskId: first}],
		},
		total: 1000 + 2000,
		remaining: 100 + 2000,
	},
	{
		name: 'a step is done',
		poll: {at: 1700, ends: [{taskId: first}, {number: 2, taskId: second}]},
		total: 700 + 2000,
		remaining: 2000,
	},
];

const addRunNumbers = (owner: scheduler.Owner, poll: TestPoll): TestPoll => {
	const add = <Listed extends {taskId?: string}>(listed: Listed) => ({
		...listed,
		run: getLastRun(owner, listed.taskId!),
	});
	return {
		at: poll.at,
		running: poll.running?.map((each) => add(each)) ?? [],
		ends: poll.ends?.map((each) => add(each)) ?? [],
	};
};

for (const {name, poll, total, remaining} of cases) {
	tap.t.test(`the path of a job where ${name}`, async (t) => {
		const {owner, job} = createOwner();
		pollExecutor(owner, 'x', addRunNumbers(owner, poll));
		const isNear = (found: number, expected: number) => {
			t.ok(Math.abs(found / expected - 1) < 0.02, `${found} for ${expected}`);
		};

		isNear(
			scheduler.getRemainingCriticalPathMs(owner, job, poll.at),
			remaining,
		);
		isNear(scheduler.getObjectiveMs(owner, job, poll.at), 2 * total + 600);
	});
}

tap.t.test('a run of an earlier owner counts from its adoption', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, [4]);
	const job = submit(owner, createAccepted('a'), true);
	const show = (at: number, percent: number) => {
		pollExecutor(owner, 'x', {at, running: [{taskId: first, percent}]});
		return scheduler.getRemainingCriticalPathMs(owner, job, at);
	};

	const adopted = show(100, 60);
	t.ok(Math.abs(adopted - 800) < 20, 'a prediction of what is left');
	t.equal(show(300, 80), 200, 'its progress since then');
});

const isLate = (factors: readonly number[], at: number) => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, factors);
	const job = submit(owner, createAccepted('a'));
	const times = {now: at, epochNow: at};
	return {
		isLateForPool: scheduler.isLate(owner, job, times),
		timeliness: scheduler.getTimeliness(owner, job, times),
	};
};

// The objective is 600 ms plus twice the path, which is still to be run.
const lateness = [
	{
		name: 'declared',
		factors: [1],
		at: 1200,
		expected: {isLateForPool: true, timeliness: 'late'},
	},
	{
		name: 'predicted as four times the declared time',
		factors: [4],
		at: 1200,
		expected: {isLateForPool: false, timeliness: 'in-time'},
	},
	{
		name: 'predicted as a tenth of the declared time',
		factors: [0.1],
		at: 800,
		expected: {isLateForPool: true, timeliness: 'late'},
	},
	{
		name: 'uncertain, and late by the typical estimate',
		factors: [1, 1, 8, 8],
		at: 2600,
		expected: {isLateForPool: false, timeliness: 'late'},
	},
];

for (const {name, factors, at, expected} of lateness) {
	tap.t.test(`a job of 500 ms whose time is ${name}`, async (t) => {
		t.same(isLate(factors, at), expected);
	});
}

tap.t.test('work of new jobs is that of their expected runs', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, [4]);
	scheduler.addJob(owner, createAccepted('a', [{count: 3}]), false, 0);
	const work = scheduler.getArrivingCpu(owner.arrivals, 0) * 1200;
	t.ok(Math.abs(work / (3 * 2000 * 1000) - 1) < 0.02, `${work}`);
});

const listStops = (factors: readonly number[], at: number) => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, factors);
	submit(owner, createAccepted('a', [{canCheckpoint: true}]));
	planAndStart(owner, 0);
	return {owner, stops: scheduler.planCommands(owner, at, at).length};
};

tap.t.test('a run hangs by the longer of its two times', async (t) => {
	t.equal(listStops([1], 1700).stops, 1, 'declared as 500 ms');
	t.equal(listStops([4], 1700).stops, 0, 'predicted as 2,000 ms');
	t.equal(listStops([4], 6200).stops, 1, 'three times the prediction');
	t.equal(listStops([0.1], 1400).stops, 0, 'never sooner than declared');
});

tap.t.test('an evacuation stops runs that are predicted long', async (t) => {
	for (const [factor, stops] of [
		[1, 0],
		[10, 1],
	] as const) {
		const {owner} = listStops([factor], 10);
		scheduler.requestEvacuation(owner, 'x', 60_000, 20);
		const commands = scheduler.planCommands(owner, 30, 30);
		t.equal(commands.length, stops, `${factor} times the declared time`);
	}
});
