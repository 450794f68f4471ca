/**
 * Patterns of rises: a rotation between pools, or the period of one pool, which
 * is a rotation of one. A pattern is found in the last rises and then followed
 * from rise to rise, so that one missing or late rise does not end it.
 */
import type {RiseStart} from './rises.js';

/** Turns of pools that follow one another at even intervals. */
export type Pattern = {
	/** Pools in the order of their next turns. */
	readonly order: readonly string[];
	readonly intervalMs: number;
	/** Start of the last turn, wall clock in milliseconds. */
	readonly lastEpochMs: number;
	/** 1 less the largest relative deviation of the last intervals. */
	readonly regularity: number;
	/** Turns in a row that did not come; those that come count down. */
	readonly misses: number;
	/** The same for the turns of each pool. */
	readonly poolMisses: ReadonlyMap<string, number>;
	/** Turns since the last rise that belongs to the pattern. */
	readonly emptyTurns: number;
};

/** A turn that a pattern expects. */
export type Turn = {
	readonly pool: string;
	/** Expected start, wall clock in milliseconds. */
	readonly atEpochMs: number;
	readonly confidence: number;
};

/** What a rise is to a pattern. */
export type TurnOutcome = 'came' | 'missed' | 'unrelated';

/** A pattern after a rise or after time has passed. */
export type PatternStep = {
	/** Absent once the pattern has ended. */
	readonly pattern: Pattern | undefined;
	readonly outcome: TurnOutcome;
	/** The turn that came or was missed. */
	readonly turn?: Turn;
};

/**
 * Time that a move needs before an expected rise, in milliseconds: 1.5 s on the
 * way and some 1 s until the machine is empty.
 */
export const leadMs = 2500;

/** How late a rise may come after its expected start, in milliseconds. */
export const maxLateMs = 1000;

/**
 * Time from the latest start of an expected rise until it is judged, in
 * milliseconds: recent arrivals have reached a third of their height in 0.5 s.
 */
export const judgeDelayMs = 1000;

/** Confidence below which nothing is expected. */
export const minConfidence = 0.6;

/**
 * Factor of the confidence for each miss in a row: the first leaves an even
 * pattern above the minimum of 0.6, the second does not.
 */
const missFactor = 0.75;

/** More misses in a row change nothing, so that few rises restore a pattern. */
const maxMisses = 2;

/** Largest relative deviation of an interval from the mean. */
const maxDeviation = 0.15;

/** Rises that show a rotation, and pools that take part in it. */
const minRotationRises = 4;
const minRotationPools = 3;

/** Rises that show the period of one pool. */
const minPeriodRises = 3;

/** Older rises do not count, so that a change of pace is followed. */
const maxPatternRises = 12;

const minIntervalMs = 1000;

/** A day, and an hour for turns that begin later on one day. */
const maxIntervalMs = 25 * 3_600_000;

type Pace = {readonly intervalMs: number; readonly regularity: number};

/** Mean interval of rises; undefined if they are too uneven. */
const findPace = (starts: readonly RiseStart[]): Pace | undefined => {
	const intervals = starts
		.slice(1)
		.map(({startEpochMs}, index) => startEpochMs - starts[index]!.startEpochMs);
	const intervalMs =
		intervals.reduce((sum, each) => sum + each, 0) / intervals.length;
	if (intervalMs < minIntervalMs || intervalMs > maxIntervalMs) {
		return undefined;
	}

	const deviation = Math.max(
		...intervals.map((each) => Math.abs(each - intervalMs) / intervalMs),
	);
	return deviation < maxDeviation
		? {intervalMs, regularity: 1 - deviation}
		: undefined;
};

/**
 * Order of the next turns if no pool rises twice before each of the others and
 * one has risen twice; undefined otherwise. One turn of each pool is no evidence
 * that the turns repeat: where demand then ended, machines were moved for rises
 * that did not come.
 */
const findOrder = (
	starts: readonly RiseStart[],
): readonly string[] | undefined => {
	const pools = starts.map(({pool}) => pool);
	const count = new Set(pools).size;
	const isRotation =
		pools.length > count &&
		new Set(pools.slice(0, count)).size === count &&
		pools.every(
			(pool, index) => index < count || pool === pools[index - count],
		);
	return isRotation ? pools.slice(-count) : undefined;
};

/** Finds the longest suffix of rises that shows a pattern. */
const findPattern = (
	starts: readonly RiseStart[],
	minRises: number,
	isValidOrder: (order: readonly string[]) => boolean,
): Pattern | undefined => {
	const longest = Math.min(starts.length, maxPatternRises);
	for (let length = longest; length >= minRises; length--) {
		const suffix = starts.slice(-length);
		const order = findOrder(suffix);
		const pace = order && isValidOrder(order) ? findPace(suffix) : undefined;
		if (order && pace) {
			return {
				...pace,
				order,
				lastEpochMs: suffix.at(-1)!.startEpochMs,
				misses: 0,
				poolMisses: new Map(),
				emptyTurns: 0,
			};
		}
	}

	return undefined;
};

/** Finds a rotation that the last rise, given in order of starts, belongs to. */
export const findRotation = (
	starts: readonly RiseStart[],
): Pattern | undefined =>
	findPattern(
		starts,
		minRotationRises,
		({length}) => length >= minRotationPools,
	);

