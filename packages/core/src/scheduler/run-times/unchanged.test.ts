/**
 * Guards against decisions that change before there is evidence that the
 * declared times are wrong.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import {addSamples} from './run-times.test.fixture.js';

/** Forty jobs of several sizes, priorities and ages, and some that run. */
const createLoad = (prepare: (owner: scheduler.Owner) => void) => {
	const owner = createTestOwner([createListed('x'), createListed('y')]);
	prepare(owner);
	for (let index = 0; index < 40; index += 1) {
		const estimateMs = 100 + 170 * (index % 9);
		const first = {count: 1 + (index % 3), estimateMs};
		const second = {estimateMs: 3 * estimateMs, after: [0]};
		submit(
			owner,
			createAccepted(`${index}`, [first, second], {
				policy: {priority: index % 2},
				acceptedAtEpochMs: 40 * index - 2000,
			}),
		);
	}

	planAndStart(owner, 1);
	const running = [...owner.executors.get('x')!.runs.values()].map(
		({task, number}, index) => ({
			taskId: task.id,
			run: number,
			percent: 30 * index,
		}),
	);
	pollExecutor(owner, 'x', {at: 400, running});
	scheduler.requestEvacuation(owner, 'x', {patienceMs: 5000}, 450);
	return owner;
};

const describe = (owner: scheduler.Owner, at: number) => ({
	load: scheduler.describeLoad(owner, at, at),
	ranks: scheduler
		.rankJobs(owner, {now: at, epochNow: at})
		.map(({job, ...criteria}) => ({...criteria, id: job.accepted.id})),
	commands: describeCommands(scheduler.planCommands(owner, at, at)),
});

tap.t.test('accurate declarations change no plan and no load', async (t) => {
	const plain = createLoad(() => undefined);
	const sampled = createLoad((owner) => {
		addSamples(owner, [0.9, 1, 1.1]);
	});
	t.ok(sampled.runTimes.version > 100);
	for (const at of [500, 1500, 9000]) {
		t.same(describe(sampled, at), describe(plain, at));
	}
});

tap.t.test('a plan without a model in force looks no shape up', async (t) => {
	const owner = createLoad((each) => {
		addSamples(each, [1]);
	});
	let lookups = 0;
	const {shapes} = owner.runTimes;
	const get = shapes.get.bind(shapes);
	shapes.get = (key) => {
		lookups += 1;
		return get(key);
	};

	describe(owner, 500);
	t.equal(lookups, 0);
});
