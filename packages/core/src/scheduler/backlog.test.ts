/**
 * An owner with 1,115 open jobs planned anew after each answer, and each plan
 * asked of every executor, for every job that waits, whether it has room. On a
 * third of a processor core it then heard the answers to its starts later than
 * the 600 ms that it waits, took the executors for silent, stopped what it had
 * just started and started it again: the backlog never went down, though most
 * executors were idle. In two seconds it wrote
 *
 *     125 task stop        reason=unanswered-start outcome=done
 *      91 executor answers silentMs below 100
 *       2 task start       outcome=started, one with tookMs=507
 *       3 task end
 *
 * and used 32 of the 32 percent that it has, while hardly a job came in.
 */
import * as tap from 'tap';
import {createAccepted, createListed, submit} from './owner.test.fixture.js';
import * as scheduler from './index.js';

/** An owner whose executors count how often they are asked for their size. */
const createCountingOwner = (executors: number) => {
	const owner = scheduler.createOwner(
		's',
		1,
		scheduler.defaultSchedulerConfig,
		0,
	);
	const reads = {count: 0};
	for (let index = 0; index < executors; index++) {
		const listed = createListed(`x${index}`);
		const {capacity} = listed;
		scheduler.recordListedExecutor(owner, {
			...listed,
			get capacity() {
				reads.count += 1;
				return capacity;
			},
		});
		scheduler.applyPoll(owner, owner.executors.get(`x${index}`)!, {
			sentAt: 0,
			receivedAt: 0,
			clockMs: 0,
			running: [],
			ends: [],
		});
	}

	scheduler.completeFlush(owner, scheduler.beginFlush(owner, 100));
	return {owner, reads};
};

/** Jobs of different sizes, two steps each, more than the executors hold. */
const submitMany = (owner: scheduler.Owner, jobs: number) => {
	for (let index = 0; index < jobs; index++) {
		const resources = {
			cpuMillis: 900 + 37 * (index % 29),
			memoryMb: 100 + 11 * (index % 13),
			accelerators: 0,
		};
		submit(
			owner,
			createAccepted(`j${index}`, [
				{count: 1 + (index % 8), resources},
				{count: 2, resources, after: [0]},
			]),
		);
	}
};

const countReadsOfFullPlan = (jobs: number): number => {
	const {owner, reads} = createCountingOwner(20);
	submitMany(owner, jobs);
	for (let turn = 1; turn < 20; turn++) {
		scheduler.planCommands(owner, turn, turn);
	}

	reads.count = 0;
	scheduler.planCommands(owner, 20, 20);
	return reads.count;
};

tap.t.test('a plan costs no more for each job that waits', async (t) => {
	const few = countReadsOfFullPlan(100);
	const many = countReadsOfFullPlan(1100);
	t.ok(
		many < 2 * few + 500,
		`executors were asked ${few} times with 100 jobs, ${many} with 1,100`,
	);
});
