/** Replays load as plain numbers through the forecast. */
import {arrivalWindowMs} from '../../scheduler/load/arrivals.js';
import * as fleet from '../index.js';

export const startEpochMs = 1_700_000_000_000;

export const machineCpu = 32_000;

export const machineCount = 246;

/** Work that is submitted to a pool, as cpu, `at` milliseconds after the start. */
export type Rate = (pool: string, at: number) => number;

export const pools = ['a', 'b', 'c', 'd'] as const;

export const turnMs = 4500;

/** Time before the first turn of a, in milliseconds; the turn of d is before it. */
export const leadInMs = 2000 + turnMs;

export const turnCpu = 100 * machineCpu;

export const quietCpu = turnCpu / 100;

/**
 * Demand that has a turn in each pool, one pool after the other. It begins with
 * d, so that d has risen twice before the second turn of a.
 */
export const rotate: Rate = (pool, at) => {
	const turn = Math.floor((at - leadInMs) / turnMs);
	return turn >= -1 && pools[(turn + 4) % 4] === pool ? turnCpu : quietCpu;
};

export type Replay = {
	state: fleet.ForecastState;
	/** Cpu that recent arrivals keep busy, by pool. */
	readonly arriving: Map<string, number>;
	readonly events: Array<{
		readonly at: number;
		readonly event: fleet.ForecastEvent;
	}>;
	/** Machines expected in each round. */
	readonly expected: Array<{
		readonly at: number;
		readonly epochNow: number;
		readonly rises: ReadonlyMap<string, fleet.ExpectedRise>;
		readonly machines: ReadonlyMap<string, number>;
	}>;
};

export const createReplay = (): Replay => ({
	state: fleet.emptyForecastState,
	arriving: new Map(),
	events: [],
	expected: [],
});

export type ReplayOptions = {
	readonly roundMs?: number;
	/** Offset of the wall clock, in milliseconds. */
	readonly getClockError?: (at: number) => number;
	readonly isObserved?: (pool: string, at: number) => boolean;
};

/** Runs the rounds from `from` until `to`, in milliseconds after the start. */
export const replayRounds = (
	replay: Replay,
	rate: Rate,
	[from, to]: readonly [number, number],
	options: ReplayOptions = {},
): void => {
	const {roundMs = 250, getClockError, isObserved = () => true} = options;
	const kept = Math.exp(-roundMs / arrivalWindowMs);
	for (let at = from; at < to; at += roundMs) {
		const epochNow = startEpochMs + at + (getClockError?.(at) ?? 0);
		for (const pool of pools) {
			const cpu = replay.arriving.get(pool) ?? rate(pool, at);
			const arrived = rate(pool, at - roundMs / 2);
			replay.arriving.set(pool, cpu * kept + arrived * (1 - kept));
		}

		const {state, events} = fleet.observeDemand(replay.state, {
			time: {now: at, epochNow},
			machineCpu,
			baseCpu: 15 * machineCpu,
			arrivingCpu: new Map(
				[...replay.arriving].filter(([pool]) => isObserved(pool, at)),
			),
		});
		replay.state = state;
		replay.events.push(...events.map((event) => ({at, event})));
		const rises = fleet.forecastDemand(state, epochNow);
		const demand = fleet.getExpectedDemand(state, rises, {
			machineCpu,
			machineCount,
		});
		const machines = demand?.machines ?? new Map<string, number>();
		replay.expected.push({at, epochNow, rises, machines});
	}
};

/** Describes the expected, came and missed turns, such as `a came`. */
export const describeTurns = ({events}: Replay): readonly string[] =>
	events.flatMap(({event}) => {
		if (event.kind === 'ended') {
			return [];
		}

		const {pool} = event.kind === 'expected' ? event.rise : event.turn;
		return [`${pool} ${event.kind}`];
	});
