/**
 * Guards against executors that are kept free for a crash suspect which fits on
 * none of them: nothing else of the service starts there meanwhile.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {simulateSmallPool} from './small-pool.test.fixture.js';

/** Longest time for which a job may stand beside room, in milliseconds. */
const maxStandingMs = 3000;

const cores = (count: number) => ({
	cpuMillis: 1000 * count,
	memoryMb: 1,
	accelerators: 0,
});

type Case = {
	readonly name: string;
	readonly executors: number;
	readonly suspect: Partial<scheduler.StepSpec>;
	/** Work that takes room on each executor. */
	readonly other: Partial<scheduler.StepSpec>;
	/** Tasks that are submitted each half second. */
	readonly load: number;
};

const lasting = {isLongRunning: true, estimateMs: 60_000};
const long = {estimateMs: 15_000};

const cases: readonly Case[] = [
	{
		name: 'a task, one executor',
		executors: 1,
		suspect: {},
		other: lasting,
		load: 1,
	},
	{
		name: 'a task, two executors, more load than one of them serves',
		executors: 2,
		suspect: {},
		other: lasting,
		load: 4,
	},
	{
		name: 'a gang, one executor',
		executors: 1,
		suspect: {isGang: true},
		other: lasting,
		load: 1,
	},
	{
		name: 'a gang, two executors, more load than one of them serves',
		executors: 2,
		suspect: {count: 2, isGang: true},
		other: lasting,
		load: 4,
	},
	{
		name: 'a gang that is too large, one executor',
		executors: 1,
		suspect: {count: 2, isGang: true},
		other: {estimateMs: 100},
		load: 1,
	},
	{
		name: 'a task, one executor with a run of many seconds',
		executors: 1,
		suspect: {},
		other: long,
		load: 1,
	},
	{
		name: 'a gang, one executor with a run of many seconds',
		executors: 1,
		suspect: {isGang: true},
		other: long,
		load: 1,
	},
];

for (const {name, executors, suspect, other, load} of cases) {
	tap.t.test(
		`others start beside a suspect without room: ${name}`,
		async (t) => {
			const pool = simulateSmallPool({
				executors: Array.from({length: executors}, (_, index) =>
					createListed(`x${index}`),
				),
			});
			const {submit, advanceTo, getStanding} = pool;
			submit(
				createAccepted('other', [
					{count: executors, maxPerExecutor: 1, resources: cores(1), ...other},
				]),
			);
			advanceTo(1000);
			const job = submit(
				createAccepted('suspect', [{resources: cores(4), ...suspect}]),
			);
			for (const task of scheduler.listTasks(job)) {
				task.crashes = [{run: 1, survivedMs: 0, wasIsolated: false}];
				scheduler.trackSuspect(pool.owner, task);
			}

			const small: string[] = [];
			advanceTo(20_000, (now) => {
				if (now % 500 === 0) {
					const id = `j${now}`;
					small.push(id);
					submit(createAccepted(id, [{count: load, resources: cores(1)}]));
				}
			});
			const longestMs = Math.max(
				...small.map((id) => getStanding(id).longestMs),
			);
			t.ok(longestMs < maxStandingMs, `${longestMs} ms`);
		},
	);
}

tap.t.test('a suspect starts once short runs leave it room', async (t) => {
	const {owner, submit, advanceTo, startedAt} = simulateSmallPool({
		executors: [createListed('x')],
	});
	let index = 0;
	const addSmall = () => {
		index += 1;
		submit(createAccepted(`j${index}`, [{count: 4, resources: cores(1)}]));
	};

	addSmall();
	advanceTo(1000, addSmall);
	const job = submit(createAccepted('suspect', [{resources: cores(4)}]));
	const [task] = scheduler.listTasks(job);
	task!.crashes = [{run: 1, survivedMs: 0, wasIsolated: false}];
	scheduler.trackSuspect(owner, task!);
	advanceTo(5000, addSmall);
	t.ok(startedAt.has(task!.id));
});
