/**
 * Guards against samples whose time is not that of a whole run, which would
 * make declarations look wrong that are right.
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
import {getLastRun} from './run-times.test.fixture.js';

type Change = (owner: scheduler.Owner) => void;

const taskId = 'a.0.0.0';

const start: Change = (owner) => {
	planAndStart(owner, 10);
};

const startUnanswered: Change = (owner) => {
	scheduler.planCommands(owner, 10, 10);
	const run = getLastRun(owner, taskId);
	pollExecutor(owner, 'x', {at: 40, running: [{taskId, run, percent: 9}]});
};

const startFromCheckpoint: Change = (owner) => {
	scheduler.applyCheckpoint(scheduler.findTask(owner, taskId)!, 1, 'half');
	start(owner);
};

const startAndLoseSight: Change = (owner) => {
	start(owner);
	scheduler.markUnresponsive(owner, 'x', 50);
};

const startWithoutLearning: Change = (owner) => {
	Object.assign(owner, {cfg: {...owner.cfg, learnsRunTimes: false}});
	start(owner);
};

/** The number of samples, of the run and of its step. */
const cases: ReadonlyArray<
	readonly [
		name: string,
		samples: number,
		step?: Partial<scheduler.StepSpec>,
		how?: scheduler.RunEnd,
		begin?: Change,
	]
> = [
	['a run that ended', 2],
	['a run on the preferred rack', 2, {preferredRack: 'r1-1'}],
	['a run on another rack', 0, {preferredRack: 'r2-1'}],
	['a failed run', 0, {}, 'failed'],
	['a stopped run', 0, {}, 'stopped'],
	['a run of a gang', 0, {isGang: true}],
	['a long-running task', 0, {isLongRunning: true}],
	['a task in idle capacity', 0, {fillsIdleCapacity: true}],
	['a step of which another task waits', 1, {count: 2}],
	['a run from a checkpoint', 0, {}, 'done', startFromCheckpoint],
	['a run whose start was not seen', 0, {}, 'done', startUnanswered],
	['an end not polled in time', 0, {}, 'done', startAndLoseSight],
	['a run while the setting is off', 0, {}, 'done', startWithoutLearning],
];

for (const [name, samples, step, how = 'done', begin = start] of cases) {
	tap.t.test(`${name}: ${samples} samples`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(owner, createAccepted('a', [{...step}]));
		begin(owner);
		const run = getLastRun(owner, taskId);
		pollExecutor(owner, 'x', {at: 510, ends: [{taskId, run, how}]});
		const [shape] = owner.runTimes.shapes.values();
		t.equal(shape?.models.run.samples ?? 0, Math.min(1, samples));
		t.equal(shape?.models.step.samples ?? 0, Math.max(0, samples - 1));
	});
}

tap.t.test('names of images do not fill the memory', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	for (let index = 0; index < 100; index += 1) {
		submit(owner, createAccepted(`${index}`, [{image: `image-${index}`}]));
		planAndStart(owner, index);
		const id = `${index}.0.0.0`;
		const run = getLastRun(owner, id);
		const end = {number: index + 1, taskId: id, run};
		pollExecutor(owner, 'x', {at: index + 0.5, ends: [end]});
	}

	const shapes = [...owner.runTimes.shapes.values()];
	t.equal(shapes.length, scheduler.maxShapes);
	t.equal(shapes.at(-1)?.image, 'image-99');
});
