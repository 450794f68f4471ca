/**
 * Guards against callers that are held until their deadlines by a slow store,
 * and against refusals while the store answers.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';

const callerMs = 3000;

const everyMs = 20;

/** Time after which a submission without an answer is given up. */
const giveUpMs = 2000;

/** Submissions to a store whose commits take `getMs(sentAt)` milliseconds. */
const play = (getMs: (now: number) => number, untilMs: number) => {
	const state = scheduler.createCommitState();
	const pending: Array<{
		number: number;
		endAt: number;
		end: scheduler.CommitEnd;
	}> = [];
	const calls: Array<{at: number; kind: string; retryAfterMs: number}> = [];
	for (let now = 0; now < untilMs; now += everyMs) {
		for (const each of pending.filter(({endAt}) => endAt <= now)) {
			pending.splice(pending.indexOf(each), 1);
			const {number, end, endAt} = each;
			scheduler.recordCommitEnd(state, number, end, endAt);
		}

		const verdict = scheduler.decideCommit(state, callerMs, now);
		if (verdict.kind === 'send') {
			const number = scheduler.recordCommitSent(state, now);
			const ms = getMs(now);
			const endAt = now + Math.min(ms, giveUpMs);
			pending.push({
				number,
				endAt,
				end: ms <= giveUpMs ? 'answered' : 'unanswered',
			});
		}

		const retryAfterMs = verdict.kind === 'send' ? 0 : verdict.retryAfterMs;
		calls.push({at: now, kind: verdict.kind, retryAfterMs});
	}

	return calls;
};

const slowFrom = 5000;
const slowUntil = 10_000;

/** Slow for five seconds; a commit that is sent meanwhile stays slow. */
const slowTimes = (now: number) =>
	now >= slowFrom && now < slowUntil ? 70 * 30 : 30;

tap.t.test('a store that is 70 times slower for 5 s', async (t) => {
	const calls = play(slowTimes, 15_000);
	const refused = calls.filter(({kind}) => kind === 'refuse');
	const first = refused[0]?.at ?? Number.POSITIVE_INFINITY;
	const last = refused.at(-1)?.at ?? Number.POSITIVE_INFINITY;
	t.ok(first >= slowFrom && first <= slowFrom + 800, `refuses from ${first}`);
	t.ok(last <= slowUntil + 250 + 30 + everyMs, `serves again from ${last}`);
	const tries = calls.filter(
		({at, kind}) => kind === 'send' && at > first && at < slowUntil,
	);
	const gaps = tries
		.slice(1)
		.map(({at}, index) => at - (tries[index]?.at ?? 0));
	t.ok(
		gaps.every((gap) => gap >= 250 && gap <= 250 + everyMs),
		`tries ${gaps.join(', ')} ms apart`,
	);
	t.ok(
		refused.every(
			({retryAfterMs}) => retryAfterMs >= 250 && retryAfterMs <= 1000,
		),
	);
	t.ok(
		new Set(refused.slice(0, 50).map((each) => each.retryAfterMs)).size > 40,
	);
});

const harmless: ReadonlyArray<
	readonly [name: string, getMs: (now: number) => number]
> = [
	['usual times', () => 30],
	['times ten times the usual', () => 300],
	['a single commit without an answer', (now) => (now === 5000 ? 9000 : 30)],
	['every tenth without an answer', (now) => (now % 200 === 0 ? 9000 : 30)],
];

for (const [name, getMs] of harmless) {
	tap.t.test(`nothing is refused with ${name}`, async (t) => {
		const calls = play(getMs, 10_000);
		t.equal(calls.filter(({kind}) => kind === 'refuse').length, 0);
	});
}
