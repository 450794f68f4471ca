/**
 * Guards against accepted jobs that stand beside room since they are late, and
 * others that can be in time go first.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {simulateSmallPool} from '../plan/small-pool.test.fixture.js';

/** Longest time for which a job may stand beside room, in milliseconds. */
const maxStandingMs = 3000;

const steps = [
	{
		count: 4,
		estimateMs: 1500,
		resources: {cpuMillis: 2000, memoryMb: 1, accelerators: 0},
	},
];

type Case = {
	readonly executors: number;
	/** Jobs a second for each executor, of which 1.33 fill it. */
	readonly rate: number;
	/** When tasks of inherited jobs may start, in milliseconds. */
	readonly knownAt: number;
	readonly answerMs: number;
};

const cases: readonly Case[] = [1, 2, 3].flatMap((executors) =>
	[0.6, 1.25, 1.5].flatMap((rate) =>
		[0, 5200].flatMap((knownAt) =>
			[0, 550].map((answerMs) => ({executors, rate, knownAt, answerMs})),
		),
	),
);

for (const {executors, rate, knownAt, answerMs} of cases) {
	const name = `${executors} executors, ${rate} jobs a second each, known at ${knownAt} ms, answers after ${answerMs} ms`;
	tap.t.test(`late jobs do not stand beside room: ${name}`, async (t) => {
		const pool = simulateSmallPool({
			executors: Array.from({length: executors}, (_, index) =>
				createListed(`x${index}`, {
					capacity: {cpuMillis: 16_000, memoryMb: 1000, accelerators: 0},
				}),
			),
			answerMs,
		});
		const {owner, submit, advanceTo, clearStanding, getStanding} = pool;
		const inherited = Array.from({length: 10}, (_, index) => `old${index}`);
		for (const id of inherited) {
			const accepted = createAccepted(id, steps, {acceptedAtEpochMs: -1000});
			scheduler.addJob(owner, accepted, true);
		}

		owner.unresolvedExecutors.set('dark', knownAt);
		scheduler.advanceSchedules(owner, 0);
		const ids = [...inherited];
		let due = 0;
		const load = (now: number) => {
			scheduler.expireLeases(owner, now);
			for (due += 0.05 * rate * executors; due >= 1; due -= 1) {
				const id = `j${ids.length}`;
				ids.push(id);
				submit(createAccepted(id, steps));
			}
		};

		advanceTo(knownAt, load);
		clearStanding();
		advanceTo(20_000, load);
		const longestMs = Math.max(
			...ids.map((id) => getStanding(id).longestBesideRoomMs),
		);
		t.ok(longestMs < maxStandingMs, `${longestMs} ms`);
	});
}
