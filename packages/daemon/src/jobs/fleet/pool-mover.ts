/** Moves machines between pools, a round at a time. */
import {fleet} from '@gullstand/core';
import type {Machine, MachineAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import {
	evacuateMachine,
	fleetPeriods,
	getMachineLoad,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';

/** Moves under way. */
export type PoolMover = {
	readonly runRound: (view: FleetView) => Promise<void>;
};

/** What the moves need beside the context. */
export type PoolMoverDeps = {
	readonly cfg: fleet.PoolConfig;
	/** The pool whose machines are off; absent where there is none. */
	readonly getStandbyPool: () => string | undefined;
	/** Whether something else is done with a machine. */
	readonly isReserved: (machine: string) => boolean;
};

/** Between two lines about all pools, in milliseconds. */
const tellMs = 1000;

type Phase = 'emptying' | 'ordered';

type MoveUnderWay = {
	readonly move: fleet.PoolMove;
	readonly since: number;
	phase: Phase;
	/** Nothing ran there when its owner was last asked. */
	isClear: boolean;
};

/** Creates the work on moves. */
export const createPoolMover = (
	context: FleetContext,
	deps: PoolMoverDeps,
): PoolMover => {
	const {clock, logger, held} = context;
	const underWay = new Map<string, MoveUnderWay>();
	/** Pools that the platform says a machine cannot join. */
	const impossible = new Set<string>();
	let memory = fleet.emptyPoolPlanState;
	let toldAt = Number.NEGATIVE_INFINITY;

	const end = (move: fleet.PoolMove, outcome: string) => {
		underWay.delete(move.machine);
		logger.info('move ended', {...move, outcome});
	};

	const takeAnswer = (entry: MoveUnderWay, answer: MachineAnswer) => {
		const {move} = entry;
		match(answer)
			.with('done', 'no-answer', () => {
				// Without an answer it may be carried out yet; the list tells.
				entry.phase = 'ordered';
			})
			.with('busy', 'unavailable', 'not-in-wave', () => {
				end(move, answer);
			})
			.with('invalid', () => {
				impossible.add(`${move.machine} ${move.to}`);
				end(move, answer);
			})
			.with('fenced', () => {
				context.loseShard('the platform has seen a higher fencing token');
			})
			.exhaustive();
	};

	const order = async (entry: MoveUnderWay) => {
		const {move} = entry;
		const answer = await context.machines.move(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: move.machine,
				pool: move.to,
			},
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('move ordered', {...move, outcome: answer});
		takeAnswer(entry, answer);
	};

	const carryOn = async (entry: MoveUnderWay, machine: Machine | undefined) => {
		const {move, since, phase} = entry;
		if (!machine) {
			end(move, 'the machine is gone');
			return;
		}

		const ageMs = clock.now() - since;
		if (phase === 'ordered') {
			const isThere = machine.pool === move.to && machine.state === 'up';
			if (isThere || ageMs > fleetPeriods.moveTimeoutMs) {
				end(move, isThere ? 'done' : 'not seen');
			}

			return;
		}

		if (
			machine.state !== 'up' ||
			ageMs > fleetPeriods.moveEvacuationTimeoutMs
		) {
			end(move, 'not empty in time');
			return;
		}

		entry.isClear = await evacuateMachine(
			context,
			machine,
			fleetPeriods.moveEvacuationGraceMs,
		);
	};

	/** Notes all machines that are empty in one write, then orders them. */
	const orderClear = async () => {
		const clear = [...underWay.values()].filter(
			({phase, isClear, move}) =>
				phase === 'emptying' &&
				isClear &&
				context.commandLog.mayCommand(move.machine),
		);
		const machines = clear.map(({move}) => move.machine);
		const mayOrder = machines.length > 0 && context.mayCommand();
		if (mayOrder && (await context.commandLog.record(machines))) {
			await Promise.all(clear.map(async (entry) => order(entry)));
		}
	};

	const toPoolMachine = (
		view: FleetView,
		machine: Machine,
	): fleet.PoolMachine => {
		const load = getMachineLoad(view, machine);
		return {
			id: machine.id,
			pool: machine.pool,
			isUp: machine.state === 'up',
			isArriving: machine.state === 'moving',
			cpuMillis: machine.capacity.cpuMillis,
			runs: load?.runs ?? 0,
			longRunning: load?.lasting ?? 0,
			isReserved: deps.isReserved(machine.id),
		};
	};

	const toDemands = ({loads}: FleetView): readonly fleet.PoolDemand[] =>
		[...loads].map(([pool, load]) => ({
			pool,
			waitingCpu: load.waitingCpu,
			usedCpu: load.usedCpu,
			late: load.late ?? fleet.noLateWork,
			arrivingCpu: load.arrivingCpu,
			minMachines: load.minExecutors,
		}));

	/** Told each second, so that on-call sees what a pool lacked when. */
	const tellPools = (
		demands: readonly fleet.PoolDemand[],
		targets: ReadonlyMap<string, number>,
		view: FleetView,
	) => {
		if (clock.now() - toldAt < tellMs) {
			return;
		}

		toldAt = clock.now();
		const machines = [...view.machines.values()];
		const pools = demands.map(({pool, usedCpu, waitingCpu, late}) => {
			const own = machines.filter((each) => each.pool === pool);
			const machineCpu =
				own.reduce((sum, {capacity}) => sum + capacity.cpuMillis, 0) /
				Math.max(1, own.length);
			const toMachines = (cpu: number) =>
				Math.round((10 * cpu) / Math.max(1, machineCpu)) / 10;
			return [
				pool,
				{
					held: own.filter(({state}) => state === 'up').length,
					target: targets.get(pool),
					asked: toMachines(usedCpu + waitingCpu),
					askedLate: toMachines(late.usedCpu + late.waitingCpu),
				},
			] as const;
		});
		logger.info('pools', {pools: Object.fromEntries(pools)});
	};

	const plan = (view: FleetView, standbyPool: string) => {
		const demands = toDemands(view);
		const planned = fleet.planPools(
			{
				demands,
				machines: [...view.machines.values()].map((each) =>
					toPoolMachine(view, each),
				),
				underWay: new Map([...underWay].map(([id, {move}]) => [id, move])),
				standbyPool,
			},
			memory,
			deps.cfg,
			clock.now(),
		);
		memory = planned.state;
		tellPools(demands, planned.targets, view);
		for (const move of planned.moves) {
			if (!impossible.has(`${move.machine} ${move.to}`)) {
				const since = clock.now();
				underWay.set(move.machine, {
					move,
					since,
					phase: 'emptying',
					isClear: false,
				});
			}
		}

		if (planned.moves.length > 0) {
			logger.info('moves planned', {
				moves: planned.moves.map(({machine, to}) => `${machine} to ${to}`),
				targets: Object.fromEntries(planned.targets),
				demands,
			});
		}
	};

	return {
		async runRound(view) {
			const standbyPool = deps.getStandbyPool();
			if (standbyPool !== undefined && context.mayCommand()) {
				plan(view, standbyPool);
			}

			await Promise.all(
				[...underWay.values()].map(async (entry) =>
					carryOn(entry, view.machines.get(entry.move.machine)),
				),
			);
			await orderClear();
		},
	};
};
