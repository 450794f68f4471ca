/**
 * Guards against a service that stands for as long as a crash suspect is isolated
 * on its only usable executor.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {simulateSmallPool} from './small-pool.test.fixture.js';

/** Longest time for which a job may stand beside room, in milliseconds. */
const maxStandingMs = 3000;

const smallTask = {cpuMillis: 1000, memoryMb: 1, accelerators: 0};

type Case = {
	readonly name: string;
	/** Executors beside the usable one, which are kept for a command. */
	readonly reserved: number;
	readonly suspects: number;
	readonly suspect: Partial<scheduler.StepSpec>;
};

const cases: readonly Case[] = [
	{name: 'of one', reserved: 0, suspects: 1, suspect: {}},
	{name: 'of two', reserved: 1, suspects: 1, suspect: {}},
	{name: 'a gang', reserved: 0, suspects: 1, suspect: {count: 2, isGang: true}},
	{name: 'several suspects', reserved: 0, suspects: 3, suspect: {}},
];

for (const {name, reserved, suspects, suspect} of cases) {
	tap.t.test(`others start beside an isolated suspect: ${name}`, async (t) => {
		const ids = Array.from({length: 1 + reserved}, (_, index) => `x${index}`);
		const pool = simulateSmallPool({
			executors: ids.map((id) => createListed(id)),
		});
		const {owner, submit, advanceTo, getStanding} = pool;
		const tasks: scheduler.Task[] = [];
		for (let index = 0; index < suspects; index++) {
			const job = submit(
				createAccepted(`suspect${index}`, [
					{resources: smallTask, estimateMs: 15_000, ...suspect},
				]),
			);
			for (const task of scheduler.listTasks(job)) {
				const crash = {survivedMs: 5000, wasIsolated: false};
				task.crashes = [1, 2].map((run) => ({run, ...crash}));
				scheduler.trackSuspect(owner, task);
				tasks.push(task);
			}
		}

		const small: string[] = [];
		advanceTo(45_000, (now) => {
			for (const id of ids.slice(1)) {
				scheduler.reserveExecutor(owner, id, now);
			}

			if (now % 500 === 0) {
				const id = `j${now}`;
				small.push(id);
				submit(createAccepted(id, [{resources: smallTask}]));
			}
		});
		const longestMs = Math.max(...small.map((id) => getStanding(id).longestMs));
		t.ok(longestMs < maxStandingMs, `${longestMs} ms`);
		t.ok(
			tasks.every(({crashes}) => crashes.length === 0),
			'the suspects are cleared',
		);
	});
}
