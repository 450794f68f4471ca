/**
 * How many machines each pool should have and which move. A machine in a pool
 * costs its time whether it works or not, one in the standby pool nothing, and
 * each move has a price and takes a while. So a pool grows as soon as its queue
 * asks for more than it has, and shrinks only after that has not been so for a
 * time, by machines that are idle or whose work ends by itself.
 * Source: docs/design/pools.md.
 */

/** Settings of the pools' sizes. */
export type PoolConfig = {
	/** Room wanted over what runs and waits now, as a factor. */
	readonly headroom: number;
	/**
	 * More room for each unit that waits: what waits shows that demand rises,
	 * and goes on rising while machines are under way.
	 */
	readonly surge: number;
	/**
	 * Room that each pool with queues keeps at the least, in thousandths of a
	 * core: what the first second of a rise asks for, since machines that are
	 * sent for take two.
	 */
	readonly minCpu: number;
	/**
	 * The same as a part of what each pool would have if all machines were
	 * shared out evenly: a rise in a larger fleet asks for more.
	 */
	readonly minShare: number;
	/**
	 * Time within which late work is done with machines that nobody else wants,
	 * in milliseconds: they cost about what late work is still worth.
	 */
	readonly lateDrainMs: number;
	/** Idle machines kept beyond the demand. */
	readonly spareMachines: number;
	/** Time for which a pool must have had too many before it shrinks. */
	readonly shrinkAfterMs: number;
	/** The same where another pool lacks machines that standby cannot give. */
	readonly yieldAfterMs: number;
	/**
	 * Moves that may always be under way at once: each look at a rise should find
	 * some left.
	 */
	readonly maxMoves: number;
	/** The same as a part of all machines; the larger one holds. */
	readonly maxMoveShare: number;
};

/** Settings in force where none are given. */
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
};

/** What late jobs ask for, in thousandths of a core. */
export type LateWork = {
	readonly waitingCpu: number;
	readonly usedCpu: number;
	/** Work that is left, in cpu-milliseconds. */
	readonly work: number;
};

/** Of an owner of an older release, which does not tell. */
export const noLateWork: LateWork = {waitingCpu: 0, usedCpu: 0, work: 0};

/** What a pool's queues ask for, in thousandths of a core. */
export type PoolDemand = {
	readonly pool: string;
	/** Of the tasks that wait and may start. */
	readonly waitingCpu: number;
	/** Of what runs. */
	readonly usedCpu: number;
	/** Of both, what is of jobs that can't meet their objective any more. */
	readonly late: LateWork;
	/** Work handed in lately, as the cores that it keeps busy. */
	readonly arrivingCpu: number;
	/** Machines that its tasks need because they must be apart. */
	readonly minMachines: number;
};

/** A machine that may move. */
export type PoolMachine = {
	readonly id: string;
	readonly pool: string;
	readonly isUp: boolean;
	/** A move to its pool is being carried out. */
	readonly isArriving: boolean;
	readonly cpuMillis: number;
	/** Runs on it; absent in the standby pool. */
	readonly runs: number;
	/** Lasting tasks on it. */
	readonly longRunning: number;
	/** Something else is done with it, such as maintenance. */
	readonly isReserved: boolean;
};

/** What is remembered between two plans. */
export type PoolPlanState = {
	/** Since when each pool has had more than it needs. */
	readonly surplusSince: ReadonlyMap<string, number>;
};

/** A move to begin. */
export type PoolMove = {
	readonly machine: string;
	readonly from: string;
	readonly to: string;
};

/** Moves that are under way, by machine. */
export type MovesUnderWay = ReadonlyMap<string, PoolMove>;

/** What to do, and what to remember. */
export type PoolPlan = {
	readonly moves: readonly PoolMove[];
	readonly state: PoolPlanState;
	/** Machines wanted by pool, for the log. */
	readonly targets: ReadonlyMap<string, number>;
};

/** What a plan is made from. */
export type PoolPlanInput = {
	readonly demands: readonly PoolDemand[];
	readonly machines: readonly PoolMachine[];
	readonly underWay: MovesUnderWay;
	readonly standbyPool: string;
};

/** Nothing remembered. */
export const emptyPoolPlanState: PoolPlanState = {surplusSince: new Map()};

const getMachineCpu = (machines: readonly PoolMachine[]): number =>
	machines.length === 0
		? 1
		: machines.reduce((sum, {cpuMillis}) => sum + cpuMillis, 0) /
			machines.length;

/** Machines that each pool keeps at the least. */
const getLeast = (
	{demands, machines}: PoolPlanInput,
	cfg: PoolConfig,
): number => {
	const evenShare = machines.length / (demands.length + 1);
	return Math.max(
		Math.ceil(cfg.minCpu / getMachineCpu(machines)),
		Math.round(evenShare * cfg.minShare),
	);
};

/** Machines that a demand needs for the jobs that can still be in time. */
const getTarget = (
	demand: PoolDemand,
	machineCpu: number,
	least: number,
	cfg: PoolConfig,
): number => {
	const waiting = demand.waitingCpu - demand.late.waitingCpu;
	const present = demand.usedCpu - demand.late.usedCpu + waiting;
	const wanted =
		Math.max(present, demand.arrivingCpu) * cfg.headroom + waiting * cfg.surge;
	const machines = Math.ceil(wanted / machineCpu) + cfg.spareMachines;
	return Math.max(least, demand.minMachines, machines);
};

/** Machines beyond these that late work may have while nobody else wants them. */
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
 * Whether a machine serves its pool or soon will. One that is down or emptied
 * for maintenance does not: its pool would look full while its queue waits.
 */
const isServing = ({isUp, isArriving, isReserved}: PoolMachine): boolean =>
	(isUp || isArriving) && !isReserved;

