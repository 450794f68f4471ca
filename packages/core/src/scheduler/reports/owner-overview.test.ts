import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

type Case = {
	readonly readiness: scheduler.Readiness;
	readonly change: (executor: scheduler.Executor) => void;
};

const cases: readonly Case[] = [
	{readiness: 'usable', change: () => undefined},
	{
		readiness: 'unlisted',
		change(executor) {
			executor.isListed = false;
		},
	},
	{
		readiness: 'draining',
		change(executor) {
			executor.listed = createListed('x', {isDraining: true});
		},
	},
	{
		readiness: 'silent',
		change(executor) {
			executor.unresponsiveSince = 5;
		},
	},
	{
		readiness: 'not-adopted',
		change(executor) {
			executor.isAdopted = false;
		},
	},
	{
		readiness: 'not-rostered',
		change(executor) {
			executor.isRostered = false;
		},
	},
	{
		readiness: 'strays',
		change(executor) {
			executor.orphanedRunCount = 1;
		},
	},
	{
		readiness: 'evacuating',
		change(executor) {
			executor.evacuation = {
				claimant: 'wave 1',
				since: 0,
				urgency: 'normal',
				phase: 'held',
				turnSince: 0,
				heldSince: 0,
				progressAt: 0,
				left: 0,
				restsUntil: 0,
				validUntil: 100,
				patienceMs: 100,
			};
		},
	},
	{
		readiness: 'reserved',
		change(executor) {
			executor.reservedUntil = 100;
		},
	},
	{
		readiness: 'isolated',
		change(executor) {
			const job = scheduler.createJob(createAccepted('a'), false);
			scheduler.addOccurrence(job);
			const [task] = scheduler.listTasks(job);
			const run = scheduler.createRun(task!, 1, executor.id, 0);
			run.isIsolated = true;
			scheduler.addRun(executor, run);
		},
	},
	{
		readiness: 'resting',
		change(executor) {
			executor.quarantinedUntil = 100;
		},
	},
];

for (const {readiness, change} of cases) {
	tap.t.test(`an executor is ${readiness}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		const executor = owner.executors.get('x')!;
		change(executor);
		t.equal(scheduler.getReadiness(executor, 10), readiness);
		t.equal(scheduler.isUsable(executor, 10), readiness === 'usable');
		t.same(scheduler.describeOwner(owner, [], 10).executors, {[readiness]: 1});
	});
}

tap.t.test(
	'waiting tasks and tasks of unknown location are counted',
	async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(owner, createAccepted('a', [{count: 6}, {count: 2, after: [0]}]));
		planAndStart(owner, 0);
		scheduler.inheritExecutor(owner, createListed('old'), 9000);
		submit(owner, createAccepted('b', [{count: 3}]), true);
		t.match(scheduler.describeOwner(owner, [], 10), {
			areListingsRecent: true,
			openJobs: 2,
			runs: 4,
			waitingTasks: 5,
			tasksOfUnknownPlace: 3,
			unresolvedExecutors: 1,
			executors: {usable: 1, unlisted: 1},
		});
	},
);
