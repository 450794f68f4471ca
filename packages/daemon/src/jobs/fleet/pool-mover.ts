/** Moves machines between pools. */
import {fleet} from '@gullstand/core';
import type {Machine, MachineAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {DemandForecaster} from './demand-forecaster.js';
import {
	evacuateMachine,
	fleetPeriods,
	getClearanceAgeMs,
	getMachineLoad,
	isStillClear,
	type Clearance,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';

export type PoolMover = {
	/** Plans moves and advances those in progress. */
	readonly runRound: (view: FleetView) => Promise<void>;
};

/** Dependencies of the mover beside the context. */
export type PoolMoverDeps = {
	readonly cfg: fleet.PoolConfig;
	/** Pool whose machines are switched off; `undefined` if there is none. */
	readonly getStandbyPool: () => string | undefined;
	/** Whether a machine is reserved for other work, such as a wave. */
	readonly isReserved: (machine: string) => boolean;
	readonly forecaster: DemandForecaster;
};

/** Interval between log lines about all pools, in milliseconds. */
const logIntervalMs = 1000;

type Phase = 'emptying' | 'ordered';

type MoveInProgress = {
	readonly move: fleet.PoolMove;
	readonly since: number;
	phase: Phase;
	/** Absent if something ran there at the last request to the pool's owner. */
	clearance: Clearance | undefined;
};

export const createPoolMover = (
	context: FleetContext,
	deps: PoolMoverDeps,
): PoolMover => {
	const {clock, logger, held} = context;
	const inProgress = new Map<string, MoveInProgress>();
	/** Pairs of machine and pool that the platform rejected as invalid. */
	const rejectedMoves = new Set<string>();
	let planState = fleet.emptyPoolPlanState;
	let loggedAt = Number.NEGATIVE_INFINITY;

	const end = (move: fleet.PoolMove, outcome: string) => {
		inProgress.delete(move.machine);
		logger.info('move ended', {...move, outcome});
	};

	const applyAnswer = (entry: MoveInProgress, answer: MachineAnswer) => {
		const {move} = entry;
		match(answer)
			.with('done', 'no-answer', () => {
				// A command without an answer may still take effect; the list shows it.
				entry.phase = 'ordered';
			})
			.with('busy', 'unavailable', 'not-in-wave', () => {
				end(move, answer);
			})
			.with('invalid', () => {
				rejectedMoves.add(`${move.machine} ${move.to}`);
				end(move, answer);
			})
			.with('fenced', () => {
				context.loseShard('the platform has seen a higher fencing token');
			})
			.exhaustive();
	};

	const sendMove = async (entry: MoveInProgress) => {
		const {move, clearance} = entry;
		const clearMs = clearance && getClearanceAgeMs(context, clearance);
		const answer = await context.machines.move(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: move.machine,
				pool: move.to,
			},
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('move command sent', {...move, clearMs, outcome: answer});
		applyAnswer(entry, answer);
	};

	const advance = async (
		entry: MoveInProgress,
		machine: Machine | undefined,
	) => {
		const {move, since, phase} = entry;
		if (!machine) {
			end(move, 'machine no longer listed');
			return;
		}

		const ageMs = clock.now() - since;
		if (phase === 'ordered') {
			const hasArrived = machine.pool === move.to && machine.state === 'up';
			if (hasArrived || ageMs > fleetPeriods.moveTimeoutMs) {
				end(move, hasArrived ? 'done' : 'not arrived in time');
			}

			return;
		}

		if (
			machine.state !== 'up' ||
			ageMs > fleetPeriods.moveEvacuationTimeoutMs
		) {
			end(move, 'not evacuated in time');
			return;
		}

		entry.clearance = await evacuateMachine(
			context,
			machine,
			fleetPeriods.moveEvacuationGraceMs,
		);
	};

	/** Sends a move unless its clearance has run out in the meantime. */
	const sendIfClear = async (entry: MoveInProgress) => {
		const {move, clearance} = entry;
		if (clearance && isStillClear(context, clearance)) {
			await sendMove(entry);
			return;
		}

		logger.warn('move command not sent', {
			...move,
			reason: 'the clearance has run out',
			clearMs: clearance && getClearanceAgeMs(context, clearance),
		});
		entry.clearance = undefined;
	};

	/** Records all evacuated machines in one write, then sends their moves. */
	const moveEvacuated = async () => {
		const clear = [...inProgress.values()].filter(
			({phase, clearance, move}) =>
				phase === 'emptying' &&
				clearance !== undefined &&
				context.commandLog.mayCommand(move.machine),
		);
		const machines = clear.map(({move}) => move.machine);
		const mayCommand = machines.length > 0 && context.mayCommand();
		if (mayCommand && (await context.commandLog.record(machines))) {
			await Promise.all(clear.map(async (entry) => sendIfClear(entry)));
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

	/** Logs demand and capacity of all pools for operators. */
	const logPools = (
		demands: readonly fleet.PoolDemand[],
		targets: ReadonlyMap<string, number>,
		expected: fleet.ExpectedDemand | undefined,
		view: FleetView,
	) => {
		if (clock.now() - loggedAt < logIntervalMs) {
			return;
		}

		loggedAt = clock.now();
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
					expected: expected?.machines.get(pool) ?? 0,
					asked: toMachines(usedCpu + waitingCpu),
					askedLate: toMachines(late.usedCpu + late.waitingCpu),
				},
			] as const;
		});
		logger.info('pools', {pools: Object.fromEntries(pools)});
	};

	const plan = (view: FleetView, standbyPool: string) => {
		const demands = toDemands(view);
		const machines = [...view.machines.values()].map((each) =>
			toPoolMachine(view, each),
		);
		const expected = deps.cfg.usesForecast
			? deps.forecaster.observe({demands, machines})
			: undefined;
		const planned = fleet.planPools(
			{
				demands,
				machines,
				underWay: new Map([...inProgress].map(([id, {move}]) => [id, move])),
				standbyPool,
				expected,
			},
			planState,
			deps.cfg,
			clock.now(),
		);
		planState = planned.state;
		logPools(demands, planned.targets, expected, view);
		for (const move of planned.moves) {
			if (!rejectedMoves.has(`${move.machine} ${move.to}`)) {
				const since = clock.now();
				inProgress.set(move.machine, {
					move,
					since,
					phase: 'emptying',
					clearance: undefined,
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
				[...inProgress.values()].map(async (entry) =>
					advance(entry, view.machines.get(entry.move.machine)),
				),
			);
			await moveEvacuated();
		},
	};
};
