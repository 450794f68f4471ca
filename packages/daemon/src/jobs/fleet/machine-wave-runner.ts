/** Carries maintenance waves on, a round at a time. */
import {fleet} from '@gullstand/core';
import type {MachineAnswer, WaveRequest} from '@gullstand/ports';
import {match} from 'ts-pattern';
import {
	evacuateMachine,
	fleetPeriods,
	getMachineLoad,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';
import {readWaves, storeWave} from './wave-rows.js';

/** Writes for operators how far a wave is. */
export type WaveStatusPort = {
	readonly write: (
		wave: string,
		state: 'running' | 'completed',
		timeoutMs: number,
	) => Promise<boolean>;
};

/** Waves under way. */
export type MachineWaveRunner = {
	/** Reads the waves that were begun; false if the store does not answer. */
	readonly load: () => Promise<boolean>;
	/** Takes in waves that were asked for since. */
	readonly acceptRequests: (requests: readonly WaveRequest[]) => Promise<void>;
	readonly runRound: (view: FleetView) => Promise<void>;
	/** Whether a machine is being emptied or maintained for a wave. */
	readonly isReserved: (machine: string) => boolean;
};

const toWaveMachines = ({
	machines,
}: FleetView): ReadonlyMap<string, fleet.WaveMachine> =>
	new Map(
		[...machines].map(([id, machine]) => [
			id,
			{
				id,
				pool: machine.pool,
				isUp: machine.state === 'up',
				executorId: machine.executorId,
			},
		]),
	);

/**
 * Of a machine whose owner did not answer: an owner that has much to do is
 * the one that is late, so its machines are not taken for idle ones.
 */
const unknownLoad: fleet.MachineLoad = {
	runs: Number.POSITIVE_INFINITY,
	lasting: 0,
	usedCpu: 0,
};

/** Creates the work on waves. */
export const createMachineWaveRunner = (
	context: FleetContext,
	status: WaveStatusPort,
): MachineWaveRunner => {
	const {held, store, clock, logger} = context;
	const waves = new Map<string, fleet.MachineWave>();
	const emptying = new Set<string>();

	const storeNow = async (wave: fleet.MachineWave): Promise<boolean> => {
		const outcome = await storeWave(store, held, wave);
		if (outcome === 'lost-shard') {
			context.loseShard('the lease row has changed');
		}

		if (outcome !== 'stored') {
			logger.warn('wave not stored', {wave: wave.request.id, outcome});
		}

		return outcome === 'stored';
	};

	const takeAnswer = (
		wave: fleet.MachineWave,
		id: string,
		answer: MachineAnswer,
	): fleet.MachineWave =>
		match(answer)
			.returnType<fleet.MachineWave>()
			.with('done', () => fleet.recordCommandAccepted(wave, id))
			.with('busy', 'unavailable', () => fleet.undoMaintenanceStart(wave, id))
			.with('not-in-wave', 'invalid', () => fleet.skipMachine(wave, id))
			.with('fenced', () => {
				context.loseShard('the platform has seen a higher fencing token');
				return wave;
			})
			// It may be carried out yet: it counts as away until it is back.
			.with('no-answer', () => wave)
			.exhaustive();

	const order = async (
		wave: fleet.MachineWave,
		machine: fleet.WaveMachine,
	): Promise<MachineAnswer> => {
		const answer = await context.machines.maintain(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: machine.id,
				wave: wave.request.id,
			},
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('maintenance ordered', {
			wave: wave.request.id,
			machine: machine.id,
			pool: machine.pool,
			executor: machine.executorId,
			outcome: answer,
		});
		return answer;
	};

	/** Orders many at once: a large wave must not hold up the round. */
	const orderAll = async (
		wave: fleet.MachineWave,
		machines: readonly fleet.WaveMachine[],
	): Promise<fleet.MachineWave> => {
		const answers = await Promise.all(
			machines.map(async (machine) => order(wave, machine)),
		);
		let current = wave;
		for (const [index, answer] of answers.entries()) {
			current = takeAnswer(current, machines[index]?.id ?? '', answer);
		}

		return current;
	};

	/** Notes orders; false unless they may be given after that, too. */
	const noteOrders = async (
		machines: readonly fleet.WaveMachine[],
	): Promise<boolean> =>
		machines.length > 0 &&
		context.mayCommand() &&
		(await context.commandLog.record(machines.map(({id}) => id))) &&
		context.mayCommand();

	const begin = async (
		wave: fleet.MachineWave,
		machines: readonly fleet.WaveMachine[],
	): Promise<fleet.MachineWave> => {
		if (machines.length === 0) {
			return wave;
		}

		let begun = wave;
		for (const machine of machines) {
			begun = fleet.recordMaintenanceStart(begun, machine, clock.epochNow());
		}

		if (!(await storeNow(begun)) || !(await noteOrders(machines))) {
			return wave;
		}

		for (const {id} of machines) {
			emptying.delete(id);
		}

		return orderAll(begun, machines);
	};

	/** Orders again what had no answer; done twice it changes nothing. */
	const orderUnanswered = async (
		wave: fleet.MachineWave,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<fleet.MachineWave> => {
		const open = Object.entries(wave.begun).flatMap(([id, entry]) => {
			const machine = machines.get(id);
			const isStillThere =
				machine?.isUp && machine.executorId === entry.executorId;
			const isOpen = !entry.isAnswered && !entry.isBack;
			return isOpen && isStillThere && context.commandLog.mayCommand(id)
				? [machine]
				: [];
		});
		return (await noteOrders(open)) ? orderAll(wave, open) : wave;
	};

	const getLoad = (
		view: FleetView,
		machine: fleet.WaveMachine,
	): fleet.MachineLoad | undefined =>
		context.hasOwner(machine.pool) && !view.loads.has(machine.pool)
			? unknownLoad
			: getMachineLoad(view, machine);

	const emptyAndBegin = async (
		wave: fleet.MachineWave,
		view: FleetView,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<fleet.MachineWave> => {
		const step = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating: emptying,
				getLoad: (machine) => getLoad(view, machine),
				turnaroundMs: fleetPeriods.machineTurnaroundMs,
			},
			clock.epochNow(),
		);
		const isPressed = fleet.isShortOfTime(
			wave,
			machines,
			fleetPeriods.machineTurnaroundMs,
			clock.epochNow(),
		);
		const patienceMs = isPressed ? 0 : fleetPeriods.evacuationGraceMs;
		const leaving = step.evacuate.flatMap((id) => machines.get(id) ?? []);
		for (const {id} of leaving) {
			emptying.add(id);
		}

		const areClear = await Promise.all(
			leaving.map(async (machine) =>
				evacuateMachine(context, machine, patienceMs),
			),
		);
		const clear = leaving.filter(
			({id}, index) => areClear[index] && context.commandLog.mayCommand(id),
		);
		return begin(wave, clear.slice(0, step.maxStarts));
	};

	const complete = async (wave: fleet.MachineWave) => {
		const {id, machines} = wave.request;
		const isTold = await status.write(
			id,
			'completed',
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('wave completed', {
			wave: id,
			machines: machines.length,
			tookMs: Math.round(clock.epochNow() - wave.seenAtEpochMs),
			isTold,
		});
		if (isTold) {
			const completed = {...wave, isCompleted: true};
			waves.set(id, completed);
			await storeNow(completed);
		}
	};

	const runWave = async (wave: fleet.MachineWave, view: FleetView) => {
		const machines = toWaveMachines(view);
		let current = fleet.recordReturnedMachines(
			wave,
			machines,
			clock.epochNow(),
		);
		current = await orderUnanswered(current, machines);
		current = await emptyAndBegin(current, view, machines);
		waves.set(current.request.id, current);
		const isCompleted = fleet.isWaveCompleted(current, machines);
		if (isCompleted && !context.isStopped()) {
			await complete(current);
		}
	};

	const noteRequest = async (request: WaveRequest) => {
		const wave = fleet.createMachineWave(request, clock.epochNow());
		const isTold = await status.write(
			request.id,
			'running',
			fleetPeriods.platformTimeoutMs,
		);
		if (isTold && (await storeNow(wave))) {
			waves.set(request.id, wave);
			const {id, machines, durationMs, maxAway} = request;
			logger.info('wave begun', {
				wave: id,
				machines: machines.length,
				durationMs,
				maxAway,
			});
		}
	};

	return {
		async load() {
			const read = await readWaves(store, logger);
			for (const wave of read ?? []) {
				waves.set(wave.request.id, wave);
			}

			return read !== undefined;
		},
		async acceptRequests(requests) {
			for (const request of requests) {
				if (!waves.has(request.id)) {
					await noteRequest(request);
				}
			}
		},
		async runRound(view) {
			for (const wave of waves.values()) {
				if (!wave.isCompleted && !context.isStopped()) {
					await runWave(wave, view);
				}
			}
		},
		isReserved: (machine) =>
			emptying.has(machine) ||
			[...waves.values()].some(
				({begun}) => begun[machine] && !begun[machine].isBack,
			),
	};
};
