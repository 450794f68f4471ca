/**
 * Guards against rises that are not seen coming although they have a pattern,
 * and against machines that are held for rises that do not come.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as fleet from '../index.js';
import {
	createReplay,
	describeTurns,
	leadInMs,
	machineCount,
	machineCpu,
	pools,
	quietCpu,
	replayRounds,
	rotate,
	startEpochMs,
	turnCpu,
	turnMs,
	type Rate,
	type ReplayOptions,
} from './replay.test.fixture.js';

const getTurnStart = (index: number): number => leadInMs + index * turnMs;

const getEnd = (turns: number): number => getTurnStart(turns);

/** Plans with the base in each pool and all other machines in standby. */
const planAhead = (pool: string, machines: number) =>
	fleet.planPools(
		{
			demands: pools.map((each) => ({
				pool: each,
				waitingCpu: 0,
				usedCpu: 0,
				late: fleet.noLateWork,
				arrivingCpu: quietCpu,
				minMachines: 0,
			})),
			machines: Array.from({length: machineCount}, (_, index) => ({
				id: `${index}`,
				pool: pools[Math.floor(index / 15)] ?? 'standby',
				isUp: true,
				isArriving: false,
				cpuMillis: machineCpu,
				runs: 0,
				longRunning: 0,
				isReserved: false,
			})),
			underWay: new Map(),
			standbyPool: 'standby',
			expected: {
				machines: new Map([[pool, machines]]),
				endedRises: new Set(),
			},
		},
		fleet.emptyPoolPlanState,
		fleet.defaultPoolConfig,
		0,
	).moves;

/** A single job in each third turn, in the pool whose turn is next. */
const addJobs: Rate = (pool, at) => {
	const isNext = rotate(pool, at + 1000) > rotate(pool, at + 750);
	return isNext && Math.floor(at / turnMs) % 3 === 0
		? 30 * machineCpu
		: rotate(pool, at);
};

for (const {name, rate, roundMs} of [
	{name: 'rounds of 200 ms', rate: rotate, roundMs: 200},
	{name: 'rounds of 400 ms', rate: rotate, roundMs: 400},
	{name: 'single jobs before turns', rate: addJobs, roundMs: 250},
]) {
	tap.t.test(
		`each turn of a rotation is expected from the sixth on: ${name}`,
		async (t) => {
			const replay = createReplay();
			replayRounds(replay, rate, [0, getEnd(12)], {roundMs});
			const expected = replay.events.flatMap(({at, event}) =>
				event.kind === 'expected' ? [{at, ...event.rise}] : [],
			);
			// The thirteenth is expected before the end.
			t.equal(expected.length, 9);
			for (const [index, rise] of expected.slice(0, 8).entries()) {
				const startAt = getTurnStart(index + 4);
				t.equal(rise.pool, pools[index % 4]);
				t.ok(Math.abs(rise.atEpochMs - startEpochMs - startAt) <= 700);
				t.ok(rise.at <= startAt - 2000, `${startAt - rise.at} ms ahead`);
				const {machines} = replay.expected.find(({at}) => at === rise.at)!;
				t.ok(machines.get(rise.pool)! > 80, 'most of the height');
				t.equal(
					planAhead(rise.pool, machines.get(rise.pool)!).length > 60,
					true,
				);
			}

			t.notMatch(describeTurns(replay), ['missed']);
		},
	);
}

/** Demand of the rotation with some turns replaced. */
const changeTurns =
	(change: (turn: number, at: number) => Rate | undefined): Rate =>
	(pool, at) =>
		(change(Math.floor((at - leadInMs) / turnMs), at) ?? rotate)(pool, at);

const quiet: Rate = () => quietCpu;

