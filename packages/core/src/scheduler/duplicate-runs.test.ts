import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	listRuns,
	pollExecutor,
	planAndStart,
	getCommandRun,
	flushAll,
	submit,
	testConfig,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

/** An owner of two executors with one task ordered on the first. */
const createWorld = () => {
	const owner = createTestOwner([createListed('x'), createListed('yy')]);
	submit(owner, createAccepted('a'));
	const [order] = scheduler.planCommands(owner, 0, 0);
	if (order?.kind !== 'start') {
		throw new Error('no start');
	}

	return {owner, order, run: order.run};
};

const noAnswer = {kind: 'no-answer'} as const;

const done = {kind: 'done', clockMs: 0} as const;

tap.t.test('a start without an answer is barred before another', async (t) => {
	const {owner, run} = createWorld();
	scheduler.applyStartAnswer(owner, run, noAnswer, 500);
	t.same(planAndStart(owner, 510), [], 'nothing until the executor answers');
	pollExecutor(owner, 'x', {at: 520});
	t.same(describeCommands(planAndStart(owner, 530)), [
		'stop a.0.0.0 on x: unanswered-start',
	]);
	pollExecutor(owner, 'x', {at: 540});
	t.same(planAndStart(owner, 545), [], 'the stop has not been answered');
	scheduler.applyStopAnswer(owner, run, done, 550);
	t.same(planAndStart(owner, 555), [], 'it may have been there by then');
	pollExecutor(owner, 'x', {at: 560});
	const orders = planAndStart(owner, 570);
	t.equal(orders.length, 1);
	t.ok(getCommandRun(orders[0])!.number > run.number, 'run numbers rise');
});

tap.t.test('a start without an answer that runs is left running', async (t) => {
	const {owner, run} = createWorld();
	scheduler.applyStartAnswer(owner, run, noAnswer, 500);
	pollExecutor(owner, 'x', {
		at: 520,
		running: [{taskId: run.task.id, run: run.number, percent: 50}],
	});
	t.same(planAndStart(owner, 530), []);
	t.equal(run.state, 'running');
});

tap.t.test('a refused start goes elsewhere with a higher run', async (t) => {
	const {owner, run} = createWorld();
	scheduler.applyStartAnswer(
		owner,
		run,
		{kind: 'refused', reason: 'no-room', clockMs: 5},
		5,
	);
	const orders = planAndStart(owner, 10);
	t.same(describeCommands(orders), ['start a.0.0.0 on yy']);
	t.ok(getCommandRun(orders[0])!.number > run.number);
});

tap.t.test(
	'work on a silent executor waits for the end of its lease',
	async (t) => {
		const {owner, run} = createWorld();
		scheduler.applyStartAnswer(owner, run, {kind: 'started', clockMs: 0}, 0);
		scheduler.markUnresponsive(owner, 'x', 100);
		const step = 250;
		const slowest = testConfig.taskLeaseMs / (1 - scheduler.maxClockDrift);
		for (let now = 100; now < slowest; now += step) {
			t.same(scheduler.expireLeases(owner, now), [], `at ${now}`);
			t.same(planAndStart(owner, now), [], `at ${now}`);
		}

		t.equal(scheduler.expireLeases(owner, slowest + step).length, 1);
		t.same(describeCommands(planAndStart(owner, slowest + step)), [
			'start a.0.0.0 on yy',
		]);
	},
);

tap.t.test('an executor dropped by the registry keeps its work', async (t) => {
	const {owner, run} = createWorld();
	scheduler.applyStartAnswer(owner, run, {kind: 'started', clockMs: 0}, 0);
	scheduler.recordUnlistedExecutor(owner, 'x');
	t.same(planAndStart(owner, 10), []);
	t.ok(owner.executors.has('x'));
	t.equal(scheduler.markTerminated(owner, 'x').length, 1);
	t.notOk(owner.executors.has('x'));
	t.same(describeCommands(planAndStart(owner, 20)), ['start a.0.0.0 on yy']);
});

tap.t.test('a run that is there no more is started again', async (t) => {
	const {owner, run} = createWorld();
	scheduler.applyStartAnswer(owner, run, {kind: 'started', clockMs: 0}, 10);
	pollExecutor(owner, 'x', {at: 5});
	t.same(planAndStart(owner, 20), [], 'the look was sent before the answer');
	pollExecutor(owner, 'x', {at: 30});
	t.equal(planAndStart(owner, 40).length, 1);
});

type Inheritance = {
	readonly name: string;
	readonly isInherited: boolean;
	/** What becomes of the executor that an earlier owner used. */
	readonly resolve: (owner: scheduler.Owner) => void;
	readonly starts: number;
};

const overAt = 9000;

