/**
 * Guards against jobs that are judged late although they end in time, because
 * their declared times are a tenth to ten times the true ones.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import {getLastRun} from './run-times.test.fixture.js';

const waitMs = 300;

/** True times from 800 to 1,600 ms, and 3% at seven times. */
const getTrueMs = (index: number): number =>
	(800 + ((index * 37) % 9) * 100) * (index % 33 === 32 ? 7 : 1);

/** Declared from a tenth to ten times the true time. */
const getDeclaredMs = (index: number): number =>
	getTrueMs(index) * 10 ** ((((index * 7) % 21) - 10) / 10);

/**
 * Runs jobs one after another; each waits a while and ends in time. Returns how
 * many of the last hundred were judged late after four tenths of their run.
 */
const countJudgedLate = (mayLearn: boolean): number => {
	const owner = createTestOwner([createListed('x')]);
	let late = 0;
	let now = 1000;
	for (let index = 0; index < 200; index += 1) {
		const id = `${index}`;
		const estimateMs = getDeclaredMs(index);
		const policy = {stretch: 1.6, targetLatencyMs: 600};
		const acceptedAtEpochMs = now - waitMs;
		const changes = {policy, acceptedAtEpochMs};
		const job = submit(owner, createAccepted(id, [{estimateMs}], changes));
		planAndStart(owner, now);
		const taskId = `${id}.0.0.0`;
		const run = getLastRun(owner, taskId);
		const at = now + 0.4 * getTrueMs(index);
		pollExecutor(owner, 'x', {at, running: [{taskId, run, percent: 40}]});
		const times = {now: at, epochNow: at};
		const timeliness = scheduler.getTimeliness(owner, job, times);
		late += index >= 100 && timeliness !== 'in-time' ? 1 : 0;
		now += getTrueMs(index);
		const ends = [{number: index + 1, taskId, run}];
		pollExecutor(owner, 'x', {at: now, ends});
		if (!mayLearn) {
			owner.runTimes.shapes.clear();
			owner.runTimes.inForce = 0;
		}
	}

	return late;
};

tap.t.test('jobs in time are judged late by no prediction', async (t) => {
	const byDeclared = countJudgedLate(false);
	t.ok(byDeclared >= 10, `${byDeclared} of 100 by declared times`);
	t.equal(countJudgedLate(true), 0);
});
