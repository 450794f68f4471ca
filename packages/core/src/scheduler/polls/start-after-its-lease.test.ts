/**
 * Guards against a task that runs twice: a start without an answer counted as
 * over once its lease had run out by the clock of the incarnation that it was sent
 * to, and the next one carried it out, cut off from its owners.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	flushAll,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import {tokensPerHolder} from '../../shards/shard-lease.js';
import * as scheduler from '../index.js';

const cfg = scheduler.defaultSchedulerConfig;
const former = 1_785_000_000_000;
const startAt = 1000;
const unansweredAt = startAt + 600;
const stepMs = 100;
const untilMs = 60_000;

/** Longest lateness of a call that the platform states. */
const latestMs = 12_000;

/** How the service changes owners. */
const changes = {
	/** The roster is stored as the owner last flushed it. */
	killed: 'killed',
	/** The owner stores what it knows as it leaves. */
	released: 'released',
} as const;

type Case = {
	readonly name: string;
	/** When another incarnation starts and is listed; absent if none does. */
	readonly restartAt?: number;
	/** From when to when the registry does not list the executor. */
	readonly unlisted?: readonly [fromMs: number, untilMs: number];
	/** When the service changes owners, and how. */
	readonly takeover?: {
		readonly at: number;
		readonly change: (typeof changes)[keyof typeof changes];
	};
	/** When the executor answers a poll again. */
	readonly answersAt?: number;
	/** When the task may start elsewhere at the earliest, and has to at the latest. */
	readonly from: number;
	readonly to: number;
};

const strayMs = scheduler.getMaxStrayLeaseMs(cfg);

/** End of a run that begins as late as a call may be, and its lease lasts. */
const lateRunEnd = startAt + latestMs + strayMs;

const notCarriedOutFrom = startAt + latestMs;

/** Time in transit, the delay of the registry and a step of the test. */
const slackMs = 3500;

const cases: readonly Case[] = [
	{
		name: 'it starts again once the lease is over',
		restartAt: 7000,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'it starts again before',
		restartAt: 3000,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'its entry lapses, and it starts again',
		unlisted: [5500, 9000],
		restartAt: 9000,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'it starts again as late as the call may be carried out',
		restartAt: notCarriedOutFrom,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'it does not start again, and stays listed',
		from: notCarriedOutFrom,
		to: notCarriedOutFrom + slackMs,
	},
	{
		name: 'it is lost for good',
		unlisted: [5500, untilMs],
		from: notCarriedOutFrom,
		to: notCarriedOutFrom + slackMs,
	},
	{
		name: 'it answers',
		answersAt: 8000,
		from: 8000,
		to: 8400,
	},
	{
		name: 'its owner is killed, and it starts again after that',
		takeover: {at: 4000, change: changes.killed},
		restartAt: 9500,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'its owner leaves, and it starts again after that',
		takeover: {at: 4000, change: changes.released},
		restartAt: 9500,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'its owner leaves before the start is known to have no answer',
		takeover: {at: 1200, change: changes.released},
		restartAt: 7000,
		from: lateRunEnd,
		to: lateRunEnd + slackMs,
	},
	{
		name: 'its owner is killed, and it does not start again',
		takeover: {at: 4000, change: changes.killed},
		from: notCarriedOutFrom,
		to: notCarriedOutFrom + slackMs,
	},
	{
		name: 'its owner is killed, and it answers the next one',
		takeover: {at: 4000, change: changes.killed},
		answersAt: 8000,
		from: 8000,
		to: 8400,
	},
];

/** Takes the service over with the roster that is stored. */
const takeOver = (
	owner: scheduler.Owner,
	roster: readonly scheduler.RosterEntry[],
	now: number,
): scheduler.Owner => {
	const next = scheduler.createOwner(
		's',
		owner.token + tokensPerHolder,
		cfg,
		now,
	);
	for (const {accepted} of owner.jobs.values()) {
		submit(next, accepted, true);
	}

	for (const {listed, ...entry} of roster) {
		const leasesEndAt = now + scheduler.getMaxLeaseDurationMs(cfg);
		scheduler.inheritExecutor(next, listed, leasesEndAt, entry);
	}

	return next;
};

