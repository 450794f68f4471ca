/**
 * Guards against wrong causes of missed objectives, with log lines as entries
 * write them.
 */
import * as tap from 'tap';
import * as jobPhases from './index.js';

const id = '0a17ce1d69eaa20e';
const shard = 'service/s';

type Line = readonly [at: number, message: string, fields: object];

const toLines = (lines: readonly Line[]): readonly jobPhases.LogLine[] =>
	lines.map(([at, message, fields]) => ({
		at,
		message,
		fields: {shard, ...fields},
	}));

const call = (at: number, outcome: string, tookMs = 10): Line => [
	at,
	'call answered',
	{call: 'submit', job: id, outcome, tookMs},
];

const acceptance = (at: number, changes: object = {}): Line => [
	at,
	'job taken in',
	{
		job: id,
		queue: 'q',
		stretch: 2,
		targetLatencyMs: 1000,
		chainMs: 500,
		work: 800,
		isLasting: false,
		...changes,
	},
];

/** Log lines of a run. */
const run = (
	from: number,
	to: number,
	{index = 0, number = 1, how = 'done'} = {},
): readonly Line[] => {
	const task = `${id}.0.0.${index}`;
	return [
		[
			from + 5,
			'task start',
			{task, run: number, outcome: 'started', tookMs: 5},
		],
		[to, 'task end', {task, run: number, how}],
	];
};

const end = (at: number, kind = 'completed'): Line => [
	at,
	'job ended',
	{job: id, end: kind},
];

type Case = {
	readonly name: string;
	readonly lines: readonly Line[];
	readonly cause: jobPhases.MissCause | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'in time',
		lines: [call(10, 'ok'), acceptance(12), ...run(20, 520), end(540)],
		cause: undefined,
	},
	{
		name: 'cancelled by its caller',
		lines: [call(10, 'ok'), acceptance(12), end(9000, 'cancelled')],
		cause: undefined,
	},
	{
		name: 'refused each time',
		lines: [call(10, 'store-unavailable'), call(900, 'store-unavailable')],
		cause: 'refused',
	},
	{
		name: 'refused first, accepted too late',
		lines: [
			call(10, 'store-unavailable'),
			call(2500, 'ok'),
			acceptance(2510),
			...run(2520, 3020),
			end(3030),
		],
		cause: 'acceptedLate',
	},
	{
		name: 'its owner was notified late',
		lines: [call(10, 'ok'), acceptance(2000), ...run(2010, 2510), end(2520)],
		cause: 'toldLate',
	},
	{
		name: 'no room for its first task',
		lines: [call(10, 'ok'), acceptance(12), ...run(2400, 2900), end(2910)],
		cause: 'noRoom',
	},
	{
		name: 'no room while machines could not be moved',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			[1000, 'orders not noted', {shard: 'control/fleet'}],
			...run(2400, 2900),
			end(2910),
		],
		cause: 'barredMoves',
	},
	{
		name: 'its service was taken over',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			[1500, 'service taken over', {}],
			...run(2400, 2900),
			end(2910),
		],
		cause: 'noOwner',
	},
	{
		name: 'another service was taken over',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			[1500, 'service taken over', {shard: 'service/other'}],
			...run(2400, 2900),
			end(2910),
		],
		cause: 'noRoom',
	},
	{
		name: 'an executor of the previous owner was suspected',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			[1500, 'service taken over', {}],
			[2000, 'owner load', {tasksOfUnknownPlace: 3}],
			...run(2400, 2900),
			end(2910),
		],
		cause: 'unknownPlace',
	},
	{
		name: 'no room between its steps',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			...run(20, 320),
			...run(2200, 2400, {index: 1}),
			end(2410),
		],
		cause: 'betweenSteps',
	},
	{
		name: 'a task ran more than once',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			...run(20, 2400, {how: 'failed'}),
			...run(2400, 2900, {number: 2}),
			end(2910),
		],
		cause: 'repeated',
	},
	{
		name: 'a job that cannot be done, failed as soon as its attempts had',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			...run(20, 520, {how: 'failed'}),
			...run(530, 1030, {number: 2, how: 'failed'}),
			...run(1040, 1540, {number: 3, how: 'failed'}),
			end(1550, 'failed'),
		],
		cause: undefined,
	},
	{
		name: 'a job that cannot be done, whose second attempt came late',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			...run(20, 520, {how: 'failed'}),
			...run(4530, 5030, {number: 2, how: 'failed'}),
			end(5040, 'failed'),
		],
		cause: 'repeated',
	},
	{
		name: 'tasks of one step ran one after another',
		lines: [
			call(10, 'ok'),
			acceptance(12),
			...run(20, 820),
			...run(820, 1620, {index: 1}),
			...run(1620, 2420, {index: 2}),
			...run(2420, 3220, {index: 3}),
			end(3230),
		],
		cause: 'slow',
	},
	{
		name: 'its end was stored late',
		lines: [call(10, 'ok'), acceptance(12), ...run(20, 520), end(2410)],
		cause: 'storedLate',
	},
	{
		name: 'longer than estimated, in time for its actual work',
		lines: [call(10, 'ok'), acceptance(12), ...run(20, 2400), end(2410)],
		cause: undefined,
	},
	{
		name: 'it never started',
		lines: [call(10, 'ok'), acceptance(12)],
		cause: 'unfinished',
	},
];

for (const {name, lines, cause} of cases) {
	tap.t.test(name, async (t) => {
		const all = jobPhases.readJobs(toLines(lines.toReversed()));
		t.equal(jobPhases.findMissCause(all, all.jobs.get(id)!), cause);
	});
}

tap.t.test('the phases add up to the duration of a job', async (t) => {
	const all = jobPhases.readJobs(
		toLines([
			call(110, 'ok'),
			acceptance(130),
			...run(200, 700),
			...run(300, 900, {index: 1}),
			...run(1000, 1500, {index: 2}),
			end(1520),
		]),
	);
	t.same(jobPhases.getPhases(all.jobs.get(id)!), {
		accept: 10,
		tell: 20,
		firstStart: 70,
		running: 1200,
		between: 100,
		store: 20,
	});
});

tap.t.test('the summary weights jobs by their work', async (t) => {
	const other = 'ffffffffffffffff';
	const all = jobPhases.readJobs(
		toLines([
			call(10, 'ok'),
			acceptance(12),
			...run(20, 520),
			end(540),
			acceptance(13, {job: other, work: 200}),
			acceptance(14, {job: 'eeeeeeeeeeeeeeee', isLasting: true}),
		]),
	);
	t.same(jobPhases.summarizeQueues(all), [
		{queue: 'q', jobs: 2, inTime: 1, lost: {unfinished: 0.2}},
	]);
});
