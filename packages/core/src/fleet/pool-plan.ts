/**
 * Decides how many machines each pool gets and which machines move. A machine
 * in a service pool is billed whether it works or not; one in the standby pool
 * costs nothing; each move has a price and takes time. A pool therefore grows
 * as soon as its queue needs more capacity. It shrinks only after a sustained
 * surplus, and only by machines that are idle or whose work ends by itself.
 * Source: docs/design/pools.md.
 */
import type {ExpectedDemand} from './forecast/expected-demand.js';
import {
	isEvacuationPaused,
	type FailedEvacuations,
} from './failed-evacuations.js';
import {listMovesToCancel} from './needed-again.js';
import {isMoveRejected, type RejectedMoves} from './rejected-moves.js';

/** Settings of pool sizing. */
export type PoolConfig = {
	/**
	 * Capacity to plan for each unit of running and waiting work, as a factor.
	 */
	readonly headroom: number;
	/**
	 * Additional capacity for each waiting unit: a backlog shows that demand is
	 * rising, and it keeps rising while machines are moving.
	 */
	readonly surge: number;
	/**
	 * Minimum capacity of each pool that has queues, in thousandths of a core.
	 * It covers the first second of a rise, since machines take two seconds to
	 * arrive.
	 */
	readonly minCpu: number;
	/**
	 * Minimum capacity as a share of an even split of all machines over the
	 * pools, since a rise in a larger fleet needs more.
	 */
	readonly minShare: number;
	/**
	 * Time to finish late work on machines that no other pool needs, in
	 * milliseconds. Such machines cost about as much as late work is worth.
	 */
	readonly lateDrainMs: number;
	/** Idle machines to keep beyond the demand. */
	readonly spareMachines: number;
	/**
	 * Time that a surplus must last before the pool shrinks, in milliseconds.
	 */
	readonly shrinkAfterMs: number;
	/**
	 * Time that a surplus must last before machines go to a pool with a deficit
	 * that standby cannot cover, in milliseconds.
	 */
	readonly yieldAfterMs: number;
	/**
	 * Moves that may be in progress at once, in a fleet of any size. Each round
	 * during a rise should find some left.
	 */
	readonly maxMoves: number;
	/**
	 * Moves in progress as a share of all machines; the larger limit applies.
	 */
	readonly maxMoveShare: number;
	/** Whether machines move ahead of rises of demand that are expected. */
	readonly usesForecast: boolean;
};

/** Default settings. */
export const defaultPoolConfig: PoolConfig = {
	headroom: 1.25,
	surge: 2,
	minCpu: 96_000,
	minShare: 0.31,
	lateDrainMs: 4000,
	spareMachines: 1,
	shrinkAfterMs: 1000,
	yieldAfterMs: 200,
	maxMoves: 40,
	maxMoveShare: 0.35,
	usesForecast: true,
};

/**
 * Demand of late jobs: those that can no longer meet their objective. In
 * thousandths of a core.
 */
export type LateWork = {
	readonly waitingCpu: number;
	readonly usedCpu: number;
	/** Remaining work, in CPU-milliseconds. */
	readonly work: number;
};

/** Value for owners of older releases, which do not report late work. */
export const noLateWork: LateWork = {waitingCpu: 0, usedCpu: 0, work: 0};

/** Demand of a pool's queues, in thousandths of a core. */
export type PoolDemand = {
	readonly pool: string;
	/** Demand of waiting tasks that may start. */
	readonly waitingCpu: number;
	/** Demand of running tasks. */
	readonly usedCpu: number;
	/** The part of the two that belongs to late jobs. */
	readonly late: LateWork;
	/** Recently submitted work, as the capacity that it keeps busy. */
	readonly arrivingCpu: number;
	/** Machines that its tasks need because some must run on different ones. */
	readonly minMachines: number;
};

/** A machine as the planner sees it. */
export type PoolMachine = {
	readonly id: string;
	readonly pool: string;
	/** Whether it serves its pool, or is ready to leave the standby pool. */
	readonly isUp: boolean;
	/** Whether it will serve its pool soon, as the platform is moving it there. */
	readonly isArriving: boolean;
	readonly cpuMillis: number;
	/** Runs on it; 0 in the standby pool. */
	readonly runs: number;
	/** Long-running tasks on it. */
	readonly longRunning: number;
	/** Whether another operation uses it, such as maintenance. */
	readonly isReserved: boolean;
};

/** State carried from one plan to the next. */
export type PoolPlanState = {
	/** When the current surplus of each pool began, in milliseconds. */
	readonly surplusSince: ReadonlyMap<string, number>;
};

/** A move to start. */
export type PoolMove = {
	readonly machine: string;
	readonly from: string;
	readonly to: string;
};

