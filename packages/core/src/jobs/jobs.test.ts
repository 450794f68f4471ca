import fc from 'fast-check';
import * as tap from 'tap';
import type {Job} from '../types/job.js';
import * as jobs from './index.js';

const createJob = (repeatable: boolean): Job => ({
	id: 'j',
	customer: 'c',
	urgent: false,
	repeatable,
	canCheckpoint: true,
	canThrottle: true,
	declared: {cores: 1, memoryMb: 1, accelerators: 0},
	submittedAt: 0,
});

const run = (repeatable: boolean, events: readonly jobs.JobEvent[]) => {
	let row = jobs.createJobRow(createJob(repeatable));
	const actions: jobs.JobAction[] = [];
	for (const event of events) {
		const step = jobs.stepJob(row, event);
		row = step.row ?? row;
		if (step.action) {
			actions.push(step.action);
		}
	}

	return {row, actions};
};

const placed = {kind: 'placed', worker: 'w'} as const;
const running = {kind: 'seen-running', token: 1} as const;
const over = {kind: 'lease-over', token: 1} as const;
const refused = {kind: 'not-started', token: 1} as const;
const failed = {kind: 'seen-failed', token: 1} as const;
const cancel = {kind: 'cancel'} as const;
const relocate = {kind: 'relocate'} as const;
const saved = {kind: 'checkpointed', token: 1, checkpoint: 'x'} as const;

type Row = [
	name: string,
	repeatable: boolean,
	events: jobs.JobEvent[],
	state: jobs.JobState,
];

const pending = {kind: 'pending'} as const;
const unknown = {kind: 'unknown', worker: 'w'} as const;
const cancelled = {kind: 'cancelled'} as const;

const table: Row[] = [
	['a lost worker, repeatable', true, [placed, running, over], pending],
	['a lost worker, not repeatable', false, [placed, running, over], unknown],
	['a start in doubt, not repeatable', false, [placed, over], unknown],
	['a refused start, not repeatable', false, [placed, refused], pending],
	['a failure, not repeatable', false, [placed, running, failed], unknown],
	['a failure, repeatable', true, [placed, running, failed], pending],
	[
		'a job that moves goes on from its checkpoint',
		true,
		[placed, running, relocate, saved],
		{kind: 'pending', checkpoint: 'x'},
	],
	[
		'a lost worker after a move goes back to the checkpoint',
		true,
		[placed, running, relocate, saved, placed, {...over, token: 2}],
		{kind: 'pending', checkpoint: 'x'},
	],
	[
		'a report of an earlier start changes nothing',
		true,
		[placed, running, over, placed, {kind: 'seen-done', token: 1}],
		{kind: 'starting', worker: 'w'},
	],
	[
		'not repeatable, and not moved',
		false,
		[placed, running, relocate],
		{kind: 'running', worker: 'w'},
	],
	['cancelled while it waits', true, [cancel], cancelled],
	[
		'cancelled while a start is in doubt',
		true,
		[placed, cancel],
		{kind: 'cancelling', worker: 'w'},
	],
	['cancelled, and never started', false, [placed, cancel, refused], cancelled],
	['cancelled, and lost', true, [placed, running, cancel, over], cancelled],
	[
		'done before the stop came',
		true,
		[placed, running, cancel, {kind: 'seen-done', token: 1}],
		{kind: 'done'},
	],
	[
		'never fits',
		true,
		[{kind: 'impossible', reason: 'too-large'}],
		{kind: 'parked', reason: 'too-large'},
	],
	[
		'parked and let run again',
		true,
		[{kind: 'blamed'}, {kind: 'resolve', as: 'run-again'}],
		pending,
	],
	[
		'unknown, and an operator knows that it did not run',
		false,
		[placed, over, {kind: 'resolve', as: 'not-run'}],
		pending,
	],
];

for (const [name, repeatable, events, state] of table) {
	tap.t.test(name, async (t) => {
		t.same(run(repeatable, events).row.state, state);
	});
}

const token = fc.integer({min: 1, max: 4});

const event: fc.Arbitrary<jobs.JobEvent> = fc.oneof(
	fc.constant<jobs.JobEvent>(placed),
	fc.constant<jobs.JobEvent>(relocate),
	fc.constant<jobs.JobEvent>(cancel),
	fc.constant<jobs.JobEvent>({kind: 'blamed'}),
	fc.record({
		kind: fc.constantFrom(
			'not-started' as const,
			'seen-running' as const,
			'seen-done' as const,
			'seen-failed' as const,
			'seen-stopped' as const,
			'lease-over' as const,
		),
		token,
	}),
	fc.record({
		kind: fc.constant('checkpointed' as const),
		token,
		checkpoint: fc.constant('x'),
	}),
);

const runs = {seed: 11, numRuns: 5000};

tap.t.test('a job that may not be repeated starts once', async (t) => {
	fc.assert(
		fc.property(fc.array(event, {maxLength: 30}), (events) => {
			const {row, actions} = run(false, events);
			const starts = actions.filter((each) => each.kind === 'start').length;
			// Each start but the last was certainly not carried out.
			return row.starts <= 1 && starts === row.token;
		}),
		runs,
	);
	t.pass();
});

tap.t.test('a repeatable job is never lost', async (t) => {
	fc.assert(
		fc.property(fc.array(event, {maxLength: 30}), (events) => {
			const {row} = run(true, events);
			const wasCancelled = events.some((each) => each.kind === 'cancel');
			const wasDone = events.some((each) => each.kind === 'seen-done');
			const {kind} = row.state;
			return (
				kind !== 'unknown' &&
				(kind !== 'cancelled' || wasCancelled) &&
				(kind !== 'done' || wasDone)
			);
		}),
		runs,
	);
	t.pass();
});

tap.t.test('a lease is over only when no request can extend it', async (t) => {
	const cfg = jobs.defaultTaskLeaseConfig;
	const sent = jobs.recordRenewal(jobs.startLease(0), 10_000, false);
	t.ok(jobs.isRenewalDue(sent, 15_000), 'an unanswered renewal is repeated');
	const end = 10_000 + cfg.maxTransitMs + cfg.leaseMs * (1 + cfg.maxDrift);
	t.equal(jobs.getLatestExpiry(sent), end);
	t.notOk(jobs.isLeaseExpired(sent, end));
	t.ok(jobs.isLeaseExpired(sent, end + 1));
	const older = jobs.recordRenewal(sent, 5000, true);
	t.equal(older.lastSentAt, 10_000, 'an older reply shortens nothing');
});
