/**
 * Guards against a gang that waits for a member whose start was certainly not
 * carried out: its other members would hold their room and then end alone.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	getCommandRun,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const ids = ['x0', 'x1', 'x2', 'x3', 'x4'];

const size = 4;

const full = {cpuMillis: 4000, memoryMb: 1000, accelerators: 0};

type Gang = {
	readonly owner: scheduler.Owner;
	readonly job: scheduler.Job;
	readonly runs: readonly scheduler.Run[];
};

/** Sends the starts of a gang at 0, each to an executor of its own. */
const sendGang = (
	executors = ids,
	step: Partial<scheduler.StepSpec> = {},
): Gang => {
	const owner = createTestOwner(executors.map((id) => createListed(id)));
	const job = submit(
		owner,
		createAccepted('g', [
			{
				count: size,
				isGang: true,
				resources: full,
				estimateMs: 60_000,
				...step,
			},
		]),
	);
	const runs = scheduler
		.planCommands(owner, 0, 0)
		.map((command) => getCommandRun(command)!);
	return {owner, job, runs};
};

const answer = (
	{owner, runs}: Gang,
	answers: ReadonlyArray<scheduler.StartAnswer | undefined>,
	now: number,
) => {
	for (const [index, each] of answers.entries()) {
		if (each) {
			scheduler.applyStartAnswer(owner, runs[index]!, each, now);
		}
	}
};

const started = {kind: 'started', clockMs: 1} as const;

const turnedAway: ReadonlyArray<readonly [string, scheduler.StartAnswer]> = [
	['was not sent', {kind: 'not-sent'}],
	['is refused', {kind: 'refused', reason: 'unhealthy', clockMs: undefined}],
	['finds no room', {kind: 'refused', reason: 'no-room', clockMs: 5}],
	['meets another incarnation', {kind: 'other-life'}],
];

for (const [name, last] of turnedAway) {
	tap.t.test(`a gang is completed: one start ${name}`, async (t) => {
		const gang = sendGang();
		const {owner, runs} = gang;
		t.equal(runs.length, size);
		answer(gang, [started, started, started, last], 5);
		const commands = scheduler.planCommands(owner, 10, 10);
		t.same(describeCommands(commands), ['start g.0.0.3 on x4']);
		t.equal(getCommandRun(commands[0])?.number, runs[0]!.number);
		t.equal(scheduler.planCommands(owner, 20, 20).length, 0);
	});
}

tap.t.test('a gang is completed before others have answered', async (t) => {
	const gang = sendGang();
	answer(gang, [undefined, started, undefined, {kind: 'not-sent'}], 5);
	const commands = scheduler.planCommands(gang.owner, 10, 10);
	t.same(describeCommands(commands), ['start g.0.0.3 on x4']);
});

tap.t.test('two members are sent again, one of them twice', async (t) => {
	const gang = sendGang([...ids, 'x5', 'x6']);
	const {owner, runs} = gang;
	const notSent = {kind: 'not-sent'} as const;
	answer(gang, [started, notSent, started, notSent], 5);
	const commands = scheduler.planCommands(owner, 10, 10);
	t.same(describeCommands(commands), [
		'start g.0.0.1 on x4',
		'start g.0.0.3 on x5',
	]);
	scheduler.applyStartAnswer(owner, getCommandRun(commands[1])!, notSent, 15);
	const again = scheduler.planCommands(owner, 20, 20);
	t.same(describeCommands(again), ['start g.0.0.3 on x6']);
	t.equal(getCommandRun(again[0])?.number, runs[0]!.number);
});

tap.t.test('a full start window does not delay the member', async (t) => {
	const gang = sendGang();
	const {owner} = gang;
	answer(gang, [undefined, undefined, undefined, {kind: 'not-sent'}], 5);
	owner.startWindow = {...owner.startWindow, size: 3};
	t.equal(scheduler.planCommands(owner, 10, 10).length, 1);
});

tap.t.test('a gang of which no member was started begins anew', async (t) => {
	const gang = sendGang();
	const {owner, runs} = gang;
	answer(
		gang,
		runs.map(() => ({kind: 'not-sent'})),
		5,
	);
	const commands = scheduler.planCommands(owner, 300, 300);
	t.equal(commands.length, size);
	const numbers = new Set(commands.map((each) => getCommandRun(each)!.number));
	t.same([...numbers], [runs[0]!.number + 1]);
});

tap.t.test('the member goes to the rack of the others', async (t) => {
	const owner = createTestOwner([
		createListed('z', {labels: ['r2-1']}),
		...ids.map((id) => createListed(id)),
	]);
	const step = {count: size, isGang: true, needsSameRack: true};
	submit(owner, createAccepted('g', [{...step, resources: full}]));
	const runs = scheduler
		.planCommands(owner, 0, 0)
		.map((command) => getCommandRun(command)!);
	t.notOk(runs.some(({executorId}) => executorId === 'z'));
	answer(
		{owner, job: [...owner.openJobs][0]!, runs},
		[started, started, started, {kind: 'not-sent'}],
		5,
	);
	const commands = scheduler.planCommands(owner, 10, 10);
	t.same(describeCommands(commands), ['start g.0.0.3 on x4']);
});

