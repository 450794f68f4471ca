/** Moves machines between pools. */
import {fleet, scheduler} from '@gullstand/core';
import type {Machine, MachineAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {DemandForecaster} from './demand-forecaster.js';
import {createEmptyPools} from './empty-pools.js';
import {
	evacuateMachine,
	fleetPeriods,
	getClearance,
	getClearanceAgeMs,
	getMachineLoad,
	isStillClear,
	releaseMachine,
	type Clearance,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';
import {moveClaimant, type MachineClaims} from './machine-claims.js';

export type PoolMover = {
	/** Plans moves and advances those in progress. */
	readonly runRound: (view: FleetView) => Promise<void>;
	/** Ends the moves that are not commanded. */
	readonly releaseHolds: () => void;
};

/** Dependencies of the mover beside the context. */
export type PoolMoverDeps = {
	readonly cfg: fleet.PoolConfig;
	/** Pool whose machines are switched off; `undefined` if there is none. */
	readonly getStandbyPool: () => string | undefined;
	/** Lists the services that have an owner. */
	readonly listServices: () => readonly string[];
	/** Whether a machine is reserved for other work, such as a wave. */
	readonly isReserved: (machine: string) => boolean;
	readonly forecaster: DemandForecaster;
	readonly claims: MachineClaims;
};

/** Interval between log lines about all pools, in milliseconds. */
const logIntervalMs = 1000;

type Phase =
	| 'emptying'
	/** Commands were sent; each may have been carried out, or may yet be. */
	| 'unanswered'
	/** The platform accepted the move. */
	| 'ordered';

type MoveInProgress = {
	readonly move: fleet.PoolMove;
	readonly since: number;
	phase: Phase;
	/** Commands that were sent. */
	attempts: number;
	/** When reads of the list began to leave the machine out, if they do. */
	missingSince: number | undefined;
	/** As last listed. */
	machine: Machine | undefined;
	/** Absent if something ran there at the last request to the pool's owner. */
	clearance: Clearance | undefined;
};

/** Outcome of a move whose machine was not emptied in time. */
const lateOutcome = 'not evacuated in time';

/** How long an executor may take to register, in milliseconds. */
const maxRegistrationMs = 5000;

/** Whether a machine's executor has left its owner's calls unanswered for long. */
const isUnresponsive = (
	{loads}: FleetView,
	{pool, executorId = ''}: Machine,
): boolean =>
	(loads.get(pool)?.silent[executorId] ?? 0) >= scheduler.suspectAfterMs;

export const createPoolMover = (
	context: FleetContext,
	deps: PoolMoverDeps,
): PoolMover => {
	const {clock, logger, held} = context;
	const {claims} = deps;
	const inProgress = new Map<string, MoveInProgress>();
	const emptyPools = createEmptyPools(context, deps.listServices);
	/** Since when owners do not know executors of machines that are up, by id. */
	let unknownSince: ReadonlyMap<string, number> = new Map();
	let rejected: fleet.RejectedMoves = new Map();
	let failed: fleet.FailedEvacuations = new Map();
	let planState = fleet.emptyPoolPlanState;
	let loggedAt = Number.NEGATIVE_INFINITY;

	const end = (move: fleet.PoolMove, outcome: string) => {
		inProgress.delete(move.machine);
		claims.release(move.machine, moveClaimant);
		logger.info('move ended', {...move, outcome});
	};

	/** Plans no move of a machine for some time. */
	const pause = ({machine}: fleet.PoolMove) => {
		failed = fleet.recordFailedEvacuation(failed, machine, clock.now());
	};

	/** Ends a move without a command that may still be carried out. */
	const abandon = ({move, machine}: MoveInProgress, outcome: string) => {
		end(move, outcome);
		if (machine) {
			void releaseMachine(context, machine);
		}
	};

	const applyAnswer = (entry: MoveInProgress, answer: MachineAnswer) => {
		const {move} = entry;
		match(answer)
			.with('done', () => {
				entry.phase = 'ordered';
			})
			.with('no-answer', () => {
				entry.phase = 'unanswered';
			})
			.with('busy', 'unavailable', 'not-in-wave', () => {
				// An earlier command without an answer may still be carried out.
				if (entry.phase === 'emptying') {
					abandon(entry, answer);
				}
			})
			.with('invalid', () => {
				rejected = fleet.recordRejectedMove(rejected, move, clock.now());
				if (entry.phase === 'emptying') {
					abandon(entry, answer);
				} else {
					end(move, answer);
				}
			})
			.with('fenced', () => {
				context.loseShard('the platform has seen a higher fencing token');
			})
			.exhaustive();
	};

	const sendMove = async (entry: MoveInProgress) => {
		const {move, clearance} = entry;
		const clearMs = clearance && getClearanceAgeMs(context, clearance);
		entry.attempts += 1;
		claims.recordCommand(move.machine, moveClaimant);
		const answer = await context.machines.move(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: move.machine,
				pool: move.to,
			},
			fleetPeriods.platformTimeoutMs,
		);
		claims.recordCommand(move.machine, moveClaimant);
		logger.info('move command sent', {
			...move,
			attempt: entry.attempts,
			clearMs,
			outcome: answer,
		});
		applyAnswer(entry, answer);
	};

	/** Returns how a move ends now, or `undefined` if it goes on. */
	const findEnd = (
		{move, since, phase, missingSince}: MoveInProgress,
		machine: Machine | undefined,
	): string | undefined => {
		const now = clock.now();
		const ageMs = now - since;
		if (!machine) {
			const missingMs = now - (missingSince ?? now);
			const isGone =
				phase === 'emptying' || missingMs >= fleetPeriods.moveMissingMs;
			return isGone ? 'machine no longer listed' : undefined;
		}

		if (phase === 'emptying') {
			const isInTime = ageMs <= fleetPeriods.moveEvacuationTimeoutMs;
			return machine.state === 'up' && isInTime ? undefined : lateOutcome;
		}

		if (machine.pool === move.to && machine.state === 'up') {
			return 'done';
		}

		return ageMs > fleetPeriods.moveTimeoutMs
			? 'not arrived in time'
			: undefined;
	};

	const isOwnerSilent = ({loads}: FleetView, {pool}: Machine): boolean =>
		context.hasOwner(pool) && !loads.has(pool);

	/** Ends a move, or renews its evacuation until the platform accepts it. */
	const advance = async (view: FleetView, entry: MoveInProgress) => {
		const machine = view.machines.get(entry.move.machine);
		entry.clearance = undefined;
		entry.missingSince = machine
			? undefined
			: (entry.missingSince ?? clock.now());
		entry.machine = machine ?? entry.machine;
		const outcome = findEnd(entry, machine);
		if (outcome !== undefined) {
			if (outcome === lateOutcome) {
				pause(entry.move);
			}

			if (entry.phase === 'emptying') {
				abandon(entry, outcome);
			} else {
				end(entry.move, outcome);
			}

			return;
		}

		if (machine?.state !== 'up' || entry.phase === 'ordered') {
			return;
		}

		const evacuation = evacuateMachine(context, machine, {
			claimant: moveClaimant,
			patienceMs: fleetPeriods.moveEvacuationGraceMs,
			urgency:
				entry.phase === 'emptying'
					? scheduler.evacuationUrgencies.normal
					: scheduler.evacuationUrgencies.commanded,
		});
		// The wait for an owner that does not answer would outdate the view of
		// all other machines, none of which would be commanded.
		if (isOwnerSilent(view, machine)) {
			void evacuation;
			return;
		}

		const answer = await evacuation;
		entry.clearance = getClearance(answer);
		if (answer.kind === 'deferred' && entry.phase === 'emptying') {
			pause(entry.move);
			abandon(entry, 'needed by its service');
		}
	};

	/** Ends the moves that were not commanded and whose machine a wave has. */
	const dropReserved = () => {
		for (const {move, phase} of inProgress.values()) {
			if (phase === 'emptying' && deps.isReserved(move.machine)) {
				end(move, 'reserved for other work');
			}
		}
	};

	const isClearFor = ({move, clearance}: MoveInProgress): boolean => {
		const isClear = clearance && isStillClear(context, clearance);
		if (!isClear) {
			logger.warn('move command not sent', {
				...move,
				reason: 'the clearance has run out',
				clearMs: clearance && getClearanceAgeMs(context, clearance),
			});
		}

		return isClear ?? false;
	};

	/**
	 * Records all evacuated machines in one write, then sends their moves, as far
	 * as their clearance holds after that.
	 */
	const moveEvacuated = async ({requestedAt}: FleetView) => {
		// A machine may have crashed since, and its next executor run tasks.
		if (clock.now() - requestedAt > fleetPeriods.maxViewAgeMs) {
			return;
		}

		const allClear = [...inProgress.values()].filter(
			({clearance, move}) =>
				clearance !== undefined &&
				context.commandLog.mayCommand(move.machine) &&
				!claims.isTaken(move.machine, moveClaimant, requestedAt),
		);
		const machines = context.commandLog.listFitting(
			allClear.map(({move}) => move.machine),
		);
		const clear = allClear.filter(({move}) => machines.includes(move.machine));
		const mayCommand =
			machines.length > 0 &&
			context.mayCommand() &&
			(await context.commandLog.record(machines)) &&
			context.mayCommand();
		if (mayCommand) {
			const stillClear = clear.filter((entry) => isClearFor(entry));
			for (const {move} of stillClear) {
				claims.claim(move.machine, moveClaimant);
			}

			await Promise.all(stillClear.map(async (entry) => sendMove(entry)));
		}
	};

	/** An executor that its owner does not know may not have registered yet. */
	const isUnknown = (view: FleetView, machine: Machine): boolean =>
		machine.state === 'up' &&
		view.loads.has(machine.pool) &&
		getMachineLoad(view, machine) === undefined;

	const noteUnknown = (view: FleetView) => {
		unknownSince = new Map(
			[...view.machines.values()].flatMap((machine) =>
				isUnknown(view, machine)
					? [[machine.id, unknownSince.get(machine.id) ?? clock.now()]]
					: [],
			),
		);
	};

	const toPoolMachine = (
		view: FleetView,
		machine: Machine,
	): fleet.PoolMachine => {
		const load = getMachineLoad(view, machine);
		const isUp = machine.state === 'up';
		const since = unknownSince.get(machine.id);
		const isRegistering =
			since !== undefined && clock.now() - since < maxRegistrationMs;
		return {
			id: machine.id,
			pool: machine.pool,
			isUp: isUp && since === undefined && !isUnresponsive(view, machine),
			isArriving: machine.state === 'moving' || isRegistering,
			cpuMillis: machine.capacity.cpuMillis,
			runs: load?.runs ?? 0,
			longRunning: load?.lasting ?? 0,
			isReserved: deps.isReserved(machine.id),
		};
	};

	const toDemands = (view: FleetView): readonly fleet.PoolDemand[] =>
		[...view.loads, ...emptyPools.listLoads(view)].map(([pool, load]) => ({
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
			const sample = own.length > 0 ? own : machines;
			const machineCpu =
				sample.reduce((sum, {capacity}) => sum + capacity.cpuMillis, 0) /
				Math.max(1, sample.length);
			const toMachines = (cpu: number) =>
				Math.round((10 * cpu) / Math.max(1, machineCpu)) / 10;
			return [
				pool,
				{
					held: own.filter(({state}) => state === 'up').length,
					inWaves: own.filter(({id}) => deps.isReserved(id)).length,
					leaving: own.filter(({id}) => inProgress.get(id)?.move.from === pool)
						.length,
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
		noteUnknown(view);
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
				revocable: new Set(
					[...inProgress].flatMap(([id, {phase}]) =>
						phase === 'emptying' ? [id] : [],
					),
				),
				standbyPool,
				expected,
				rejected,
				failed,
			},
			planState,
			deps.cfg,
			clock.now(),
		);
		planState = planned.state;
		logPools(demands, planned.targets, expected, view);
		for (const {machine} of planned.cancelled) {
			const entry = inProgress.get(machine);
			if (entry) {
				abandon(entry, 'needed by its pool again');
			}
		}

		for (const move of planned.moves) {
			inProgress.set(move.machine, {
				move,
				since: clock.now(),
				phase: 'emptying',
				attempts: 0,
				missingSince: undefined,
				machine: undefined,
				clearance: undefined,
			});
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
		releaseHolds() {
			dropReserved();
			for (const entry of inProgress.values()) {
				if (entry.phase === 'emptying') {
					abandon(entry, 'no command can be sent');
				}
			}
		},
		async runRound(view) {
			dropReserved();
			const standbyPool = deps.getStandbyPool();
			if (standbyPool !== undefined && context.mayCommand()) {
				plan(view, standbyPool);
			}

			await Promise.all(
				[...inProgress.values()].map(async (entry) => advance(view, entry)),
			);
			await moveEvacuated(view);
			claims.setLeaving(inProgress.keys());
			if (standbyPool !== undefined && context.mayCommand()) {
				await emptyPools.refresh(view);
			}
		},
	};
};
