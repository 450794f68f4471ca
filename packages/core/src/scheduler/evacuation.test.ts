import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	listRuns,
	pollExecutor,
	planAndStart,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const lasting = {isLongRunning: true, maxPerExecutor: 1};

/** Lists all runs with these percents by task, in order of the executors. */
const lookAll = (
	owner: scheduler.Owner,
	at: number,
	getPercent: (taskId: string) => number,
) => {
	for (const id of owner.executors.keys()) {
		const running = listRuns(owner, id).map((run) => ({
			...run,
			percent: getPercent(run.taskId),
		}));
		pollExecutor(owner, id, {at, running});
	}
};

type Case = {
	readonly name: string;
	readonly step: Partial<scheduler.StepSpec>;
	readonly percents: Readonly<Record<string, number>>;
	/** Executors of the service; the first one is emptied. */
	readonly executors: number;
	readonly patienceMs: number;
	readonly stops: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'short work is waited for',
		step: {estimateMs: 500},
		percents: {'a.0.0.0': 50},
		executors: 2,
		patienceMs: 1000,
		stops: [],
	},
	{
		name: 'work is stopped once patience is over',
		step: {estimateMs: 500},
		percents: {'a.0.0.0': 50},
		executors: 2,
		patienceMs: 0,
		stops: ['a.0.0.0'],
	},
	{
		name: 'long work that saves itself is stopped at once',
		step: {estimateMs: 5000, canCheckpoint: true},
		percents: {'a.0.0.0': 10},
		executors: 2,
		patienceMs: 1000,
		stops: ['a.0.0.0'],
	},
	{
		name: 'a lasting task goes while its budget allows it',
		step: {...lasting, count: 2, mayMiss: 1},
		percents: {'a.0.0.0': 100, 'a.0.0.1': 100},
		executors: 3,
		patienceMs: 1000,
		stops: ['a.0.0.0'],
	},
	{
		name: 'a lasting task stays while another of its step is away',
		step: {...lasting, count: 2, mayMiss: 1},
		percents: {'a.0.0.0': 100, 'a.0.0.1': 40},
		executors: 3,
		patienceMs: 0,
		stops: [],
	},
	{
		name: 'a lasting task that was starting may be at work by now',
		step: {...lasting, count: 2, mayMiss: 1},
		percents: {'a.0.0.0': 40, 'a.0.0.1': 40},
		executors: 3,
		patienceMs: 1000,
		stops: [],
	},
	{
		name: 'a lasting task that was starting goes within the budget',
		step: {...lasting, count: 2, mayMiss: 1},
		percents: {'a.0.0.0': 40, 'a.0.0.1': 100},
		executors: 3,
		patienceMs: 1000,
		stops: ['a.0.0.0'],
	},
	{
		name: 'a lasting task stays while there is no room elsewhere',
		step: {...lasting, count: 2, mayMiss: 1},
		percents: {'a.0.0.0': 100, 'a.0.0.1': 100},
		executors: 2,
		patienceMs: 0,
		stops: [],
	},
];

for (const {name, step, percents, executors, patienceMs, stops} of cases) {
	tap.t.test(name, async (t) => {
		const ids = Array.from({length: executors}, (_, index) => `e${index}`);
		const owner = createTestOwner(ids.map((id) => createListed(id)));
		submit(owner, createAccepted('a', [step]));
		planAndStart(owner, 0);
		lookAll(owner, 100, (taskId) => percents[taskId] ?? 0);
		const state = scheduler.requestEvacuation(owner, 'e0', patienceMs, 200);
		t.same(state, {kind: 'waiting', runs: 1});
		t.same(
			describeCommands(planAndStart(owner, 200)),
			stops.map((id) => `stop ${id} on e0: evacuation`),
		);
	});
}

tap.t.test('two lasting tasks of one step do not go at once', async (t) => {
	const owner = createTestOwner(
		['e0', 'e1', 'e2', 'e3'].map((id) => createListed(id)),
	);
	submit(owner, createAccepted('a', [{...lasting, count: 2, mayMiss: 1}]));
	planAndStart(owner, 0);
	lookAll(owner, 100, () => 100);
	scheduler.requestEvacuation(owner, 'e0', 0, 200);
	scheduler.requestEvacuation(owner, 'e1', 0, 200);
	t.equal(planAndStart(owner, 200).length, 1);
	t.same(planAndStart(owner, 210), []);
});

tap.t.test(
	'two lasting tasks of one step on one executor do not',
	async (t) => {
		const owner = createTestOwner([createListed('e0'), createListed('e1')]);
		submit(
			owner,
			createAccepted('a', [{isLongRunning: true, count: 2, mayMiss: 1}]),
		);
		pollExecutor(owner, 'e0', {
			at: 1,
			running: ['a.0.0.0', 'a.0.0.1'].map((taskId) => ({taskId, percent: 100})),
		});
		scheduler.requestEvacuation(owner, 'e0', 0, 200);
		t.same(describeCommands(planAndStart(owner, 200)), [
			'stop a.0.0.0 on e0: evacuation',
		]);
		t.same(planAndStart(owner, 210), [], 'the other waits for the first');
	},
);

tap.t.test(
	'an executor that is emptied gets nothing, and is clear when empty',
	async (t) => {
		const owner = createTestOwner([createListed('x')]);
		t.same(scheduler.requestEvacuation(owner, 'x', 0, 0), {kind: 'clear'});
		submit(owner, createAccepted('a'));
		t.same(planAndStart(owner, 10), []);
		t.same(scheduler.requestEvacuation(owner, 'none', 0, 0), {
			kind: 'unknown-executor',
		});
		const after = owner.cfg.evacuationTtlMs + 1;
		t.equal(planAndStart(owner, after).length, 1, 'nobody asked again');
	},
);

tap.t.test('an executor that has not answered is not clear', async (t) => {
	const owner = createTestOwner([]);
	scheduler.recordListedExecutor(owner, createListed('x'));
	t.same(scheduler.requestEvacuation(owner, 'x', 0, 0), {
		kind: 'waiting',
		runs: 0,
	});
});

tap.t.test(
	'a stop without an answer spends the budget until its executor is heard',
	async (t) => {
		const owner = createTestOwner(
			['e0', 'e1', 'e2', 'e3'].map((id) => createListed(id)),
		);
		submit(owner, createAccepted('a', [{...lasting, count: 2, mayMiss: 1}]));
		planAndStart(owner, 0);
		lookAll(owner, 100, () => 100);
		scheduler.requestEvacuation(owner, 'e0', 0, 200);
		scheduler.requestEvacuation(owner, 'e1', 0, 200);
		const [stop] = planAndStart(owner, 200);
		t.same(describeCommands(stop ? [stop] : []), [
			'stop a.0.0.0 on e0: evacuation',
		]);
		if (stop?.kind === 'stop') {
			scheduler.applyStopAnswer(owner, stop.run, {kind: 'no-answer'}, 800);
		}

		t.same(
			describeCommands(planAndStart(owner, 810)),
			[],
			'it may have been carried out',
		);
		lookAll(owner, 900, () => 100);
		t.same(describeCommands(planAndStart(owner, 910)), [
			'stop a.0.0.0 on e0: evacuation',
		]);
	},
);
