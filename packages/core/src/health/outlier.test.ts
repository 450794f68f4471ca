import * as tap from 'tap';
import {defaultHealthConfig as cfg} from './health-config.js';
import * as outlier from './outlier-detection.js';
import * as weights from './weights.js';

const createPool = (count: number) => {
	const pool = outlier.createPoolHealth(cfg);
	outlier.setExecutors(
		pool,
		Array.from({length: count}, (_, index) => `e${index}`),
	);
	return pool;
};

const record = (
	pool: outlier.PoolHealth,
	id: string,
	events: readonly outlier.HealthEvent[],
	now: number,
) => {
	for (const event of events) {
		outlier.recordEvent(pool, id, event, now);
	}
};

const repeat = (count: number, ...events: outlier.HealthEvent[]) =>
	Array.from({length: count}, () => events).flat();

const listIds = (pool: outlier.PoolHealth, now: number) =>
	weights.listWeights(pool, now).map((each) => each.id);

const failed = {kind: 'failed'} as const;
const unreachable = {kind: 'unreachable'} as const;
const answered = {
	kind: 'answered',
	latencyMs: 10,
	serverError: false,
} as const;
const serverError = {...answered, serverError: true} as const;
const slowAnswer = {...answered, latencyMs: 200} as const;

const cases: ReadonlyArray<{
	readonly name: string;
	readonly events: readonly outlier.HealthEvent[];
	readonly ejected: boolean;
}> = [
	{name: 'two failures in a row', events: [failed, failed], ejected: false},
	{name: 'three failures in a row', events: repeat(3, failed), ejected: true},
	{
		name: 'failures interrupted by an answer',
		events: [failed, failed, answered, failed, failed],
		ejected: false,
	},
	{
		name: 'every other request reset',
		events: repeat(10, failed, answered),
		ejected: true,
	},
	{name: 'one failed new connection', events: [unreachable], ejected: true},
	{
		name: 'server errors above the peers',
		events: repeat(20, serverError),
		ejected: true,
	},
	{
		name: 'latency far above peers',
		events: repeat(20, slowAnswer),
		ejected: true,
	},
	{
		name: 'no answers, only lower bounds of latency',
		events: repeat(20, {kind: 'slow', elapsedMs: 300}),
		ejected: true,
	},
	{
		name: 'latency slightly above peers',
		events: repeat(20, {...answered, latencyMs: 25}),
		ejected: false,
	},
];

for (const {name, events, ejected} of cases) {
	tap.t.test(`${name}: ${ejected ? 'ejected' : 'kept'}`, async (t) => {
		const pool = createPool(6);
		for (const peer of ['e1', 'e2', 'e3', 'e4', 'e5']) {
			record(pool, peer, repeat(20, answered), 0);
		}

		record(pool, 'e0', events, 0);
		t.equal(listIds(pool, 0).includes('e0'), !ejected);
		t.equal(listIds(pool, 0).length, ejected ? 5 : 6);
	});
}

tap.t.test(
	'server errors or latency of all executors eject none',
	async (t) => {
		for (const event of [serverError, slowAnswer]) {
			const pool = createPool(6);
			for (let round = 0; round < 50; round++) {
				for (const id of pool.executors.keys()) {
					outlier.recordEvent(pool, id, event, round);
				}
			}

			t.equal(listIds(pool, 50).length, 6);
		}
	},
);

const correlated: ReadonlyArray<{
	readonly size: number;
	readonly failing: number;
	readonly selectable: number;
}> = [
	{size: 9, failing: 3, selectable: 6},
	{size: 9, failing: 8, selectable: 1},
	// All executors fail: the pool fails open.
	{size: 9, failing: 9, selectable: 9},
	{size: 6, failing: 6, selectable: 6},
	{size: 2, failing: 1, selectable: 1},
	{size: 1, failing: 1, selectable: 1},
];

for (const {size, failing, selectable} of correlated) {
	for (const event of [failed, unreachable]) {
		const name = `${failing} of ${size} ${event.kind}: ${selectable} selectable`;
		tap.t.test(name, async (t) => {
			const pool = createPool(size);
			for (let index = 0; index < failing; index++) {
				record(pool, `e${index}`, repeat(3, event), 0);
			}

			t.equal(listIds(pool, 0).length, selectable);
		});
	}
}

tap.t.test('slow executors are ejected up to the lower cap', async (t) => {
	const pool = createPool(9);
	for (let index = 4; index < 9; index++) {
		record(pool, `e${index}`, repeat(20, answered), 0);
	}

	for (let index = 0; index < 4; index++) {
		record(pool, `e${index}`, repeat(20, slowAnswer), 0);
	}

	t.equal(listIds(pool, 0).length, 6);
});

tap.t.test('fail-open ends with the first answer', async (t) => {
	const pool = createPool(3);
	for (const id of ['e0', 'e1', 'e2']) {
		record(pool, id, [unreachable], 0);
	}

	t.equal(listIds(pool, 10).length, 3);
	record(pool, 'e0', [answered], 20);
	t.same(listIds(pool, 20), ['e0']);
});

tap.t.test('ejections double, end with a probe, then slow start', async (t) => {
	const pool = createPool(4);
	const ejectionsMs = [1000, 2000, 4000, 8000, 16_000, 30_000, 30_000];
	let now = 0;
	record(pool, 'e0', [unreachable], now);
	for (const ejectionMs of ejectionsMs) {
		t.same(weights.listDueProbes(pool, now + ejectionMs - 1), []);
		now += ejectionMs;
		t.same(weights.listDueProbes(pool, now), ['e0']);
		record(pool, 'e0', [unreachable], now);
	}

	record(pool, 'e0', [{kind: 'probed'}], now + 1);
	t.notOk(listIds(pool, now + 1).includes('e0'), 'a probe during the ejection');
	now += 30_000;
	record(pool, 'e0', [{kind: 'probed'}], now);
	const getWeight = (at: number) =>
		weights.listWeights(pool, at).find((each) => each.id === 'e0')?.weight;
	t.equal(getWeight(now), cfg.slowStartWeight);
	t.equal(getWeight(now + 2500), 0.55);
	t.equal(getWeight(now + 5000), 1);
	record(pool, 'e0', [failed], now + 100);
	t.equal(
		getWeight(now + 100),
		undefined,
		'one failure ejects during slow start',
	);
});

tap.t.test('the ejection time starts over after forgetAfterMs', async (t) => {
	const pool = createPool(4);
	record(pool, 'e0', [unreachable], 0);
	record(pool, 'e0', [unreachable], 1000);
	record(pool, 'e0', [{kind: 'probed'}], 3000);
	record(pool, 'e0', repeat(3, failed), 100_000);
	t.same(weights.listDueProbes(pool, 101_000), ['e0']);
});

tap.t.test('setExecutors keeps the state of remaining executors', async (t) => {
	const pool = createPool(4);
	record(pool, 'e0', [unreachable], 0);
	outlier.setExecutors(pool, ['e0', 'e1', 'e9']);
	t.same(listIds(pool, 0), ['e1', 'e9']);
	record(pool, 'e3', [failed], 0);
	t.equal(pool.executors.size, 3);
});