/** Noise without a period, from 0 to 1. */
const getNoise = (seed: number): number => {
	const value = Math.sin(seed * 12.9898) * 43_758.5453;
	return value - Math.floor(value);
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly rate: Rate;
	readonly options?: ReplayOptions;
	readonly turns: number;
	/** What is expected and comes once the rotation is known. */
	readonly events: readonly string[];
}> = [
	{
		name: 'a turn 2 s late, as all after it, is missed, and the next one comes',
		rate: (pool, at) =>
			at < getTurnStart(5)
				? rotate(pool, at)
				: at < getTurnStart(5) + 2000
					? quietCpu
					: rotate(pool, at - 2000),
		turns: 7.7,
		events: [
			'a expected',
			'a came',
			'b expected',
			'b missed',
			'c expected',
			'c expected',
			'c came',
			'd expected',
			'd came',
		],
	},
	{
		name: 'a turn that does not come leaves the next one expected',
		rate: changeTurns((turn) => (turn === 5 ? quiet : undefined)),
		turns: 7.2,
		events: [
			'a expected',
			'a came',
			'b expected',
			'b missed',
			'c expected',
			'c came',
			'd expected',
			'd came',
		],
	},
	{
		name: 'one turn of each pool is no rotation',
		rate: (pool, at) =>
			at < getTurnStart(-1) + turnMs ? quietCpu : rotate(pool, at),
		turns: 4,
		events: [],
	},
	{
		name: 'demand that ends is expected twice',
		rate: changeTurns((turn) => (turn >= 5 ? quiet : undefined)),
		turns: 20,
		events: [
			'a expected',
			'a came',
			'b expected',
			'b missed',
			'c expected',
			'c missed',
		],
	},
	{
		name: 'a pool that falls out is expected twice, the others go on',
		rate: (pool, at) =>
			pool === 'd' && at > getTurnStart(7) ? quietCpu : rotate(pool, at),
		turns: 16.2,
		events: [
			...['a', 'b', 'c'].flatMap((pool) => [
				`${pool} expected`,
				`${pool} came`,
			]),
			'd expected',
			'd missed',
			...['a', 'b', 'c'].flatMap((pool) => [
				`${pool} expected`,
				`${pool} came`,
			]),
			'd expected',
			'd missed',
			...['a', 'b', 'c'].flatMap((pool) => [
				`${pool} expected`,
				`${pool} came`,
			]),
			'a expected',
			'a came',
		],
	},
	{
		name: 'steady demand with noise is not expected to rise',
		rate: (pool, at) =>
			turnCpu * 0.3 * (1 + getNoise(at + pool.codePointAt(0)! * 7919)),
		turns: 60,
		events: [],
	},
	{
		name: 'single large jobs at even intervals are no rises',
		rate: (pool, at) =>
			pool === 'a' && at % 10_000 < 250 ? 20 * turnCpu : quietCpu,
		turns: 30,
		events: [],
	},
	{
		name: 'a pool that is high at first has no start',
		rate: (pool, at) => rotate(pool, at + leadInMs + 1000),
		turns: 3.9,
		// The rotation shows from the second turn on, once b has risen twice.
		events: ['c expected'],
	},
	{
		name: 'a wall clock set forward skips turns, which are learned anew',
		rate: rotate,
		options: {getClockError: (at) => (at > getTurnStart(5) ? 3_600_000 : 0)},
		turns: 10.6,
		events: ['a expected', 'a came', 'b expected', 'd expected'],
	},
	{
		name: 'a wall clock set back ends the pattern, which is learned anew',
		rate: rotate,
		options: {getClockError: (at) => (at > getTurnStart(4.8) ? -3_600_000 : 0)},
		turns: 10.2,
		events: ['a expected', 'a came', 'b expected', 'c expected', 'c came'],
	},
	{
		name: 'a turn of a pool that is not observed is not counted as missed',
		rate: rotate,
		options: {
			isObserved: (pool, at) => pool !== 'b' || at < getTurnStart(4),
		},
		turns: 6.5,
		events: [
			'a expected',
			'a came',
			'b expected',
			'c expected',
			'c came',
			'd expected',
		],
	},
];

for (const {name, rate, options, turns, events} of cases) {
	tap.t.test(name, async (t) => {
		const replay = createReplay();
		replayRounds(replay, rate, [0, getEnd(turns)], options);
		t.same(describeTurns(replay), events);
	});
}

const dayMs = 86_400_000;

tap.t.test('a daily turn is expected on the fourth day', async (t) => {
	const replay = createReplay();
	for (let day = 0; day < 4; day++) {
		// Turns are a little early or late; most of the day is not observed.
		const from = day * dayMs + [0, 300, -200, 100][day]!;
		const turn: Rate = (pool, at) =>
			pool === 'b' && at >= from && at < from + 40_000 ? turnCpu : quietCpu;
		replayRounds(replay, turn, [day * dayMs - 20_000, day * dayMs + 60_000]);
	}

	t.same(describeTurns(replay), ['b expected', 'b came']);
	const row = JSON.parse(
		fleet.formatStoredRises(replay.state.rises),
	) as fleet.StoredRises;
	t.match(row, {format: 1, rises: {length: 4}});
});

