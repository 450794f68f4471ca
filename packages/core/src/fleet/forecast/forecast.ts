/**
 * Forecasts rises of demand from the rises before, so that machines move to a
 * pool before its rise. It addresses demand that rotates between pools faster
 * than machines move, and turns at the same time of each day. Without a pattern
 * nothing is expected. Source: docs/design/demand-forecast.md.
 */
import {
	applyRise,
	findPeriod,
	findRotation,
	getNextTurn,
	isWithinTurn,
	judgeDelayMs,
	leadMs,
	maxLateMs,
	minConfidence,
	passTurn,
	type Pattern,
	type PatternStep,
	type Turn,
} from './pattern.js';
import {
	maxGapMs,
	observePool,
	type PoolStep,
	type PoolWatch,
	type Rise,
	type RiseStart,
	type RoundTime,
} from './rises.js';

/** Patterns that are followed. */
type Patterns = {
	readonly rotation: Pattern | undefined;
	/** Pools with a period of their own that are in no rotation. */
	readonly periods: ReadonlyMap<string, Pattern>;
};

/** An expected rise that has begun. */
type BegunTurn = {readonly turn: Turn; readonly startEpochMs: number};

/** What the forecast knows. */
export type ForecastState = Patterns & {
	readonly watches: ReadonlyMap<string, PoolWatch>;
	/** The last rises that have ended, in order of their ends. */
	readonly rises: readonly Rise[];
	readonly begun: ReadonlyMap<string, BegunTurn>;
	/** Pools whose current expectation has been reported. */
	readonly reported: ReadonlySet<string>;
};

/** Observation of all pools in a round. Cpu in thousandths of a core. */
export type DemandRound = {
	readonly time: RoundTime;
	/** Mean capacity of a machine. */
	readonly machineCpu: number;
	/** Capacity that each pool has in any case. */
	readonly baseCpu: number;
	/** `arrivingCpu` by pool; pools whose owner did not answer are absent. */
	readonly arrivingCpu: ReadonlyMap<string, number>;
};

/** Demand that is expected in a pool now. */
export type ExpectedRise = {
	readonly pool: string;
	/** Confidence times the mean height of the pool's last rises. */
	readonly expectedCpu: number;
	readonly confidence: number;
	/** Expected start, wall clock in milliseconds. */
	readonly atEpochMs: number;
	/** Time window of the expectation, wall clock in milliseconds. */
	readonly fromEpochMs: number;
	readonly untilEpochMs: number;
	/** Whether the rise has begun. */
	readonly hasBegun: boolean;
};

/** What operators are told. */
export type ForecastEvent =
	| {readonly kind: 'expected'; readonly rise: ExpectedRise}
	| {readonly kind: 'came'; readonly turn: Turn; readonly offsetMs: number}
	| {readonly kind: 'missed'; readonly turn: Turn}
	| {readonly kind: 'ended'; readonly rise: Rise};

export const emptyForecastState: ForecastState = {
	watches: new Map(),
	rises: [],
	rotation: undefined,
	periods: new Map(),
	begun: new Map(),
	reported: new Set(),
};

/** Rises that are kept, which bounds the stored row. */
const maxRises = 64;

/** Rises of a pool whose mean height is expected. */
const heightRises = 3;

/**
 * How long an expected rise that has begun keeps its machines, in milliseconds:
 * recent arrivals, which take over, have then reached 0.8 of their height.
 */
const holdMs = 2000;

/** Time without an observation after which a pool is forgotten. */
const forgetMs = 60_000;

/**
 * Keeps the last rises. The pool with the most rises loses its oldest, so that
 * a quick rotation does not displace the rises of a daily period.
 */
const keepRecent = (rises: readonly Rise[]): readonly Rise[] => {
	const kept = [...rises];
	while (kept.length > maxRises) {
		const counts = new Map<string, number>();
		for (const {pool} of kept) {
			counts.set(pool, (counts.get(pool) ?? 0) + 1);
		}

		const most = Math.max(...counts.values());
		kept.splice(
			kept.findIndex(({pool}) => counts.get(pool) === most),
			1,
		);
	}

	return kept;
};

/** Mean height of a pool's last rises; undefined if none has ended. */
const getHeight = (
	{rises}: Pick<ForecastState, 'rises'>,
	pool: string,
): number | undefined => {
	const last = rises.filter((each) => each.pool === pool).slice(-heightRises);
	return last.length === 0
		? undefined
		: last.reduce((sum, {heightCpu}) => sum + heightCpu, 0) / last.length;
};

/** The next turn of each pattern. */
const listTurns = ({rotation, periods}: Patterns): readonly Turn[] =>
	[...(rotation ? [rotation] : []), ...periods.values()].map((each) =>
		getNextTurn(each),
	);

