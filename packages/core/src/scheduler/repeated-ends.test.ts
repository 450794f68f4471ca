/**
 * An owner stores that a run has failed before it acknowledges the end, and an
 * executor lists an end until it is acknowledged. So the next owner, or the
 * same one for an executor that was off the list for a while, sees an end that
 * is counted already. Counted again it spends a second attempt: a job whose
 * queue allows two was shown as failed though its task had failed once.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	listRuns,
	look,
	planAndStart,
	store,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const accepted = createAccepted('a', [{count: 2}], {policy: {maxAttempts: 2}});

const failOnce = (owner: scheduler.Owner) => {
	planAndStart(owner, 0);
	const [run] = listRuns(owner, 'x');
	const end = {...run!, number: 1, how: 'failed'} as const;
	look(owner, 'x', {
		at: 10,
		ends: [end],
		running: listRuns(owner, 'x').slice(1),
	});
	return end;
};

tap.t.test(
	'an end that an earlier owner stored is not counted again',
	async (t) => {
		const before = createTestOwner([createListed('x')]);
		const job = submit(before, accepted);
		const end = failOnce(before);
		const row = JSON.stringify(scheduler.encodeProgress(job));
		const owner = createTestOwner([createListed('x')]);
		const again = scheduler.addJob(owner, accepted, true);
		scheduler.applyProgress(
			again,
			JSON.parse(row) as scheduler.JobProgress,
			20,
		);
		scheduler.advanceSchedules(owner, 0);
		t.same(look(owner, 'x', {at: 30, ends: [end]}).jobEnds, []);
		t.equal(again.end, undefined, 'one failure of two');
		const next = {...end, number: 2, run: end.run + 1};
		t.match(look(owner, 'x', {at: 40, ends: [next]}).jobEnds, [
			{end: 'failed'},
		]);
	},
);

tap.t.test(
	'nor one of an executor that was off the list for a while',
	async (t) => {
		const owner = createTestOwner([createListed('x')]);
		const job = submit(owner, createAccepted('a', [{}]));
		planAndStart(owner, 0);
		const [run] = listRuns(owner, 'x');
		const end = {...run!, number: 1, how: 'failed'} as const;
		look(owner, 'x', {at: 10, ends: [end]});
		scheduler.unlistExecutor(owner, 'x');
		scheduler.listExecutor(owner, createListed('x'));
		look(owner, 'x', {at: 20, ends: [end]});
		store(owner);
		t.equal(job.end, undefined, 'one failure of two');
	},
);