tap.t.test('a new holder goes on from the stored rises', async (t) => {
	const before = createReplay();
	const takeoverAt = getTurnStart(5.3);
	replayRounds(before, rotate, [0, takeoverAt]);
	const row = JSON.parse(
		fleet.formatStoredRises(before.state.rises),
	) as fleet.StoredRises;
	const after = {...createReplay(), arriving: before.arriving};
	replayRounds(after, rotate, [takeoverAt, takeoverAt + 250]);
	after.state = fleet.addStoredRises(after.state, row.rises);
	// The turn of b was under way at the takeover, and has no known start.
	replayRounds(after, rotate, [takeoverAt + 250, getEnd(7.2)]);
	t.same(describeTurns(after), [
		'c expected',
		'c came',
		'd expected',
		'd came',
	]);
});

tap.t.test(
	'a gap in the observations ends a rise without a record',
	async (t) => {
		const replay = createReplay();
		replayRounds(replay, rotate, [0, getTurnStart(1.5)]);
		replayRounds(replay, rotate, [getTurnStart(1.5) + 3500, getTurnStart(4.5)]);
		// The turn of c began in the gap as well.
		t.same(
			replay.state.rises.map(({pool}) => pool),
			['d', 'a', 'd'],
		);
	},
);

tap.t.test('the stored rises are bounded', async (t) => {
	const create = (pool: string, count: number) =>
		Array.from({length: count}, (_, index) => ({
			pool,
			startEpochMs: startEpochMs + index * turnMs,
			lengthMs: turnMs,
			heightCpu: turnCpu,
		}));
	const state = fleet.addStoredRises(
		fleet.emptyForecastState,
		create('quick', 200),
	);
	const {rises} = fleet.addStoredRises(state, create('daily', 3));
	t.equal(rises.length, 64);
	t.equal(rises.filter(({pool}) => pool === 'daily').length, 3);
	const long = create('a pool with a name of more than usual length', 64);
	t.ok(fleet.formatStoredRises(long).length <= 6000);
});

const segments = fc.array(
	fc.record({
		pool: fc.constantFrom(...pools),
		lengthMs: fc.constantFrom(500, 2000, turnMs, turnMs, turnMs, 9000),
		machines: fc.constantFrom(2, 60, 100, 100, 400),
		clockStepMs: fc.constantFrom(0, 0, 0, 0, 2000, -2000, 3_600_000),
		gapMs: fc.constantFrom(0, 0, 0, 4000),
	}),
	{minLength: 8, maxLength: 24},
);

tap.t.test('a prediction is bounded in machines and time', async (t) => {
	let missed = 0;
	fc.assert(
		fc.property(fc.boolean(), segments, (inOrder, list) => {
			const replay = createReplay();
			let from = 0;
			let clockErrorMs = 0;
			for (const [index, segment] of list.entries()) {
				// Half of the loads rotate, so that there is something to miss.
				const turn = inOrder ? pools[index % pools.length] : segment.pool;
				const isEven = inOrder && index < 6;
				const to = from + (isEven ? turnMs : segment.lengthMs);
				const cpu = (isEven ? 100 : segment.machines) * machineCpu;
				clockErrorMs += isEven ? 0 : segment.clockStepMs;
				const error = clockErrorMs;
				replayRounds(
					replay,
					(pool) => (pool === turn ? cpu : quietCpu),
					[from, to],
					{
						getClockError: () => error,
					},
				);
				from = to + (isEven ? 0 : segment.gapMs);
			}

			const missedTurns = replay.events.flatMap(({at, event}) =>
				event.kind === 'missed' ? [{at, ...event.turn}] : [],
			);
			missed += missedTurns.length;
			return replay.expected.every(({at, epochNow, machines, rises}) => {
				const sum = [...machines.values()].reduce((one, two) => one + two, 0);
				const isBounded = [...rises.values()].every(
					({pool, hasBegun, atEpochMs}) =>
						epochNow >= atEpochMs - 2500 &&
						epochNow <= atEpochMs + (hasBegun ? 3000 : 1000) &&
						!missedTurns.some(
							(turn) =>
								at >= turn.at &&
								turn.pool === pool &&
								turn.atEpochMs === atEpochMs,
						),
				);
				return sum <= machineCount / 2 && isBounded;
			});
		}),
		{numRuns: 200},
	);
	t.ok(missed > 0, 'some loads have missed turns');
});