/** Starts of the ended and the open rises, in order. */
const listStarts = ({
	rises,
	watches,
}: Pick<ForecastState, 'rises' | 'watches'>): readonly RiseStart[] =>
	[
		...rises,
		...[...watches].flatMap(([pool, {rise}]) =>
			rise ? [{pool, startEpochMs: rise.startEpochMs}] : [],
		),
	].toSorted((one, two) => one.startEpochMs - two.startEpochMs);

const isPredicted = (state: ForecastState, turn: Turn): boolean =>
	turn.confidence >= minConfidence && getHeight(state, turn.pool) !== undefined;

/** Returns the demand that is expected at a time, by pool. */
export const forecastDemand = (
	state: ForecastState,
	epochNow: number,
): ReadonlyMap<string, ExpectedRise> => {
	const expected = new Map<string, ExpectedRise>();
	const add = (turn: Turn, untilEpochMs: number, hasBegun: boolean) => {
		const {pool, atEpochMs, confidence} = turn;
		const fromEpochMs = atEpochMs - leadMs;
		const heightCpu = getHeight(state, pool);
		const isNow = epochNow >= fromEpochMs && epochNow <= untilEpochMs;
		if (isNow && heightCpu !== undefined && confidence >= minConfidence) {
			expected.set(pool, {
				pool,
				expectedCpu: confidence * heightCpu,
				confidence,
				atEpochMs,
				fromEpochMs,
				untilEpochMs,
				hasBegun,
			});
		}
	};

	for (const turn of listTurns(state)) {
		if (!state.watches.get(turn.pool)?.rise) {
			add(turn, turn.atEpochMs + maxLateMs, false);
		}
	}

	for (const [pool, {turn, startEpochMs}] of state.begun) {
		if (state.watches.get(pool)?.rise?.startEpochMs === startEpochMs) {
			add(turn, startEpochMs + holdMs, true);
		}
	}

	return expected;
};

/** Applies the start of a rise, which is the last of `starts`, to patterns. */
const learnStart = (
	patterns: Patterns,
	starts: readonly RiseStart[],
	rise: RiseStart,
): {readonly patterns: Patterns; readonly steps: readonly PatternStep[]} => {
	const rotated = applyRise(patterns.rotation, findRotation(starts), rise);
	const rotation = rotated.pattern;
	const periods = new Map(
		[...patterns.periods].filter(([pool]) => !rotation?.order.includes(pool)),
	);
	if (rotation?.order.includes(rise.pool)) {
		return {patterns: {rotation, periods}, steps: [rotated]};
	}

	const own = applyRise(
		periods.get(rise.pool),
		findPeriod(starts.filter(({pool}) => pool === rise.pool)),
		rise,
	);
	if (own.pattern) {
		periods.set(rise.pool, own.pattern);
	}

	return {patterns: {rotation, periods}, steps: [rotated, own]};
};

/** Passes the turns of one pattern whose time is over. */
const passTurns = (
	pattern: Pattern | undefined,
	epochNow: number,
	wasObserved: (turn: Turn) => boolean,
): {
	readonly pattern: Pattern | undefined;
	readonly steps: readonly PatternStep[];
} => {
	const steps: PatternStep[] = [];
	let current = pattern;
	while (current) {
		const step = passTurn(current, epochNow, wasObserved);
		if (step.pattern === current) {
			break;
		}

		steps.push(step);
		current = step.pattern;
	}

	return {pattern: current, steps};
};

const passAllTurns = (
	{rotation, periods}: Patterns,
	epochNow: number,
	wasObserved: (turn: Turn) => boolean,
): {readonly patterns: Patterns; readonly steps: readonly PatternStep[]} => {
	const rotated = passTurns(rotation, epochNow, wasObserved);
	const steps = [...rotated.steps];
	const left = new Map<string, Pattern>();
	for (const [pool, pattern] of periods) {
		const passed = passTurns(pattern, epochNow, wasObserved);
		steps.push(...passed.steps);
		if (passed.pattern) {
			left.set(pool, passed.pattern);
		}
	}

	return {patterns: {rotation: rotated.pattern, periods: left}, steps};
};

/** Height of the rise that each pool is expected to have about now. */
const listExpectedHeights = (
	state: ForecastState,
	epochNow: number,
): ReadonlyMap<string, number | undefined> =>
	new Map(
		listTurns(state).flatMap((turn) => {
			const isOpen = isWithinTurn(turn, epochNow - judgeDelayMs);
			const isNow = isOpen || isWithinTurn(turn, epochNow);
			return isNow && isPredicted(state, turn)
				? [[turn.pool, getHeight(state, turn.pool)] as const]
				: [];
		}),
	);