/** Returns when the task starts on another executor. */
const findSecondStart = ({
	restartAt = Infinity,
	unlisted: [unlistedFrom, unlistedUntil] = [Infinity, Infinity],
	takeover,
	answersAt = Infinity,
}: Case): number | undefined => {
	let owner = createTestOwner([], cfg);
	let roster: readonly scheduler.RosterEntry[] = [];
	let nextAnswer = answersAt;

	const flush = () => {
		const started = scheduler.beginFlush(owner, 100);
		roster = started.roster ?? roster;
		scheduler.completeFlush(owner, started);
	};

	const readRegistry = (now: number) => {
		const isListed = now < unlistedFrom || now >= unlistedUntil;
		const startedAtEpochMs = now < restartAt ? former : former + restartAt;
		if (isListed) {
			const listed = createListed('x', {startedAtEpochMs});
			scheduler.recordListedExecutor(owner, listed, now);
		} else if (owner.executors.get('x')?.isListed) {
			scheduler.recordUnlistedExecutor(owner, 'x', now);
		}

		if (now >= startAt + stepMs) {
			const other = createListed('yy', {startedAtEpochMs: former});
			scheduler.recordListedExecutor(owner, other, now);
		}

		owner.registryReadAt = now;
	};

	readRegistry(0);
	pollExecutor(owner, 'x', {at: 0, startedAtEpochMs: former});
	flush();
	submit(owner, createAccepted('a', [{estimateMs: 60_000}]));
	const [command] = scheduler.planCommands(owner, startAt, startAt);
	if (command?.kind !== 'start') {
		throw new Error('nothing was started');
	}

	for (let now = startAt + stepMs; now < untilMs; now += stepMs) {
		if (now === takeover?.at) {
			if (takeover.change === changes.released) {
				scheduler.giveUpAnswers(owner);
				flush();
			}

			owner = takeOver(owner, roster, now);
		}

		readRegistry(now);
		if (now === unansweredAt && command.run.state === 'asked') {
			const answer = {kind: 'no-answer'} as const;
			scheduler.applyStartAnswer(owner, command.run, answer, now);
		}

		if (now >= nextAnswer) {
			nextAnswer += stepMs;
			pollExecutor(owner, 'x', {at: now, startedAtEpochMs: former});
		} else if (now > unansweredAt) {
			scheduler.markUnresponsive(owner, 'x', now);
		}

		if (owner.executors.has('yy')) {
			pollExecutor(owner, 'yy', {at: now, startedAtEpochMs: former});
		}

		scheduler.expireLeases(owner, now);
		scheduler.markSuspected(owner, scheduler.suspectAfterMs, now);
		flush();
		for (const each of planAndStart(owner, now)) {
			if (each.kind === 'start') {
				return now;
			}

			if (each.kind === 'stop') {
				const done = {kind: 'done', clockMs: now} as const;
				scheduler.applyStopAnswer(owner, each.run, done, now);
			}
		}
	}

	return undefined;
};

tap.t.test(
	'a task starts elsewhere only once its unanswered start cannot run',
	async (t) => {
		for (const each of cases) {
			const at = findSecondStart(each);
			t.ok(
				at !== undefined && at >= each.from && at <= each.to,
				`${each.name}: ${at}, from ${each.from} to ${each.to}`,
			);
		}
	},
);

tap.t.test('only tasks whose start has no answer wait for it', async (t) => {
	const owner = createTestOwner([], cfg);
	for (const id of ['x', 'yy']) {
		const listed = createListed(id, {startedAtEpochMs: former});
		scheduler.recordListedExecutor(owner, listed, 0);
	}

	pollExecutor(owner, 'x', {at: 0, startedAtEpochMs: former});
	flushAll(owner);
	submit(owner, createAccepted('a', [{count: 2, estimateMs: 60_000}]));
	const starts = scheduler
		.planCommands(owner, startAt, startAt)
		.flatMap((each) => (each.kind === 'start' ? [each.run] : []));
	t.equal(starts.length, 2);
	const answers: readonly scheduler.StartAnswer[] = [
		{kind: 'started', clockMs: startAt},
		{kind: 'no-answer'},
	];
	for (const [index, run] of starts.entries()) {
		scheduler.applyStartAnswer(owner, run, answers[index]!, unansweredAt);
	}

	pollExecutor(owner, 'yy', {at: startAt, startedAtEpochMs: former});
	flushAll(owner);
	t.same(
		scheduler
			.prepareRoster(owner)
			.map(({unansweredStarts}) => unansweredStarts.length),
		[1, 0],
	);
	const leaseEnd = startAt + scheduler.getMaxLeaseDurationMs(cfg);
	scheduler.expireLeases(owner, leaseEnd);
	t.same(
		describeCommands(planAndStart(owner, leaseEnd)),
		['start a.0.0.0 on yy'],
		'the one that was seen has ended with its lease',
	);
});
