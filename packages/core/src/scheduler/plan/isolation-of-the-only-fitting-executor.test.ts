/**
 * Guards against work that stands for as long as a crash suspect is isolated on
 * the only executor that could run it, beside others that can't.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {simulateSmallPool} from './small-pool.test.fixture.js';

/** Longest time for which a job may stand beside room, in milliseconds. */
const maxStandingMs = 3000;

const smallTask = {cpuMillis: 1000, memoryMb: 1, accelerators: 0};

const cases = [
	{
		name: 'by its label',
		other: {labels: ['k2']},
		step: {requiredLabel: 'k1'},
	},
	{
		name: 'by its size',
		other: {capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0}},
		step: {resources: {...smallTask, cpuMillis: 1100}},
	},
];

for (const {name, other, step} of cases) {
	tap.t.test(`others start beside an isolated suspect: ${name}`, async (t) => {
		const {owner, submit, advanceTo, getStanding} = simulateSmallPool({
			executors: [
				createListed('x0', {labels: ['k1']}),
				createListed('x1', other),
			],
		});
		const job = submit(
			createAccepted('suspect', [
				{resources: smallTask, estimateMs: 15_000, ...step},
			]),
		);
		for (const task of scheduler.listTasks(job)) {
			const crash = {survivedMs: 5000, wasIsolated: false};
			task.crashes = [1, 2].map((run) => ({run, ...crash}));
			scheduler.trackSuspect(owner, task);
		}

		const small: string[] = [];
		advanceTo(30_000, (now) => {
			if (now % 500 === 0) {
				const id = `j${now}`;
				small.push(id);
				submit(createAccepted(id, [{resources: smallTask, ...step}]));
			}
		});
		const longestMs = Math.max(
			...small.map((id) => getStanding(id).longestBesideRoomMs),
		);
		t.ok(longestMs < maxStandingMs, `${longestMs} ms`);
	});
}