const inheritances: readonly Inheritance[] = [
	{
		name: 'an inherited job waits for an executor that is silent',
		isInherited: true,
		resolve: () => undefined,
		starts: 0,
	},
	{
		name: 'a job accepted since then does not wait',
		isInherited: false,
		resolve: () => undefined,
		starts: 1,
	},
	{
		name: 'it has answered and runs nothing',
		isInherited: true,
		resolve(owner) {
			pollExecutor(owner, 'old', {at: 1});
		},
		starts: 1,
	},
	{
		name: 'it has answered and runs the task',
		isInherited: true,
		resolve(owner) {
			pollExecutor(owner, 'old', {
				at: 1,
				running: [{taskId: 'a.0.0.0', run: 7}],
			});
		},
		starts: 0,
	},
	{
		name: 'it has answered and the task is done',
		isInherited: true,
		resolve(owner) {
			pollExecutor(owner, 'old', {at: 1, ends: [{taskId: 'a.0.0.0', run: 7}]});
		},
		starts: 0,
	},
	{
		name: 'another life answers at its address',
		isInherited: true,
		resolve(owner) {
			scheduler.markTerminated(owner, 'old');
		},
		starts: 1,
	},
	{
		name: 'the leases there are certainly over',
		isInherited: true,
		resolve(owner) {
			scheduler.expireLeases(owner, overAt);
		},
		starts: 1,
	},
	{
		name: 'the leases there may still run',
		isInherited: true,
		resolve(owner) {
			scheduler.expireLeases(owner, overAt - 1);
		},
		starts: 0,
	},
	{
		name: 'the registry has dropped it, which proves nothing',
		isInherited: true,
		resolve(owner) {
			scheduler.recordUnlistedExecutor(owner, 'old');
		},
		starts: 0,
	},
];

for (const {name, isInherited, resolve, starts} of inheritances) {
	tap.t.test(`takeover: ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		scheduler.inheritExecutor(owner, createListed('old'), overAt);
		submit(owner, createAccepted('a'), isInherited);
		resolve(owner);
		const orders = planAndStart(owner, 2);
		t.equal(orders.filter(({kind}) => kind === 'start').length, starts);
	});
}

tap.t.test('a later owner uses higher run numbers', async (t) => {
	const first = createWorld();
	const later = scheduler.createOwner('s', 2, testConfig, 0);
	scheduler.recordListedExecutor(later, createListed('x'));
	pollExecutor(later, 'x', {at: 0});
	flushAll(later);
	submit(later, createAccepted('a'), true);
	const [order] = planAndStart(later, 1);
	t.ok(getCommandRun(order)!.number > first.run.number);
});

tap.t.test('of two runs of one task the older is stopped', async (t) => {
	const owner = createTestOwner([createListed('x'), createListed('yy')]);
	submit(owner, createAccepted('a'));
	pollExecutor(owner, 'x', {at: 1, running: [{taskId: 'a.0.0.0', run: 3}]});
	pollExecutor(owner, 'yy', {at: 1, running: [{taskId: 'a.0.0.0', run: 4}]});
	t.same(describeCommands(planAndStart(owner, 2)), [
		'stop a.0.0.0 on x: duplicate',
	]);
});

tap.t.test('runs of a task that is done, or of no job, are told', async (t) => {
	const owner = createTestOwner([createListed('x'), createListed('yy')]);
	submit(owner, createAccepted('a', [{count: 2}]));
	pollExecutor(owner, 'x', {at: 1, ends: [{taskId: 'a.0.0.0', run: 3}]});
	const changes = pollExecutor(owner, 'yy', {
		at: 1,
		running: [
			{taskId: 'a.0.0.0', run: 2},
			{taskId: 'gone.0.0.0', run: 1},
		],
	});
	t.same(
		changes.orphanedRuns.map(({taskId}) => taskId),
		['gone.0.0.0'],
	);
	t.match(describeCommands(planAndStart(owner, 2)), [
		'stop a.0.0.0 on yy: task-done',
	]);
});

tap.t.test('listRuns shows what was ordered', async (t) => {
	const {owner, run} = createWorld();
	t.same(listRuns(owner, 'x'), [{taskId: 'a.0.0.0', run: run.number}]);
});

const whole = {cpuMillis: 4000, memoryMb: 100, accelerators: 0};

tap.t.test(
	'what runs of an ended job takes room until it has ended',
	async (t) => {
		const owner = createTestOwner([createListed('x')]);
		const ended = scheduler.addJob(
			owner,
			createAccepted('e', [{resources: whole}]),
			true,
		);
		scheduler.applyProgress(
			ended,
			{
				end: 'cancelled',
				doneOccurrences: 0,
				nextOccurrence: 1,
				occurrences: [],
			},
			0,
		);
		owner.openJobs.delete(ended);
		submit(owner, createAccepted('a'));
		const running = [{taskId: 'e.0.0.0', run: 7}];
		pollExecutor(owner, 'x', {at: 1, running});
		t.same(describeCommands(planAndStart(owner, 2)), [
			'stop e.0.0.0 on x: job-ended',
		]);
		pollExecutor(owner, 'x', {at: 3, ends: [{...running[0]!, how: 'stopped'}]});
		t.same(describeCommands(planAndStart(owner, 4)), ['start a.0.0.0 on x']);
	},
);

tap.t.test('an executor with runs of no known job gets nothing', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	submit(owner, createAccepted('a'));
	pollExecutor(owner, 'x', {at: 1, running: [{taskId: 'gone.0.0.0', run: 1}]});
	t.same(planAndStart(owner, 2), []);
	pollExecutor(owner, 'x', {at: 3});
	t.same(describeCommands(planAndStart(owner, 4)), ['start a.0.0.0 on x']);
});

tap.t.test('an executor that is gone is not listed again', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	scheduler.markTerminated(owner, 'x');
	t.notOk(owner.executors.has('x'));
	scheduler.recordListedExecutor(owner, createListed('x'));
	t.notOk(
		owner.executors.has('x'),
		'the registry may hold its row for seconds',
	);
});
