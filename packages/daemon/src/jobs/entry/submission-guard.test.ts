/**
 * Guards against callers that are held while the store is slow, and against
 * answers that a job is not stored while it is or may be.
 */
import * as tap from 'tap';
import {createAcceptedJob, noLogger} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import type {JobStateAnswer} from '../owner/owner-runner.js';
import {createSubmissionGuard} from './submission-guard.js';
import type {SubmitOutcome} from './submissions.js';

const rejected: SubmitOutcome = {
	kind: 'rejected',
	reason: 'unservable',
	retryAfterMs: 500,
};

const cases: ReadonlyArray<{
	readonly name: string;
	/** Outcomes of the tries before, the last one under the job's id. */
	readonly before: readonly SubmitOutcome[];
	readonly owner?: JobStateAnswer;
	/** Time since the last try, in milliseconds. */
	readonly pauseMs?: number;
	readonly outcome: string;
	readonly mayBeRejected?: boolean;
}> = [
	{
		name: 'a new job may be rejected',
		before: [{kind: 'accepted', isRepeat: false}],
		outcome: 'rejected',
		mayBeRejected: true,
	},
	{
		name: 'a job that was rejected before may be rejected again',
		before: [rejected],
		outcome: 'rejected',
		mayBeRejected: true,
	},
	{
		name: 'a job whose earlier try had no answer may not',
		before: [{kind: 'unknown'}],
		outcome: 'rejected',
		mayBeRejected: false,
	},
	{
		name: 'a new job is refused at once while the store is slow',
		before: [{kind: 'not-stored'}, {kind: 'not-stored'}],
		outcome: 'store-slow',
	},
	{
		name: 'a job that was sent before is sent again',
		before: [{kind: 'unknown'}, {kind: 'unknown'}],
		outcome: 'rejected',
		mayBeRejected: false,
	},
	{
		name: 'one is tried after 250 ms',
		before: [{kind: 'not-stored'}, {kind: 'not-stored'}],
		pauseMs: 250,
		outcome: 'rejected',
		mayBeRejected: true,
	},
	{
		name: 'a job that is accepted is sent',
		before: [{kind: 'not-stored'}, {kind: 'not-stored'}],
		owner: {kind: 'state', state: 'queued'},
		outcome: 'rejected',
		mayBeRejected: true,
	},
	{
		name: 'a job of which no owner answers is sent',
		before: [{kind: 'not-stored'}, {kind: 'not-stored'}],
		owner: {kind: 'not-owner'},
		outcome: 'rejected',
		mayBeRejected: true,
	},
];

for (const each of cases) {
	tap.t.test(each.name, async (t) => {
		let now = 0;
		const guard = createSubmissionGuard({
			owners: {readJob: async () => each.owner ?? {kind: 'unknown'}},
			now: () => now,
			logger: noLogger,
			metrics: createJobMetrics(),
		});
		const flags: boolean[] = [];
		const submit = async (id: string, outcome: SubmitOutcome) =>
			guard.submit({
				job: createAcceptedJob(id),
				shards: ['service/s'],
				deadline: now + 3000,
				async send(mayBeRejected) {
					flags.push(mayBeRejected);
					return outcome;
				},
			});
		for (const [index, outcome] of each.before.entries()) {
			now += 1000;
			await submit(
				index === each.before.length - 1 ? 'a' : `${index}`,
				outcome,
			);
		}

		now += each.pauseMs ?? 100;
		flags.length = 0;
		const {kind} = await submit(each.owner ? 'b' : 'a', rejected);
		t.equal(kind, each.outcome);
		t.same(flags, each.mayBeRejected === undefined ? [] : [each.mayBeRejected]);
	});
}

tap.t.test('a job whose try is under way may not be rejected', async (t) => {
	const guard = createSubmissionGuard({
		owners: {readJob: async () => ({kind: 'unknown'})},
		now: () => 0,
		logger: noLogger,
		metrics: createJobMetrics(),
	});
	const flags: boolean[] = [];
	const submission = {
		job: createAcceptedJob('a'),
		shards: ['service/s'],
		deadline: 3000,
		async send(mayBeRejected: boolean) {
			flags.push(mayBeRejected);
			return rejected;
		},
	};
	await Promise.all([guard.submit(submission), guard.submit(submission)]);
	t.same(flags, [true, false]);
});