type RestCase = {
	readonly name: string;
	/** What happens to the first member. */
	readonly change: (gang: Gang) => void;
};

const restCases: readonly RestCase[] = [
	{
		name: 'another member has ended',
		change({owner, runs}) {
			const {executorId, task, number} = runs[0]!;
			pollExecutor(owner, executorId, {
				at: 8,
				ends: [{taskId: task.id, run: number, how: 'failed'}],
			});
		},
	},
	{
		name: 'it is not known whether another member runs',
		change({owner, runs}) {
			scheduler.applyStartAnswer(owner, runs[0]!, {kind: 'no-answer'}, 8);
		},
	},
	{
		name: 'a later checkpoint is listed than the others started from',
		change({owner}) {
			pollExecutor(owner, 'x4', {
				at: 8,
				ends: [{taskId: 'g.0.0.0', run: 1, how: 'lapsed', checkpoint: 'later'}],
			});
		},
	},
	{
		name: 'the job has ended',
		change({owner, job}) {
			scheduler.cancelJob(owner, job, 8);
		},
	},
];

for (const {name, change} of restCases) {
	tap.t.test(`no member is sent again: ${name}`, async (t) => {
		const gang = sendGang();
		answer(gang, [undefined, started, started, {kind: 'not-sent'}], 5);
		change(gang);
		const commands = scheduler.planCommands(gang.owner, 10, 10);
		t.notOk(commands.some(({kind}) => kind === 'start'));
	});
}

tap.t.test('a gang that cannot be completed is stopped in time', async (t) => {
	const gang = sendGang(ids.slice(0, size));
	const {owner} = gang;
	// The only other room is taken while the executor rests.
	answer(gang, [started, started, started, {kind: 'not-sent'}], 5);
	owner.executors.get('x3')!.listed = createListed('x3', {isDraining: true});
	t.same(scheduler.planCommands(owner, 1400, 1400), []);
	t.same(describeCommands(scheduler.planCommands(owner, 1510, 1510)), [
		'stop g.0.0.0 on x0: gang-incomplete',
		'stop g.0.0.1 on x1: gang-incomplete',
		'stop g.0.0.2 on x2: gang-incomplete',
	]);
});

const stops = [0, 1, 2].map(
	(index) => `stop g.0.0.${index} on x${index}: gang-incomplete`,
);

type WaitCase = {
	readonly name: string;
	/** What becomes of the last member until 700. */
	readonly change: (gang: Gang) => void;
	/** Progress of the others at 1600. */
	readonly percent: number;
	readonly stops: readonly string[];
};

/** A start without an answer, of which the executor knows nothing. */
const barLast = ({owner, runs}: Gang) => {
	const run = runs[3]!;
	scheduler.applyStartAnswer(owner, run, {kind: 'no-answer'}, 600);
	pollExecutor(owner, run.executorId, {at: 610});
	scheduler.planCommands(owner, 620, 620);
	scheduler.applyStopAnswer(owner, run, {kind: 'done', clockMs: 630}, 630);
	pollExecutor(owner, run.executorId, {at: 640});
};

const waitCases: readonly WaitCase[] = [
	{
		name: 'a member was barred after a start without an answer',
		change: barLast,
		percent: 0,
		stops,
	},
	{
		name: 'a member has gone, and the others have worked',
		change: barLast,
		percent: 1,
		stops: [],
	},
	{
		name: 'a member whose start had no answer runs',
		change({owner, runs}) {
			const {task, number, executorId} = runs[3]!;
			scheduler.applyStartAnswer(owner, runs[3]!, {kind: 'no-answer'}, 600);
			const running = [{taskId: task.id, run: number}];
			pollExecutor(owner, executorId, {at: 610, running});
		},
		percent: 0,
		stops: [],
	},
];

for (const {name, change, percent, stops: expected} of waitCases) {
	tap.t.test(`members that wait are stopped or not: ${name}`, async (t) => {
		const gang = sendGang(ids.slice(0, size));
		const {owner, runs} = gang;
		answer(gang, [started, started, started], 5);
		change(gang);
		t.same(scheduler.planCommands(owner, 1400, 1400), []);
		for (const {executorId, task, number} of runs.slice(0, 3)) {
			const running = [{taskId: task.id, run: number, percent}];
			pollExecutor(owner, executorId, {at: 1600, running});
		}

		const commands = scheduler.planCommands(owner, 1610, 1610);
		t.same(describeCommands(commands), expected);
	});
}

tap.t.test('members that an earlier owner started go on', async (t) => {
	const owner = createTestOwner(ids.map((id) => createListed(id)));
	submit(owner, createAccepted('g', [{count: size, isGang: true}]), true);
	const running = [{taskId: 'g.0.0.0', run: 7}];
	pollExecutor(owner, 'x0', {at: 10, running});
	pollExecutor(owner, 'x0', {at: 5000, running});
	t.same(scheduler.planCommands(owner, 5010, 5010), []);
});
