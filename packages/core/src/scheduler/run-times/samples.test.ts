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

const cases: ReadonlyArray<{
	readonly name: string;
	readonly step?: Partial<scheduler.StepSpec>;
	readonly how?: scheduler.RunEnd;
	/** Before the start. */
	readonly prepare?: (owner: scheduler.Owner) => void;
	/** After the start. */
	readonly disturb?: (owner: scheduler.Owner) => void;
	/** Whether only a poll confirms the start. */
	readonly isStartUnanswered?: boolean;
	/** Samples of single runs and of the step. */
	readonly samples: number;
}> = [
	{name: 'a run that ended', samples: 2},
	{
		name: 'a run on the preferred rack',
		step: {preferredRack: 'r1-1'},
		samples: 2,
	},
	{name: 'a run on another rack', step: {preferredRack: 'r2-1'}, samples: 0},
	{name: 'a failed run', how: 'failed', samples: 0},
	{name: 'a stopped run', how: 'stopped', samples: 0},
	{name: 'a run of a gang', step: {isGang: true}, samples: 0},
	{name: 'a long-running task', step: {isLongRunning: true}, samples: 0},
	{
		name: 'a task in idle capacity',
		step: {fillsIdleCapacity: true},
		samples: 0,
	},
	{name: 'a step of which another task runs', step: {count: 2}, samples: 1},
	{
		name: 'a run from a checkpoint',
		prepare(owner) {
			const [task] = scheduler.listTasks(owner.jobs.get('a')!);
			scheduler.applyCheckpoint(task!, 1, 'half');
		},
		samples: 0,
	},
	{name: 'a run whose start was not seen', isStartUnanswered: true, samples: 0},
	{
		name: 'an end that could not be polled in time',
		disturb(owner) {
			scheduler.markUnresponsive(owner, 'x', 50);
		},
		samples: 0,
	},
];

const taskId = 'a.0.0.0';

const start = (owner: scheduler.Owner, isUnanswered = false): void => {
	if (!isUnanswered) {
		planAndStart(owner, 10);
		return;
	}

	scheduler.planCommands(owner, 10, 10);
	pollExecutor(owner, 'x', {
		at: 40,
		running: [{taskId: 'a.0.0.0', percent: 9}],
	});
};

for (const each of cases) {
	const {name, step, how, prepare, disturb, samples} = each;
	tap.t.test(`${name}: ${samples} samples`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(owner, createAccepted('a', [{...step}]));
		prepare?.(owner);
		start(owner, each.isStartUnanswered);
		disturb?.(owner);

		const run = getLastRun(owner, taskId);
		const end = {taskId, run, how: how ?? scheduler.runEnds.done};
		pollExecutor(owner, 'x', {at: 510, ends: [end]});
		t.equal(owner.runTimes.version, samples);
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
