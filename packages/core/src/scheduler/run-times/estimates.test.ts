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

const taskIds = ['a.0.0.0', 'a.0.0.1'] as const;

/** Progress of the two tasks of the first step, of which 100 is an end. */
type Progress = readonly [number, number];

/** Expected paths in milliseconds, with 2,000 for each step that is predicted. */
const cases: ReadonlyArray<
	readonly [
		name: string,
		at: number,
		progress: Progress,
		total: number,
		remaining: number,
	]
> = [
	['no progress is reported', 1400, [0, 0], 4000, 3600],
	['a run exceeds its prediction', 4000, [0, 0], 5500, 2500],
	['one run progresses slowly', 2000, [10, 50], 12_000, 11_000],
	['all runs progress quickly', 1400, [50, 40], 3000, 2600],
	['one run has ended', 1900, [100, 90], 3000, 2100],
	['a step is done', 1700, [100, 100], 2700, 2000],
];

const poll = (owner: scheduler.Owner, at: number, progress: Progress) => {
	const listed = taskIds.map((taskId, index) => ({
		taskId,
		number: index + 1,
		run: getLastRun(owner, taskId),
		percent: progress[index]!,
	}));
	pollExecutor(owner, 'x', {
		at,
		running: listed.filter(({percent}) => percent < 100),
		ends: listed.filter(({percent}) => percent === 100),
	});
};

for (const [name, at, progress, total, remaining] of cases) {
	tap.t.test(`the path of a job where ${name}`, async (t) => {
		const {owner, job} = createOwner();
		poll(owner, at, progress);
		const isNear = (found: number, expected: number) => {
			t.ok(Math.abs(found / expected - 1) < 0.02, `${found} for ${expected}`);
		};

		isNear(scheduler.getRemainingCriticalPathMs(owner, job, at), remaining);
		isNear(scheduler.getObjectiveMs(owner, job, at), 2 * total + 600);
	});
}

tap.t.test('time since the last poll counts as run time', async (t) => {
	const {owner, job} = createOwner();
	poll(owner, 1400, [50, 40]);
	const show = (at: number) =>
		Math.round(scheduler.getRemainingCriticalPathMs(owner, job, at));
	t.equal(show(1500), show(1400) - 100);
	t.equal(show(5000), show(1400) - 450, 'but a quarter of it remains');
});

tap.t.test('a run of an earlier owner counts from its adoption', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	addSamples(owner, [4]);
	const job = submit(owner, createAccepted('a'), true);
	const show = (at: number, percent: number) => {
		pollExecutor(owner, 'x', {at, running: [{taskId: taskIds[0], percent}]});
		return scheduler.getRemainingCriticalPathMs(owner, job, at);
	};

	const adopted = show(100, 60);
	t.ok(Math.abs(adopted - 800) < 20, 'a prediction of what is left');
	t.equal(show(300, 80), 200, 'its progress since then');
});

// The objective is 600 ms plus twice the path, which is still to be run.
const lateness = [
	['as declared', [1], 1200, 'late', true],
	['four times the declared one', [4], 1200, 'in-time', false],
	['a tenth of the declared one', [0.1], 800, 'late', true],
	['uncertain', [1, 1, 8, 8], 2600, 'late', false],
] as const;

for (const [name, factors, at, timeliness, isLateForPool] of lateness) {
	tap.t.test(`a job of 500 ms whose time is ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		addSamples(owner, factors);
		const job = submit(owner, createAccepted('a'));
		const times = {now: at, epochNow: at};
		t.equal(scheduler.getTimeliness(owner, job, times), timeliness);
		t.equal(scheduler.isLate(owner, job, times), isLateForPool);
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
		const request = {patienceMs: 60_000, urgency: 'urgent'} as const;
		scheduler.requestEvacuation(owner, 'x', request, 20);
		const commands = scheduler.planCommands(owner, 30, 30);
		t.equal(commands.length, stops, `${factor} times the declared time`);
	}
});
