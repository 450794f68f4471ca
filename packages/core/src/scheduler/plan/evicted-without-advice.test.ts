/**
 * Guards against an executor that is cleared, and kept free without end, for a
 * task that placement advice keeps from it.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

const toResources = (cpuMillis: number): scheduler.Resources => ({
	cpuMillis,
	memoryMb: 10,
	accelerators: 0,
});

/** Answers the request for advice that is wanted with one executor. */
const advise = (owner: scheduler.Owner, executorId: string) => {
	const wish = scheduler.findAdviceWish(owner);
	if (!wish) {
		throw new Error('no advice is wanted');
	}

	scheduler.applyAdvice(
		owner,
		scheduler.takeAdviceRequest(owner, wish),
		{tickets: [[executorId, 'ticket']], validMs: 60_000},
		0,
	);
};

type Case = {
	readonly name: string;
	/** Whether the task on the executor that the advice names may be stopped. */
	readonly isPreemptible: boolean;
	/** Whether the waiting task starts. */
	readonly isStarted: boolean;
};

// Each of two executors of four cores runs a task that takes most of it; the
// advice names x0 for a long-running task that waits.
const cases: readonly Case[] = [
	{
		name: 'the named executor cannot be cleared',
		isPreemptible: false,
		isStarted: false,
	},
	{
		name: 'the named executor can be cleared',
		isPreemptible: true,
		isStarted: true,
	},
];

for (const {name, isPreemptible, isStarted} of cases) {
	tap.t.test(`a long-running task with advice: ${name}`, async (t) => {
		const world = simulateMaintenance({
			executors: ['x0', 'x1'].map((id) => createListed(id, {labels: [id]})),
			asked: [],
			patienceMs: 0,
			from: Number.POSITIVE_INFINITY,
		});
		const {owner} = world;
		const present = {resources: toResources(3000), estimateMs: 60_000};
		world.submit(
			createAccepted('p0', [
				{...present, isLongRunning: !isPreemptible, requiredLabel: 'x0'},
			]),
		);
		world.submit(createAccepted('p1', [{...present, requiredLabel: 'x1'}]));
		world.advanceTo(500);
		world.submit(
			createAccepted(
				'l',
				[{isLongRunning: true, resources: toResources(2000)}],
				{policy: {needsAdvice: true}},
			),
		);
		world.advanceTo(550);
		advise(owner, 'x0');
		world.advanceTo(1000);
		const submittedAt: number[] = [];
		for (let index = 0; index < 20; index += 1) {
			submittedAt.push(world.now());
			world.submit(createAccepted(`j${index}`, [{requiredLabel: 'x1'}]));
			world.advanceTo(world.now() + 500);
		}

		const longestMs = Math.max(
			...submittedAt.map(
				(at, index) =>
					(world.startedAt.get(`j${index}.0.0.0`) ?? Number.POSITIVE_INFINITY) -
					at,
			),
		);
		t.ok(longestMs < maxStandingMs, `a short task waits ${longestMs} ms`);
		const [other] = scheduler.listTasks(owner.jobs.get('p1')!);
		t.same(
			other?.runs.map(({state}) => state),
			['running'],
			'the run on the other one goes on',
		);
		t.equal(world.starts.get('p1.0.0.0'), 1);
		t.equal(world.startedAt.has('l.0.0.0'), isStarted);
	});
}