/** Moves in progress, by machine. */
export type MovesUnderWay = ReadonlyMap<string, PoolMove>;

/** Moves to start or to cancel, and the state for the next plan. */
export type PoolPlan = {
	readonly moves: readonly PoolMove[];
	/** Moves whose machine its pool needs again. */
	readonly cancelled: readonly PoolMove[];
	readonly state: PoolPlanState;
	/** Target number of machines by pool, for the log. */
	readonly targets: ReadonlyMap<string, number>;
};

/** Input of a plan. */
export type PoolPlanInput = {
	readonly demands: readonly PoolDemand[];
	readonly machines: readonly PoolMachine[];
	readonly underWay: MovesUnderWay;
	/** Machines whose move may be cancelled, as it has not been commanded. */
	readonly revocable?: ReadonlySet<string> | undefined;
	readonly standbyPool: string;
	/** Rises that are expected; without any, machines follow demand only. */
	readonly expected?: ExpectedDemand | undefined;
	/** Other machines are moved in place of those in rejected moves. */
	readonly rejected?: RejectedMoves | undefined;
	/** Machines that serve for now, after an evacuation that failed. */
	readonly failed?: FailedEvacuations | undefined;
};

/** State before the first plan. */
export const emptyPoolPlanState: PoolPlanState = {surplusSince: new Map()};

/** Mean capacity of a machine, in thousandths of a core. */
export const getMachineCpu = (
	machines: ReadonlyArray<Pick<PoolMachine, 'cpuMillis'>>,
): number =>
	machines.length === 0
		? 1
		: machines.reduce((sum, {cpuMillis}) => sum + cpuMillis, 0) /
			machines.length;

/** Minimum number of machines of each pool. */
export const getMinMachines = (
	{demands, machines}: Pick<PoolPlanInput, 'demands' | 'machines'>,
	cfg: PoolConfig,
): number => {
	const evenSplit = machines.length / (demands.length + 1);
	return Math.max(
		Math.ceil(cfg.minCpu / getMachineCpu(machines)),
		Math.round(evenSplit * cfg.minShare),
	);
};

/** Machines needed by the jobs that can still meet their objective. */
const getTarget = (
	demand: PoolDemand,
	machineCpu: number,
	minPerPool: number,
	cfg: PoolConfig,
): number => {
	const waiting = demand.waitingCpu - demand.late.waitingCpu;
	const current = demand.usedCpu - demand.late.usedCpu + waiting;
	const needed =
		Math.max(current, demand.arrivingCpu) * cfg.headroom + waiting * cfg.surge;
	const machines = Math.ceil(needed / machineCpu) + cfg.spareMachines;
	return Math.max(minPerPool, demand.minMachines, machines);
};

/** Additional machines for late work, as long as no other pool needs them. */
const getLateMachines = (
	{late}: PoolDemand,
	machineCpu: number,
	{lateDrainMs}: PoolConfig,
): number =>
	Math.floor(
		Math.min(late.waitingCpu + late.usedCpu, late.work / lateDrainMs) /
			machineCpu,
	);

/**
 * Whether a machine provides capacity to its pool now or soon. One that is down
 * or under maintenance does not: counting it would hide a deficit.
 */
const isServing = ({isUp, isArriving, isReserved}: PoolMachine): boolean =>
	(isUp || isArriving) && !isReserved;

/** Counts machines in service in a pool and machines on their way to it. */
const countMachines = (
	{machines, underWay}: PoolPlanInput,
	pool: string,
): number => {
	const inService = machines.filter(
		(each) =>
			each.pool === pool &&
			isServing(each) &&
			underWay.get(each.id)?.from !== pool,
	);
	const arriving = [...underWay].filter(
		([id, {to}]) => to === pool && !inService.some((each) => each.id === id),
	);
	return inService.length + arriving.length;
};

/**
 * Counts the machines of a pool that serve it now and stay. Those on their way
 * may come late or not at all, so no machine leaves in exchange for them.
 */
const countPresent = (
	{machines, underWay}: PoolPlanInput,
	pool: string,
): number =>
	machines.filter(
		(each) =>
			each.pool === pool &&
			each.isUp &&
			!each.isReserved &&
			underWay.get(each.id)?.from !== pool,
	).length;

const recordSurplus = (
	state: PoolPlanState,
	surplus: ReadonlyMap<string, number>,
	now: number,
): PoolPlanState => {
	const surplusSince = new Map<string, number>();
	for (const [pool, machines] of surplus) {
		if (machines > 0) {
			surplusSince.set(pool, state.surplusSince.get(pool) ?? now);
		}
	}

	return {surplusSince};
};

/**
 * Lists the machines that may leave a pool, the least busy first. A machine
 * with work leaves once that work has ended; one with long-running tasks stays.
 */
