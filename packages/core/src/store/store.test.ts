import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as store from './index.js';

tap.t.test('no second exceeds the rate', async (t) => {
	const rate = 50;
	t.doesNotThrow(() => {
		fc.assert(
			fc.property(
				fc.array(fc.tuple(fc.nat(400), fc.integer({min: 1, max: 6}))),
				(calls) => {
					const cfg = store.createBucketConfig(rate, 0.2);
					const bucket = store.createTokenBucket(cfg, 0);
					const used: Array<{at: number; count: number}> = [];
					let now = 0;
					for (const [gapMs, count] of calls) {
						now += gapMs;
						const waitMs = store.reserveTokens(bucket, count, now, 5000);
						if (waitMs !== undefined) {
							used.push({at: now + waitMs, count});
						}
					}

					for (const {at: from} of used) {
						const sum = used
							.filter(({at}) => at >= from && at < from + 1000)
							.reduce((total, {count}) => total + count, 0);
						// The allowance is one call's count, since its tokens
						// may have been saved up before.
						assert.ok(sum <= rate + 6, `${sum} in a second`);
					}
				},
			),
			{seed: 4, numRuns: 200},
		);
	});
});

tap.t.test('an idle daemon with a small share does not wait', async (t) => {
	const cfg = store.createBucketConfig(1, 0.2);
	const bucket = store.createTokenBucket(cfg, 0);
	t.equal(store.reserveTokens(bucket, 1, 60_000, 0), 0);
	t.equal(store.reserveTokens(bucket, 1, 60_000, 5000), 1250);
});

tap.t.test('a wait above the bound reserves nothing', async (t) => {
	const cfg = {tokensPerSecond: 10, burst: 5};
	const bucket = store.createTokenBucket(cfg, 0);
	t.equal(store.reserveTokens(bucket, 3, 0, 100), undefined);
	t.equal(store.reserveTokens(bucket, 1, 0, 100), 100);
	t.equal(store.reserveTokens(bucket, 1, 10_000, 0), 0);
	store.drainTokens(bucket, 20_000);
	t.equal(store.reserveTokens(bucket, 1, 20_000, 1000), 100);
});

const shares: Array<[string, number, Array<number | undefined>, number]> = [
	['all daemons need more', 100, [100, 100, 100], 25],
	['idle daemons keep their guaranteed part', 100, [0, 0, 0], 62.5],
	['an idle daemon keeps its guaranteed part', 0, [100, 100, 100], 12.5],
	[
		'daemons without a report count with an equal share',
		100,
		[undefined, 0, 0],
		50,
	],
];
for (const [name, own, others, share] of shares) {
	tap.t.test(`share: ${name}`, async (t) => {
		t.equal(store.getRateShare(100, own, others, 0.5), share);
	});
}

tap.t.test('the sum of shares never exceeds the rate', async (t) => {
	t.doesNotThrow(() => {
		fc.assert(
			fc.property(fc.array(fc.nat(200), {minLength: 1}), (demands) => {
				let sum = 0;
				for (const [index, own] of demands.entries()) {
					const others = demands.toSpliced(index, 1);
					sum += store.getRateShare(100, own, others, 0.5);
				}

				assert.ok(sum <= 100.001, `${sum}`);
			}),
			{seed: 4, numRuns: 200},
		);
	});
});

const cfg = store.defaultBreakerConfig;

const failTimes = (count: number, now: number): store.Breaker => {
	let breaker = store.closedBreaker;
	for (let index = 0; index < count; index++) {
		breaker = store.recordFailure(breaker, cfg, now, 0.5);
	}

	return breaker;
};

tap.t.test('opens only after consecutive failures', async (t) => {
	let breaker = failTimes(cfg.openAfterFailures - 1, 0);
	t.notOk(store.isRefusing(breaker, cfg, 0));
	breaker = store.recordAnswer(breaker, 0);
	breaker = store.recordFailure(breaker, cfg, 0, 0.5);
	t.notOk(store.isRefusing(breaker, cfg, 0));
	t.ok(store.isRefusing(failTimes(cfg.openAfterFailures, 0), cfg, 0));
});

tap.t.test('admits one probe at a time and backs off', async (t) => {
	const open = failTimes(cfg.openAfterFailures, 0);
	t.match(open, {kind: 'open', until: 375, openings: 1});
	const first = store.admitCall(open, cfg, 375);
	t.ok(first.isAdmitted);
	t.notOk(store.admitCall(first.breaker, cfg, 376).isAdmitted);
	t.ok(
		store.admitCall(first.breaker, cfg, 375 + cfg.probeTimeoutMs).isAdmitted,
	);
	const again = store.recordFailure(first.breaker, cfg, 400, 0.5);
	t.match(again, {kind: 'open', until: 1150, openings: 2});
});

tap.t.test('the rate rises slowly after recovery', async (t) => {
	const open = failTimes(cfg.openAfterFailures, 0);
	const {breaker} = store.admitCall(open, cfg, 1000);
	const closed = store.recordAnswer(breaker, 1000);
	t.equal(store.getRampShare(closed, cfg, 1000), cfg.firstShare);
	t.equal(store.getRampShare(closed, cfg, 1000 + cfg.rampMs), 1);
	t.equal(store.getRampShare(store.closedBreaker, cfg, 0), 1);
	t.same(store.recordAnswer(open, 100), open, 'a late answer closes nothing');
});

const once: store.Witness = {kind: 'write-once'};
const shared: store.Witness = {kind: 'shared', expectedVersion: 3};
const verdicts: Array<[store.Witness, store.WitnessRow, string]> = [
	[once, undefined, 'pending'],
	[once, {version: 4, operationId: 'own'}, 'committed'],
	[once, {version: 4, operationId: 'other'}, 'superseded'],
	[shared, {version: 3, operationId: 'before'}, 'pending'],
	[shared, {version: 4, operationId: 'own'}, 'committed'],
	// The own commit may have been overwritten by the other one.
	[shared, {version: 5, operationId: 'other'}, 'overwritten'],
	[shared, undefined, 'overwritten'],
];
for (const [witness, row, kind] of verdicts) {
	tap.t.test(`${witness.kind} ${JSON.stringify(row)}: ${kind}`, async (t) => {
		t.equal(store.judgeWitness(witness, row, 'own').kind, kind);
	});
}
