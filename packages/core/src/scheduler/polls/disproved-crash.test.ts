import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	getCommandRun,
	planAndStart,
	pollExecutor,
	submit,
	loseExecutor,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const createOwner = () =>
	createTestOwner(['x0', 'x1', 'x2', 'x3'].map((id) => createListed(id)));

const submitTask = (owner: scheduler.Owner) => {
	const job = submit(owner, createAccepted('a', [{estimateMs: 60_000}]));
	return {job, task: [...scheduler.listTasks(job)][0]!};
};

/** Sends a start that gets no answer within 600 ms. */
const startInVain = (owner: scheduler.Owner, now: number): scheduler.Run => {
	const run = getCommandRun(scheduler.planCommands(owner, now, now)[0])!;
	scheduler.applyStartAnswer(owner, run, {kind: 'no-answer'}, now + 600);
	return run;
};

const expireLeases = (owner: scheduler.Owner, now: number) =>
	scheduler.expireLeases(owner, now);

type Case = {
	readonly name: string;
	/** What happens from 1,000 on; the start was sent at 0. */
	readonly proceed: (owner: scheduler.Owner, run: scheduler.Run) => void;
	readonly crashes: number;
};

const cases: readonly Case[] = [
	{
		name: 'a start that was not carried out when the executor was lost',
		proceed(owner, {executorId}) {
			loseExecutor(owner, executorId, 1000);
		},
		crashes: 1,
	},
	{
		name: 'a start that was barred before the executor was lost',
		proceed(owner, {executorId}) {
			pollExecutor(owner, executorId, {at: 1000});
			const stop = getCommandRun(planAndStart(owner, 1010)[0])!;
			const answer = {kind: 'done', clockMs: 1020} as const;
			scheduler.applyStopAnswer(owner, stop, answer, 1020);
			loseExecutor(owner, executorId, 1030);
		},
		crashes: 0,
	},
	{
		name: 'leases that expire on an executor that does not answer again',
		proceed(owner) {
			expireLeases(owner, 10_000);
		},
		crashes: 1,
	},
	{
		name: 'leases that expire on an executor that answers again',
		proceed(owner, {executorId}) {
			expireLeases(owner, 10_000);
			pollExecutor(owner, executorId, {at: 11_000});
		},
		crashes: 0,
	},
	{
		name: 'leases that expire on an executor that has started again since',
		proceed(owner, {executorId}) {
			expireLeases(owner, 10_000);
			pollExecutor(owner, executorId, {at: 11_000, clockMs: -1});
		},
		crashes: 1,
	},
];

// A loss is no crash if the executor lives, and none by a run that never was.
for (const {name, proceed, crashes} of cases) {
	tap.t.test(`crashes after ${name}: ${crashes}`, async (t) => {
		const owner = createOwner();
		const {task} = submitTask(owner);
		const run = startInVain(owner, 0);
		proceed(owner, run);
		t.equal(task.crashes.length, crashes);
		t.equal(owner.crashSuspects.has(task), crashes > 0);
	});
}

for (const {name, isListed, crashes, end} of [
	{
		name: 'that the registry goes on listing',
		isListed: true,
		crashes: 0,
		end: undefined,
	},
	{name: 'that do not come back', isListed: false, crashes: 3, end: 'failed'},
] as const) {
	tap.t.test(
		`leases that expire on executors ${name}: the job is ${end ?? 'open'}`,
		async (t) => {
			const owner = createOwner();
			const {absenceMs} = owner.cfg;
			const {job, task} = submitTask(owner);
			for (const now of [0, 11_000, 22_000]) {
				const {executorId} = startInVain(owner, now);
				if (!isListed) {
					scheduler.recordUnlistedExecutor(owner, executorId, now);
				}

				expireLeases(owner, now + 6000);
			}

			t.equal(task.crashes.length, 3);
			t.equal(job.end, undefined, 'they may be cut off');
			expireLeases(owner, 22_000 + 599 + absenceMs);
			t.equal(job.end, undefined, 'still');
			expireLeases(owner, 22_000 + 600 + absenceMs);
			t.equal(task.crashes.length, crashes);
			t.equal(job.end, end);
		},
	);
}

tap.t.test(
	'others may start beside a run whose isolation was for a disproved crash',
	async (t) => {
		const owner = createOwner();
		const {task} = submitTask(owner);
		const {executorId} = startInVain(owner, 0);
		expireLeases(owner, 10_000);
		const [isolated] = planAndStart(owner, 10_010);
		t.equal(getCommandRun(isolated)?.isIsolated, true);
		pollExecutor(owner, executorId, {at: 10_020});
		t.equal(task.runs[0]?.isIsolated, false);
	},
);
