import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	getCommandRun,
	planAndStart,
	pollExecutor,
	submit,
	testConfig,
	type TestCommand,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const cfg = {...testConfig, maxStopMs: 900, evacuationTtlMs: 300};

const createJob = (count: number) =>
	createAccepted('a', [
		{isLongRunning: true, maxPerExecutor: 1, count, mayMiss: 1},
	]);

const listReady = (taskId: string, run: number) => [
	{taskId, run, percent: 100},
];

const describeStops = (commands: readonly TestCommand[]) =>
	describeCommands(commands.filter(({kind}) => kind === 'stop'));

type Poll = {
	readonly sentAt: number;
	readonly at: number;
	/** Whether the run has ended in the meantime. */
	readonly hasEnded?: boolean;
};

type TakeoverCase = {
	readonly name: string;
	readonly tasks: number;
	/** Why task 0 is to leave its executor. */
	readonly cause: 'evacuation' | 'draining';
	/** Polls of the executor of task 1 after the first, answered at 100. */
	readonly polls: readonly Poll[];
	readonly planAt: number;
	readonly stops: readonly string[];
};

const evacuated = 'stop a.0.0.0 on e0: evacuation';

const takeovers: readonly TakeoverCase[] = [
	{
		name: 'the first poll does not show whether another task is being stopped',
		tasks: 2,
		cause: 'evacuation',
		polls: [],
		planAt: 110,
		stops: [],
	},
	{
		name: 'a draining executor keeps its task as long',
		tasks: 2,
		cause: 'draining',
		polls: [],
		planAt: 110,
		stops: [],
	},
	{
		name: 'a poll sent before a stop has taken its time shows nothing',
		tasks: 2,
		cause: 'evacuation',
		polls: [
			{sentAt: 120, at: 130},
			{sentAt: 999, at: 1500},
		],
		planAt: 1510,
		stops: [],
	},
	{
		name: 'a poll sent after that time shows that the other task stays',
		tasks: 2,
		cause: 'evacuation',
		polls: [{sentAt: 1000, at: 1010}],
		planAt: 1020,
		stops: [evacuated],
	},
	{
		name: 'a draining executor loses its task after that time',
		tasks: 2,
		cause: 'draining',
		polls: [{sentAt: 1000, at: 1010}],
		planAt: 1020,
		stops: ['stop a.0.0.0 on e0: executor-draining'],
	},
	{
		name: 'a poll after that time shows that the other task was stopped',
		tasks: 2,
		cause: 'evacuation',
		polls: [{sentAt: 1000, at: 1010, hasEnded: true}],
		planAt: 1020,
		stops: [],
	},
	{
		name: 'a task without others is stopped at once',
		tasks: 1,
		cause: 'evacuation',
		polls: [],
		planAt: 110,
		stops: [evacuated],
	},
];

// The stops of an earlier owner are known only by their effect.
for (const {name, tasks, cause, polls, planAt, stops} of takeovers) {
	tap.t.test(`takeover: ${name}`, async (t) => {
		const owner = scheduler.createOwner('s', 2, cfg, 0);
		for (const id of ['e0', 'e1', 'e2']) {
			const isDraining = id === 'e0' && cause === 'draining';
			scheduler.inheritExecutor(owner, createListed(id), 5000);
			scheduler.recordListedExecutor(owner, createListed(id, {isDraining}), 0);
		}

		submit(owner, createJob(tasks), true);
		pollExecutor(owner, 'e0', {at: 100, running: listReady('a.0.0.0', 10_001)});
		pollExecutor(owner, 'e1', {
			at: 100,
			running: tasks > 1 ? listReady('a.0.0.1', 10_002) : [],
		});
		pollExecutor(owner, 'e2', {at: 100});
		for (const {hasEnded, ...poll} of polls) {
			const running = hasEnded ? [] : listReady('a.0.0.1', 10_002);
			pollExecutor(owner, 'e1', {...poll, running});
		}

		if (cause === 'evacuation') {
			scheduler.requestEvacuation(owner, 'e0', {patienceMs: 0}, planAt);
		}

		t.same(describeStops(planAndStart(owner, planAt)), stops);
	});
}

type OwnStopCase = {
	readonly name: string;
	readonly polls: readonly Poll[];
	readonly stops: readonly string[];
};

const ownStops: readonly OwnStopCase[] = [
	{
		name: 'the next poll does not show that it failed',
		polls: [{sentAt: 810, at: 820}],
		stops: [],
	},
	{
		name: 'nor does a poll sent while it may arrive and take its time',
		polls: [{sentAt: 2199, at: 2300}],
		stops: [],
	},
	{
		name: 'a poll sent after that time shows that it failed',
		polls: [{sentAt: 2200, at: 2210}],
		stops: ['stop a.0.0.1 on e1: evacuation'],
	},
	{
		name: 'a poll after that time shows that it succeeded',
		polls: [{sentAt: 2200, at: 2210, hasEnded: true}],
		stops: [],
	},
];

for (const {name, polls, stops} of ownStops) {
	tap.t.test(`stop without an answer: ${name}`, async (t) => {
		const owner = createTestOwner(
			['e0', 'e1', 'e2'].map((id) => createListed(id)),
			cfg,
		);
		submit(owner, createJob(2));
		const runs = planAndStart(owner, 0).map((each) => getCommandRun(each)!);
		const [first, second] = runs.map(({task, number}) =>
			listReady(task.id, number),
		);
		pollExecutor(owner, 'e0', {at: 100, running: first!});
		pollExecutor(owner, 'e1', {at: 100, running: second!});
		scheduler.requestEvacuation(owner, 'e0', {patienceMs: 0}, 200);
		const [stop] = planAndStart(owner, 200);
		t.same(describeCommands([stop!]), [evacuated]);
		scheduler.applyStopAnswer(
			owner,
			getCommandRun(stop)!,
			{kind: 'no-answer'},
			800,
		);
		for (const {hasEnded, ...poll} of polls) {
			pollExecutor(owner, 'e0', {...poll, running: hasEnded ? [] : first!});
		}

		const planAt = polls.at(-1)!.at + 10;
		scheduler.requestEvacuation(owner, 'e1', {patienceMs: 0}, planAt);
		t.same(describeStops(planAndStart(owner, planAt)), stops);
	});
}