/** Machines that serve a pool, and those that are on their way to it. */
const countMachines = (
	{machines, underWay}: PoolPlanInput,
	pool: string,
): number => {
	const staying = machines.filter(
		(each) =>
			each.pool === pool &&
			isServing(each) &&
			underWay.get(each.id)?.from !== pool,
	);
	const coming = [...underWay].filter(
		([id, {to}]) => to === pool && !staying.some((each) => each.id === id),
	);
	return staying.length + coming.length;
};

const noteSurplus = (
	memory: PoolPlanState,
	surplus: ReadonlyMap<string, number>,
	now: number,
): PoolPlanState => {
	const since = new Map<string, number>();
	for (const [pool, machines] of surplus) {
		if (machines > 0) {
			since.set(pool, memory.surplusSince.get(pool) ?? now);
		}
	}

	return {surplusSince: since};
};

/**
 * Machines of a pool that may leave it, the one to go first in front. Those
 * with work leave once that has ended; those with lasting tasks stay.
 */
const listGivable = (
	{machines, underWay}: PoolPlanInput,
	pool: string,
): readonly PoolMachine[] =>
	machines
		.filter(
			(each) =>
				each.pool === pool &&
				each.isUp &&
				!each.isReserved &&
				!underWay.has(each.id) &&
				each.longRunning === 0,
		)
		.toSorted((one, two) => one.runs - two.runs);

type Ledger = {
	readonly situation: PoolPlanInput;
	/** Machines that each pool can give now. */
	readonly givers: Map<string, PoolMachine[]>;
	readonly moves: PoolMove[];
	left: number;
};

const take = (ledger: Ledger, from: string, to: string): boolean => {
	const machine = ledger.givers.get(from)?.shift();
	if (!machine || ledger.left <= 0) {
		return false;
	}

	ledger.left -= 1;
	ledger.moves.push({machine: machine.id, from, to});
	return true;
};

/** Fills what a pool lacks, from standby first, since that costs nobody. */
const fill = (ledger: Ledger, pool: string, lacking: number): void => {
	const {standbyPool} = ledger.situation;
	let left = lacking;
	const sources = [
		standbyPool,
		...[...ledger.givers.keys()].filter(
			(each) => each !== standbyPool && each !== pool,
		),
	];
	for (const from of sources) {
		while (left > 0 && take(ledger, from, pool)) {
			left -= 1;
		}
	}
};

/** Machines that a pool is over its target after the moves planned so far. */
const countOver = ({moves}: Ledger, pool: string, over: number): number => {
	const come = moves.filter(({to}) => to === pool).length;
	const go = moves.filter(({from}) => from === pool).length;
	return over + come - go;
};

/** Gives late work the standby machines that no pool lacks. */
const serveLate = (
	ledger: Ledger,
	surplus: ReadonlyMap<string, number>,
	late: ReadonlyMap<string, number>,
): void => {
	const {standbyPool} = ledger.situation;
	const isLacking = [...surplus].some(
		([pool, over]) => countOver(ledger, pool, over) < 0,
	);
	if (isLacking) {
		return;
	}

	for (const [pool, over] of surplus) {
		let wanted = (late.get(pool) ?? 0) - countOver(ledger, pool, over);
		while (wanted > 0 && take(ledger, standbyPool, pool)) {
			wanted -= 1;
		}
	}
};

/** Gives machines back that neither the target nor late work holds. */
const shrink = (
	ledger: Ledger,
	pool: string,
	over: number,
	late: number,
): void => {
	let left = countOver(ledger, pool, over) - late;
	while (left > 0 && take(ledger, pool, ledger.situation.standbyPool)) {
		left -= 1;
	}
};

/** Plans moves for the demand of this moment. */
export const planPools = (
	situation: PoolPlanInput,
	memory: PoolPlanState,
	cfg: PoolConfig,
	now: number,
): PoolPlan => {
	const {demands, machines, underWay, standbyPool} = situation;
	const machineCpu = getMachineCpu(machines);
	const least = getLeast(situation, cfg);
	const targets = new Map(
		demands.map((demand) => [
			demand.pool,
			getTarget(demand, machineCpu, least, cfg),
		]),
	);
	const late = new Map(
		demands.map((demand) => [
			demand.pool,
			getLateMachines(demand, machineCpu, cfg),
		]),
	);
	const surplus = new Map(
		[...targets].map(([pool, target]) => [
			pool,
			countMachines(situation, pool) - target,
		]),
	);
	const noted = noteSurplus(memory, surplus, now);
	const hasSurplusFor = (pool: string, ms: number): boolean => {
		const since = noted.surplusSince.get(pool);
		return since !== undefined && now - since >= ms;
	};

	const givers = new Map([
		[standbyPool, [...listGivable(situation, standbyPool)]],
	]);
	for (const [pool, over] of surplus) {
		if (hasSurplusFor(pool, cfg.yieldAfterMs)) {
			givers.set(pool, listGivable(situation, pool).slice(0, over));
		}
	}

	const mostMoves = Math.max(
		cfg.maxMoves,
		Math.ceil(machines.length * cfg.maxMoveShare),
	);
	const ledger: Ledger = {
		situation,
		givers,
		moves: [],
		left: Math.max(0, mostMoves - underWay.size),
	};
	const lacking = [...surplus]
		.filter(([, over]) => over < 0)
		.toSorted(([, one], [, two]) => one - two);
	for (const [pool, over] of lacking) {
		fill(ledger, pool, -over);
	}

	serveLate(ledger, surplus, late);
	for (const [pool, over] of surplus) {
		if (hasSurplusFor(pool, cfg.shrinkAfterMs)) {
			shrink(ledger, pool, over, late.get(pool) ?? 0);
		}
	}

	return {moves: ledger.moves, state: noted, targets};
};
