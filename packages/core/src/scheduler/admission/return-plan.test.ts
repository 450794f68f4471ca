/** Guards against callers that all return at once, or in another order. */
import * as tap from 'tap';
import * as scheduler from '../index.js';

const {minMs, maxMs} = scheduler.returnBounds;

const room = {lane: 'room', fromAt: 0, spacingMs: 20};

const reject = (
	plan: scheduler.ReturnPlan,
	id: string,
	now: number,
	changes: Partial<scheduler.RejectedJob> = {},
) =>
	scheduler.reservePlace(
		plan,
		{
			id,
			team: undefined,
			weight: 1,
			priority: 0,
			expected: {...room, fromAt: now},
			...changes,
		},
		now,
	);

const floods: ReadonlyArray<{
	readonly name: string;
	readonly count: number;
	readonly everyMs: number;
	readonly spacingMs: number;
	readonly bound: number;
}> = [
	{name: 'all at once', count: 200, everyMs: 0, spacingMs: 20, bound: 8},
	{
		name: 'with room for all at once',
		count: 300,
		everyMs: 0,
		spacingMs: 0,
		bound: 8,
	},
	{
		name: 'for ten seconds',
		count: 500,
		everyMs: 20,
		spacingMs: 50,
		bound: 9,
	},
	{
		name: 'more than the times allow',
		count: 2000,
		everyMs: 0,
		spacingMs: 1000,
		bound: 42,
	},
];

for (const {name, count, everyMs, spacingMs, bound} of floods) {
	tap.t.test(`rejected callers ${name}`, async (t) => {
		const plan = scheduler.createReturnPlan();
		const perPeriod = new Map<number, number>();
		const times: number[] = [];
		for (let index = 0; index < count; index++) {
			const now = 1000 + index * everyMs;
			const expected = {...room, spacingMs, fromAt: now};
			const afterMs = reject(plan, `${index}`, now, {expected});
			const period = Math.floor((now + afterMs) / scheduler.returnPeriodMs);
			times.push(afterMs);
			perPeriod.set(period, (perPeriod.get(period) ?? 0) + 1);
		}

		const most = Math.max(...perPeriod.values());
		t.ok(most <= bound, `at most ${most} in 100 ms`);
		t.ok(
			times.every((ms) => ms >= minMs && ms <= maxMs && Number.isInteger(ms)),
		);
		t.ok(plan.places.size <= scheduler.rejectedJobLimits.count);
	});
}

tap.t.test('who was rejected first returns first', async (t) => {
	const plan = scheduler.createReturnPlan();
	const times = Array.from({length: 60}, (_, index) => {
		const now = 1000 + 60 * index;
		return (
			now +
			reject(plan, `${index}`, now, {
				expected: {lane: 'room', fromAt: 2000, spacingMs: 80},
			})
		);
	});
	t.same(
		times,
		times.toSorted((one, two) => one - two),
	);
});

tap.t.test(
	'priority and weight decide between simultaneous ones',
	async (t) => {
		const plan = scheduler.createReturnPlan();
		const expected = {lane: 'room', fromAt: 2000, spacingMs: 500};
		const many = ['1', '2', '3'].map((id) =>
			reject(plan, id, 1000, {expected, team: 'many'}),
		);
		const few = reject(plan, '4', 1000, {expected, team: 'few'});
		const urgent = reject(plan, '5', 1000, {expected, priority: -1});
		// The times of the second job of the team are told already.
		t.ok(few < (many[2] ?? 0), 'the team with fewer places goes before');
		t.ok(urgent < Math.min(few, many[1] ?? 0), 'lower priorities go before');
	},
);

const returnCases: ReadonlyArray<
	readonly [name: string, afterMs: number, isInPlace: boolean]
> = [
	['in time', 0, true],
	['at the end of a whole second', 999, true],
	['too soon', -100, false],
	['too late', 2000, false],
];

for (const [name, afterMs, isInPlace] of returnCases) {
	tap.t.test(`a caller that returns ${name}`, async (t) => {
		const plan = scheduler.createReturnPlan();
		const returnAt = 1000 + reject(plan, 'a', 1000);
		const now = returnAt + afterMs;
		t.equal(scheduler.isInPlace(plan, 'a', now), isInPlace);
		const isDue = scheduler.countDuePlaces(plan, 'room', now) === 1;
		t.equal(isDue, isInPlace, 'its place is kept meanwhile');
		scheduler.takePlace(plan, 'a');
		t.equal(scheduler.countDuePlaces(plan, 'room', now), 0);
	});
}

tap.t.test('a caller that returns too soon keeps its place', async (t) => {
	const plan = scheduler.createReturnPlan();
	const expected = {lane: 'room', fromAt: 9000, spacingMs: 100};
	t.ok(reject(plan, 'a', 1000, {expected}) <= maxMs);
	reject(plan, 'b', 1100, {expected});
	const afterMs = reject(plan, 'a', 5500, {
		expected: {...expected, fromAt: 20_000},
	});
	t.equal(afterMs, 9000 - 5500);
});