/** Finds the period of the last rises of one pool. */
export const findPeriod = (starts: readonly RiseStart[]): Pattern | undefined =>
	findPattern(starts, minPeriodRises, ({length}) => length === 1);

/** Returns the next turn of a pattern. */
export const getNextTurn = (pattern: Pattern): Turn => {
	const {order, lastEpochMs, intervalMs, regularity, misses} = pattern;
	const pool = order[0]!;
	const most = Math.max(misses, pattern.poolMisses.get(pool) ?? 0);
	return {
		pool,
		atEpochMs: lastEpochMs + intervalMs,
		confidence: regularity * missFactor ** most,
	};
};

const rotate = (order: readonly string[]): readonly string[] => [
	...order.slice(1),
	order[0]!,
];

/** Counts a turn of a pool that came (-1) or did not come (1). */
const countTurn = (pattern: Pattern, pool: string, change: 1 | -1): Pattern => {
	const count = (misses: number) =>
		Math.min(maxMisses, Math.max(0, misses + change));
	return {
		...pattern,
		misses: count(pattern.misses),
		poolMisses: new Map(pattern.poolMisses).set(
			pool,
			count(pattern.poolMisses.get(pool) ?? 0),
		),
	};
};

/** Whether a rise that starts then is the expected turn. */
export const isWithinTurn = ({atEpochMs}: Turn, epochMs: number): boolean =>
	epochMs >= atEpochMs - leadMs && epochMs <= atEpochMs + maxLateMs;

/** Sets the start of the last turn to that of a rise. */
const anchor = (pattern: Pattern, {startEpochMs}: RiseStart): Pattern => ({
	...pattern,
	lastEpochMs: startEpochMs,
	emptyTurns: 0,
});

/** Follows a pattern by a rise; one that fits no turn is ignored. */
const followRise = (
	pattern: Pattern,
	rise: RiseStart,
): PatternStep & {readonly pattern: Pattern} => {
	const turn = getNextTurn(pattern);
	const {order, intervalMs, lastEpochMs, emptyTurns} = pattern;
	const isLateTurn =
		emptyTurns > 0 &&
		rise.pool === order.at(-1) &&
		Math.abs(rise.startEpochMs - lastEpochMs) <= intervalMs / 2;
	if (isLateTurn) {
		// Its miss is counted already; the next turns are that much later.
		return {pattern: anchor(pattern, rise), outcome: 'unrelated'};
	}

	const offsetMs = rise.startEpochMs - turn.atEpochMs;
	if (rise.pool !== turn.pool || Math.abs(offsetMs) > intervalMs / 2) {
		return {pattern, outcome: 'unrelated'};
	}

	const next = anchor({...pattern, order: rotate(order)}, rise);
	if (isWithinTurn(turn, rise.startEpochMs)) {
		return {pattern: countTurn(next, turn.pool, -1), outcome: 'came', turn};
	}

	return offsetMs > 0
		? {pattern: countTurn(next, turn.pool, 1), outcome: 'missed', turn}
		: {pattern: next, outcome: 'unrelated'};
};

/**
 * Applies a rise to a pattern. `found` is the pattern that the last rises show;
 * it replaces the one before, and takes over its misses.
 */
export const applyRise = (
	pattern: Pattern | undefined,
	found: Pattern | undefined,
	rise: RiseStart,
): PatternStep => {
	if (!pattern) {
		return {pattern: found, outcome: 'unrelated'};
	}

	const followed = followRise(pattern, rise);
	if (!found) {
		return followed;
	}

	const turn = getNextTurn(pattern);
	// The turn of one pool went to another one.
	const isReplaced =
		turn.pool !== rise.pool && isWithinTurn(turn, rise.startEpochMs);
	const {misses, poolMisses} = isReplaced
		? countTurn(pattern, turn.pool, 1)
		: followed.pattern;
	return {
		...(isReplaced ? {outcome: 'missed', turn} : followed),
		pattern: {...found, misses, poolMisses},
	};
};

/**
 * Passes the next turn if its time is over. It counts as missed if the pool was
 * observed all the time, and is skipped otherwise. A pattern ends once each of
 * its pools has had a turn without a rise; that of one pool after two turns.
 */
export const passTurn = (
	pattern: Pattern,
	epochNow: number,
	wasObserved: (turn: Turn) => boolean,
): PatternStep => {
	const turn = getNextTurn(pattern);
	if (epochNow < turn.atEpochMs + maxLateMs + judgeDelayMs) {
		return {pattern, outcome: 'unrelated'};
	}

	const {order} = pattern;
	const passed: Pattern = {
		...pattern,
		order: rotate(order),
		lastEpochMs: turn.atEpochMs,
		emptyTurns: pattern.emptyTurns + 1,
	};
	const isMissed = wasObserved(turn);
	const next = isMissed ? countTurn(passed, turn.pool, 1) : passed;
	return {
		pattern:
			next.emptyTurns < Math.max(maxMisses, order.length) ? next : undefined,
		...(isMissed ? {outcome: 'missed', turn} : {outcome: 'unrelated'}),
	};
};
