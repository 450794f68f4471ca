import * as tap from 'tap';
import * as serviceTime from './service-time.js';
import * as slowdowns from './slowdown.js';
import * as tokenBucket from './token-bucket.js';

const isNear = (found: number, expected: number): boolean =>
	Math.abs(found - expected) <= 0.1 * expected;

tap.t.test('a service time starts at its prior', async (t) => {
	const estimate = serviceTime.createServiceTime(40, 1000, 0);
	t.same([estimate.p50Ms, estimate.p90Ms], [40, 80]);
	serviceTime.updatePrior(estimate, 60);
	t.same([estimate.p50Ms, estimate.p90Ms], [60, 120]);
});

tap.t.test('quantiles and mean of even samples from 1 to 100', async (t) => {
	const estimate = serviceTime.createServiceTime(50, 1e9, 0);
	for (let index = 0; index < 5000; index++) {
		const serviceMs = ((index * 37) % 100) + 1;
		serviceTime.recordServiceTime(estimate, serviceMs, index);
	}

	t.ok(isNear(estimate.p50Ms, 50), `${estimate.p50Ms}`);
	t.ok(isNear(estimate.p90Ms, 90), `${estimate.p90Ms}`);
	t.ok(isNear(estimate.meanMs, 50.5), `${estimate.meanMs}`);
});

tap.t.test('an estimate follows a change as old samples decay', async (t) => {
	const table = [
		// Half-lives after the change, expected median.
		[0.5, 10],
		[2, 100],
		[60, 100],
	] as const;
	for (const [halfLives, expected] of table) {
		const estimate = serviceTime.createServiceTime(10, 1000, 0);
		for (let now = 0; now < 10_000; now += 10) {
			serviceTime.recordServiceTime(estimate, 10, now);
		}

		const endsAt = 10_000 + halfLives * 1000;
		for (let now = 10_000; now < endsAt; now += 10) {
			serviceTime.recordServiceTime(estimate, 100, now);
		}

		t.ok(isNear(estimate.p50Ms, expected), `${halfLives}: ${estimate.p50Ms}`);
	}
});

tap.t.test('after a long pause old samples have no weight', async (t) => {
	const estimate = serviceTime.createServiceTime(10, 1000, 0);
	for (let now = 0; now < 1000; now++) {
		serviceTime.recordServiceTime(estimate, 5000, now);
	}

	const later = 100 * 24 * 3_600_000;
	serviceTime.recordServiceTime(estimate, 12, later);
	t.ok(estimate.p50Ms < 20, `${estimate.p50Ms}`);
	t.ok(Number.isFinite(estimate.meanMs));
});

tap.t.test(
	'a slowdown is detected within a few answers, noise is not',
	async (t) => {
		const table = [
			// Measured over expected, answers, lowest and highest factor.
			[1, 100, 1, 1],
			[1.3, 100, 1, 1],
			[3, 5, 1.4, 3],
			[3, 50, 2.8, 3],
			[0.2, 50, 1, 1],
		] as const;
		for (const [ratio, answers, lowest, highest] of table) {
			const estimate = serviceTime.createServiceTime(10, 1000, 0);
			estimate.samples = 1000;
			const slowdown = slowdowns.createSlowdown(0);
			for (let index = 0; index < answers; index++) {
				slowdowns.recordRatio(slowdown, estimate, 10 * ratio, 10);
			}

			const factor = slowdowns.getServiceFactor(slowdown);
			t.ok(factor >= lowest && factor <= highest, `${ratio}: ${factor}`);
		}
	},
);

tap.t.test(
	'answers are not compared with an estimate without samples',
	async (t) => {
		const estimate = serviceTime.createServiceTime(10, 1000, 0);
		const slowdown = slowdowns.createSlowdown(0);
		for (let index = 0; index < 50; index++) {
			slowdowns.recordRatio(slowdown, estimate, 100, 10);
		}

		t.equal(slowdowns.getServiceFactor(slowdown), 1);
	},
);

tap.t.test('an overdue slot release scales up the wait', async (t) => {
	const slowdown = slowdowns.createSlowdown(100);
	const table = [
		[140, 1],
		[180, 2],
		[500, 10],
	] as const;
	for (const [now, expected] of table) {
		t.equal(slowdowns.getStallFactor(slowdown, 10, now), expected);
	}
});

tap.t.test('a token bucket refills to its depth', async (t) => {
	const bucket = tokenBucket.createTokenBucket(4, 0.01, 0);
	bucket.tokens = 0;
	const table = [
		[100, 1],
		[50, 1],
		[250, 2.5],
		[10_000, 4],
	] as const;
	for (const [now, expected] of table) {
		t.equal(tokenBucket.refillTokens(bucket, now), expected);
	}

	tokenBucket.updateTokenBucket(bucket, 2, 0.02, 10_000);
	t.equal(bucket.tokens, 2);
});