const listMovable = (
	{machines, underWay, failed = new Map()}: PoolPlanInput,
	pool: string,
	now: number,
): readonly PoolMachine[] =>
	machines
		.filter(
			(each) =>
				each.pool === pool &&
				each.isUp &&
				!each.isReserved &&
				!underWay.has(each.id) &&
				!isEvacuationPaused(failed, each.id, now) &&
				each.longRunning === 0,
		)
		.toSorted((one, two) => one.runs - two.runs);

/** What a pool can release now. */
type Movable = {
	/** In the order in which they leave. */
	readonly machines: PoolMachine[];
	/** How many of them may leave. */
	left: number;
};

type PlanDraft = {
	readonly input: PoolPlanInput;
	readonly now: number;
	readonly movableByPool: Map<string, Movable>;
	readonly moves: PoolMove[];
	movesLeft: number;
};

/** Takes the first machine that may move to a pool out of those movable. */
const takeMovable = (
	{input: {rejected}, now}: PlanDraft,
	movable: Movable,
	to: string,
): PoolMachine | undefined => {
	const index = movable.machines.findIndex(
		({id}) => !rejected || !isMoveRejected(rejected, id, to, now),
	);
	if (index === -1 || movable.left <= 0) {
		return undefined;
	}

	movable.left -= 1;
	return movable.machines.splice(index, 1)[0];
};

const planMove = (draft: PlanDraft, from: string, to: string): boolean => {
	const movable = draft.movableByPool.get(from);
	const machine =
		movable && draft.movesLeft > 0
			? takeMovable(draft, movable, to)
			: undefined;
	if (!machine) {
		return false;
	}

	draft.movesLeft -= 1;
	draft.moves.push({machine: machine.id, from, to});
	return true;
};

/**
 * Moves machines to a pool with a deficit, from standby first, since that takes
 * capacity from no other pool.
 */
const coverDeficit = (
	draft: PlanDraft,
	pool: string,
	deficit: number,
): void => {
	const {standbyPool} = draft.input;
	let missing = deficit;
	const sources = [
		standbyPool,
		...[...draft.movableByPool.keys()].filter(
			(each) => each !== standbyPool && each !== pool,
		),
	];
	for (const from of sources) {
		while (missing > 0 && planMove(draft, from, pool)) {
			missing -= 1;
		}
	}
};

/** The surplus of a pool after the moves planned so far. */
const getRemainingSurplus = (
	{moves}: PlanDraft,
	pool: string,
	excess: number,
): number => {
	const incoming = moves.filter(({to}) => to === pool).length;
	const outgoing = moves.filter(({from}) => from === pool).length;
	return excess + incoming - outgoing;
};

/**
 * Part of the machines and moves of a plan that expected rises get before the
 * present demand. Machines that are sent for during a rise of 4.5 s arrive when
 * it is half over; with present demand first, they were all taken for it and
 * none was left for the next rise.
 */
const expectedFirstShare = 0.5;

/** Moves at most `maxMoves` machines ahead of expected rises. */
const coverExpected = (
	draft: PlanDraft,
	surplus: ReadonlyMap<string, number>,
	maxMoves: number,
): void => {
	const kept = Math.max(0, draft.movesLeft - maxMoves);
	draft.movesLeft -= kept;
	for (const pool of draft.input.expected?.machines.keys() ?? []) {
		const excess = surplus.get(pool) ?? 0;
		coverDeficit(draft, pool, -getRemainingSurplus(draft, pool, excess));
	}

	draft.movesLeft += kept;
};

/** Moves that expected rises get before the present demand. */
const countFirstMoves = ({movableByPool, movesLeft}: PlanDraft): number => {
	const available = [...movableByPool.values()].reduce(
		(sum, {machines, left}) => sum + Math.min(machines.length, left),
		0,
	);
	return Math.floor(Math.min(movesLeft, available) * expectedFirstShare);
};

/** Moves standby machines to late work, unless some pool has a deficit. */
const planForLateWork = (
	draft: PlanDraft,
	surplus: ReadonlyMap<string, number>,
	late: ReadonlyMap<string, number>,
): void => {
	const {standbyPool} = draft.input;
	const hasDeficit = [...surplus].some(
		([pool, excess]) => getRemainingSurplus(draft, pool, excess) < 0,
	);
	if (hasDeficit) {
		return;
	}

	for (const [pool, excess] of surplus) {
		let needed =
			(late.get(pool) ?? 0) - getRemainingSurplus(draft, pool, excess);
		while (needed > 0 && planMove(draft, standbyPool, pool)) {
			needed -= 1;
		}
	}
};