const observePools = (
	state: ForecastState,
	{time, machineCpu, baseCpu, arrivingCpu}: DemandRound,
): ReadonlyMap<string, PoolStep> => {
	const heights = listExpectedHeights(state, time.epochNow);
	return new Map(
		[...arrivingCpu].map(([pool, cpu]) => [
			pool,
			observePool(
				state.watches.get(pool),
				{
					arrivingCpu: cpu,
					baseCpu,
					machineCpu,
					expectedHeightCpu: heights.get(pool),
				},
				time,
			),
		]),
	);
};

const mergeWatches = (
	{watches}: ForecastState,
	steps: ReadonlyMap<string, PoolStep>,
	{now}: RoundTime,
): ReadonlyMap<string, PoolWatch> =>
	new Map(
		[
			...watches,
			...[...steps].map(([pool, {watch}]) => [pool, watch] as const),
		].filter(([, {observed}]) => now - observed.now <= forgetMs),
	);

const listEnded = (steps: ReadonlyMap<string, PoolStep>): readonly Rise[] =>
	[...steps].flatMap(([pool, {ended}]) =>
		ended
			? [
					{
						pool,
						startEpochMs: ended.startEpochMs,
						lengthMs: ended.lengthMs,
						heightCpu: ended.peakCpu,
					},
				]
			: [],
	);

/** Applies the rises that begin in a round to the patterns. */
const learnStarts = (
	state: ForecastState,
	steps: ReadonlyMap<string, PoolStep>,
): {
	readonly state: ForecastState;
	readonly events: readonly ForecastEvent[];
} => {
	const begun = new Map(state.begun);
	const events: ForecastEvent[] = [];
	const starts = listStarts(state);
	let patterns: Patterns = state;
	for (const rise of starts) {
		const {pool, startEpochMs} = rise;
		if (steps.get(pool)?.startEpochMs !== startEpochMs) {
			continue;
		}

		begun.delete(pool);
		const known = starts.slice(0, starts.indexOf(rise) + 1);
		const learned = learnStart(patterns, known, rise);
		patterns = learned.patterns;
		for (const {outcome, turn} of learned.steps) {
			if (outcome === 'unrelated' || !turn || !isPredicted(state, turn)) {
				continue;
			}

			if (outcome === 'came') {
				const offsetMs = startEpochMs - turn.atEpochMs;
				events.push({kind: 'came', turn, offsetMs});
				begun.set(pool, {turn, startEpochMs});
			} else {
				events.push({kind: 'missed', turn});
			}
		}
	}

	return {state: {...state, ...patterns, begun}, events};
};

/** Applies the observations of a round. */
export const observeDemand = (
	before: ForecastState,
	round: DemandRound,
): {
	readonly state: ForecastState;
	readonly events: readonly ForecastEvent[];
} => {
	const {time} = round;
	const steps = observePools(before, round);
	const ended = listEnded(steps);
	const watches = mergeWatches(before, steps, time);
	const learned = learnStarts(
		{...before, watches, rises: keepRecent([...before.rises, ...ended])},
		steps,
	);
	// A pool that is in another rise cannot show whether its turn has come.
	const wasObserved = ({pool, atEpochMs}: Turn): boolean => {
		const watch = watches.get(pool);
		return (
			watch !== undefined &&
			!watch.rise &&
			watch.sinceEpochMs <= atEpochMs &&
			time.epochNow - watch.observed.epochNow <= maxGapMs
		);
	};

	const passed = passAllTurns(learned.state, time.epochNow, wasObserved);
	const state = {...learned.state, ...passed.patterns};
	const expected = forecastDemand(state, time.epochNow);
	return {
		state: {...state, reported: new Set(expected.keys())},
		events: [
			...ended.map((rise) => ({kind: 'ended', rise}) as const),
			...learned.events,
			...passed.steps.flatMap(({outcome, turn}) =>
				outcome === 'missed' && turn && isPredicted(state, turn)
					? [{kind: 'missed', turn} as const]
					: [],
			),
			...[...expected.values()]
				.filter(({pool, hasBegun}) => !hasBegun && !before.reported.has(pool))
				.map((rise) => ({kind: 'expected', rise}) as const),
		],
	};
};

/**
 * Adds the rises that an earlier holder stored. The patterns are found anew
 * from all rises in order.
 */
export const addStoredRises = (
	state: ForecastState,
	stored: readonly Rise[],
): ForecastState => {
	const rises = keepRecent([...stored.slice(-maxRises), ...state.rises]);
	const starts = listStarts({rises, watches: state.watches});
	let patterns: Patterns = {rotation: undefined, periods: new Map()};
	for (const [index, rise] of starts.entries()) {
		const passed = passAllTurns(patterns, rise.startEpochMs, () => false);
		const known = starts.slice(0, index + 1);
		patterns = learnStart(passed.patterns, known, rise).patterns;
	}

	return {...state, ...patterns, rises, begun: new Map()};
};
