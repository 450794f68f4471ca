/** Guards against a team whose flood of jobs delays the jobs of others. */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	flushAll,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const full = {cpuMillis: 4000, memoryMb: 100, accelerators: 0};

const createOwner = () => {
	const owner = createTestOwner([createListed('x')]);
	owner.teamWeights.set('flood', 2);
	owner.teamWeights.set('small', 1);
	return owner;
};

const add = (owner: scheduler.Owner, id: string, team: string, now: number) =>
	scheduler.addJob(
		owner,
		{...createAccepted(id, [{resources: full, estimateMs: 500}]), team},
		false,
		now,
	);

const cases: ReadonlyArray<{
	readonly name: string;
	/** Times of submissions in milliseconds. */
	readonly at: readonly number[];
	readonly beyond: number;
}> = [
	{
		name: 'a burst within three seconds of the rate',
		at: [0, 0, 0, 0, 0, 0],
		beyond: 0,
	},
	{
		name: 'a burst beyond it',
		at: Array.from({length: 20}, () => 0),
		beyond: 14,
	},
	{
		name: 'a steady flow at the rate',
		at: Array.from({length: 40}, (_, index) => 500 * index),
		beyond: 0,
	},
	{
		name: 'ten times the rate for ten seconds',
		at: Array.from({length: 200}, (_, index) => 50 * index),
		beyond: 200 - 6 - 19,
	},
];

for (const {name, at, beyond} of cases) {
	tap.t.test(name, async (t) => {
		const owner = createOwner();
		const jobs = at.map((now, index) => add(owner, `${index}`, 'flood', now));
		t.equal(jobs.filter(({isBeyondRate}) => isBeyondRate).length, beyond);
	});
}

tap.t.test('teams without a weight have no bound', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	const jobs = Array.from({length: 50}, (_, index) =>
		add(owner, `${index}`, 'flood', 0),
	);
	t.notOk(jobs.some(({isBeyondRate}) => isBeyondRate));
});

tap.t.test('what is beyond the rate waits for the others', async (t) => {
	const owner = createOwner();
	for (let index = 0; index < 20; index++) {
		add(owner, `flood-${index}`, 'flood', 0);
	}

	add(owner, 'small', 'small', 0);
	// The jobs within the rate are done.
	for (const job of owner.openJobs) {
		if (job.accepted.team === 'flood' && !job.isBeyondRate) {
			scheduler.cancelJob(owner, job, 0);
		}
	}

	scheduler.advanceSchedules(owner, 0);
	flushAll(owner);
	t.same(describeCommands(scheduler.planCommands(owner, 1, 1)), [
		'start small.0.0.0 on x',
	]);
});

tap.t.test('what is beyond the rate runs where there is room', async (t) => {
	const owner = createTestOwner([createListed('x'), createListed('y')]);
	owner.teamWeights.set('flood', 0.1);
	const jobs = Array.from({length: 6}, (_, index) =>
		add(owner, `${index}`, 'flood', 0),
	);
	for (const job of jobs.slice(0, 4)) {
		scheduler.cancelJob(owner, job, 0);
	}

	scheduler.advanceSchedules(owner, 0);
	flushAll(owner);
	t.equal(scheduler.planCommands(owner, 1, 1).length, 2);
});