/** Returns machines to standby that neither the target nor late work needs. */
const shrink = (
	draft: PlanDraft,
	pool: string,
	excess: number,
	late: number,
): void => {
	let unneeded = getRemainingSurplus(draft, pool, excess) - late;
	while (unneeded > 0 && planMove(draft, pool, draft.input.standbyPool)) {
		unneeded -= 1;
	}
};

/**
 * Whether a pool gives up a surplus without delay: its rise is over, and one of
 * another pool is expected.
 */
const isReleasedAtOnce = ({expected}: PoolPlanInput, pool: string): boolean =>
	expected !== undefined &&
	expected.endedRises.has(pool) &&
	[...expected.machines.keys()].some((each) => each !== pool);

/**
 * Lists the moves to cancel, as their pools would be left with less than their
 * present demand needs; an expected rise may not come.
 */
const listCancelled = (
	input: PoolPlanInput,
	targets: ReadonlyMap<string, number>,
): readonly PoolMove[] =>
	listMovesToCancel({
		machines: input.machines,
		underWay: input.underWay,
		revocable: input.revocable ?? new Set(),
		missing: new Map(
			[...targets].map(([pool, target]) => [
				pool,
				target - countPresent(input, pool),
			]),
		),
	});

const withoutMoves = (
	input: PoolPlanInput,
	cancelled: readonly PoolMove[],
): PoolPlanInput => {
	const machines = new Set(cancelled.map(({machine}) => machine));
	return {
		...input,
		underWay: new Map(
			[...input.underWay].filter(([machine]) => !machines.has(machine)),
		),
	};
};

/** Plans moves for the current demand. */
export const planPools = (
	requested: PoolPlanInput,
	state: PoolPlanState,
	cfg: PoolConfig,
	now: number,
): PoolPlan => {
	const {demands, machines, standbyPool, expected} = requested;
	const machineCpu = getMachineCpu(machines);
	const minPerPool = getMinMachines(requested, cfg);
	const ownTargets = new Map(
		demands.map((demand) => [
			demand.pool,
			getTarget(demand, machineCpu, minPerPool, cfg),
		]),
	);
	const targets = new Map(
		[...ownTargets].map(([pool, target]) => [
			pool,
			Math.max(target, expected?.machines.get(pool) ?? 0),
		]),
	);
	const cancelled = listCancelled(requested, ownTargets);
	const input = withoutMoves(requested, cancelled);
	const late = new Map(
		demands.map((demand) => [
			demand.pool,
			getLateMachines(demand, machineCpu, cfg),
		]),
	);
	const counts = new Map(
		demands.map(({pool}) => [pool, countMachines(input, pool)]),
	);
	const surplus = new Map(
		[...targets].map(([pool, target]) => [
			pool,
			(counts.get(pool) ?? 0) - target,
		]),
	);
	const nextState = recordSurplus(state, surplus, now);
	const hasSurplusFor = (pool: string, ms: number): boolean => {
		const surplusSince = nextState.surplusSince.get(pool);
		return (
			surplusSince !== undefined &&
			(isReleasedAtOnce(input, pool) || now - surplusSince >= ms)
		);
	};

	const movableByPool = new Map<string, Movable>();
	const addMovable = (pool: string, left: number) => {
		movableByPool.set(pool, {
			machines: [...listMovable(input, pool, now)],
			left,
		});
	};

	addMovable(standbyPool, Number.POSITIVE_INFINITY);
	for (const [pool, excess] of surplus) {
		if (hasSurplusFor(pool, cfg.yieldAfterMs)) {
			const present = countPresent(input, pool) - (targets.get(pool) ?? 0);
			addMovable(pool, Math.max(0, Math.min(excess, present)));
		}
	}

	const moveLimit = Math.max(
		cfg.maxMoves,
		Math.ceil(machines.length * cfg.maxMoveShare),
	);
	const draft: PlanDraft = {
		input,
		now,
		movableByPool,
		moves: [],
		movesLeft: Math.max(0, moveLimit - input.underWay.size),
	};
	coverExpected(draft, surplus, countFirstMoves(draft));
	const deficits = [...ownTargets]
		.map(([pool, target]) => [pool, (counts.get(pool) ?? 0) - target] as const)
		.filter(([, excess]) => excess < 0)
		.toSorted(([, one], [, two]) => one - two);
	for (const [pool, excess] of deficits) {
		coverDeficit(draft, pool, -getRemainingSurplus(draft, pool, excess));
	}

	coverExpected(draft, surplus, draft.movesLeft);
	planForLateWork(draft, surplus, late);
	for (const [pool, excess] of surplus) {
		if (hasSurplusFor(pool, cfg.shrinkAfterMs)) {
			shrink(draft, pool, excess, late.get(pool) ?? 0);
		}
	}

	return {moves: draft.moves, cancelled, state: nextState, targets};
};
