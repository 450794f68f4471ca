/** Runs maintenance waves of machines. */
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
import {createWaveLog} from './wave-log.js';
import {readWaves, storeWave} from './wave-rows.js';

/** Publishes the state of a wave to operators. */
export type WaveStatusPort = {
	readonly write: (
		wave: string,
		state: 'running' | 'completed',
		timeoutMs: number,
	) => Promise<boolean>;
};

export type MachineWaveRunner = {
	/** Loads the stored waves; resolves to false if the store does not answer. */
	readonly load: () => Promise<boolean>;
	/** Starts the requested waves that are new. */
	readonly acceptRequests: (requests: readonly WaveRequest[]) => Promise<void>;
	/** Advances the waves that are not completed. */
	readonly runRound: (view: FleetView) => Promise<void>;
	/** Whether a machine is being evacuated or maintained for a wave. */
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
				isInMaintenance: machine.state === 'maintenance',
				executorId: machine.executorId,
			},
		]),
	);

/**
 * Load of a machine whose owner did not answer. Its machines do not count as
 * idle, since a busy owner is the likeliest to answer late.
 */
const unknownLoad: fleet.MachineLoad = {
	runs: Number.POSITIVE_INFINITY,
	lasting: 0,
	usedCpu: 0,
};

export const createMachineWaveRunner = (
	context: FleetContext,
	status: WaveStatusPort,
): MachineWaveRunner => {
	const {held, store, clock, logger} = context;
	const waves = new Map<string, fleet.MachineWave>();
	const evacuating = new Set<string>();
	const log = createWaveLog(logger);
	/** Attempts of this holder, by wave and machine. */
	const attempts = new Map<string, number>();

	const saveWave = async (wave: fleet.MachineWave): Promise<boolean> => {
		const outcome = await storeWave(store, held, wave);
		if (outcome === 'lost-shard') {
			context.loseShard('the lease row has changed');
		}

		if (outcome !== 'stored') {
			logger.warn('wave not stored', {wave: wave.request.id, outcome});
		}

		return outcome === 'stored';
	};

	const applyAnswer = (
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
			// It may still take effect: the machine counts as away until it is back.
			.with('no-answer', () => wave)
			.exhaustive();

	const sendMaintenance = async (
		wave: fleet.MachineWave,
		machine: fleet.WaveMachine,
	): Promise<MachineAnswer> => {
		const key = `${wave.request.id} ${machine.id}`;
		const attempt = (attempts.get(key) ?? 0) + 1;
		attempts.set(key, attempt);
		const answer = await context.machines.maintain(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: machine.id,
				wave: wave.request.id,
			},
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('maintenance command sent', {
			wave: wave.request.id,
			machine: machine.id,
			pool: machine.pool,
			executor: machine.executorId,
			attempt,
			outcome: answer,
		});
		return answer;
	};

	/**
	 * Sends all commands concurrently, so that a large wave does not delay the
	 * round.
	 */
	const sendAll = async (
		wave: fleet.MachineWave,
		machines: readonly fleet.WaveMachine[],
	): Promise<fleet.MachineWave> => {
		const answers = await Promise.all(
			machines.map(async (machine) => sendMaintenance(wave, machine)),
		);
		let current = wave;
		for (const [index, answer] of answers.entries()) {
			current = applyAnswer(current, machines[index]?.id ?? '', answer);
		}

		return current;
	};

	/** Records commands; resolves to whether they may be sent afterwards. */
	const recordCommands = async (
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

		if (!(await saveWave(begun)) || !(await recordCommands(machines))) {
			return wave;
		}

		for (const {id} of machines) {
			evacuating.delete(id);
		}

		return sendAll(begun, machines);
	};

	/** Repeats commands without an answer; they are idempotent. */
	const repeatUnanswered = async (
		wave: fleet.MachineWave,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<fleet.MachineWave> => {
		const unanswered = Object.entries(wave.begun).flatMap(([id, entry]) => {
			const machine = machines.get(id);
			if (entry.isAnswered || entry.isBack || !machine) {
				return [];
			}

			const isStillThere =
				machine.isUp && machine.executorId === entry.executorId;
			const isFree = context.commandLog.mayCommand(id);
			if (!isStillThere || !isFree) {
				log.reportWait(
					wave.request.id,
					id,
					isStillThere ? 'end of the turnover time' : 'machine to be up',
				);
			}

			return isStillThere && isFree ? [machine] : [];
		});
		return (await recordCommands(unanswered))
			? sendAll(wave, unanswered)
			: wave;
	};

	const getLoad = (
		view: FleetView,
		machine: fleet.WaveMachine,
	): fleet.MachineLoad | undefined =>
		context.hasOwner(machine.pool) && !view.loads.has(machine.pool)
			? unknownLoad
			: getMachineLoad(view, machine);

	const evacuateAndBegin = async (
		wave: fleet.MachineWave,
		view: FleetView,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<fleet.MachineWave> => {
		const step = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating,
				getLoad: (machine) => getLoad(view, machine),
				turnaroundMs: fleetPeriods.machineTurnaroundMs,
			},
			clock.epochNow(),
		);
		const isShortOfTime = fleet.isShortOfTime(
			wave,
			machines,
			fleetPeriods.machineTurnaroundMs,
			clock.epochNow(),
		);
		const graceMs = isShortOfTime ? 0 : fleetPeriods.evacuationGraceMs;
		const toEvacuate = step.evacuate.flatMap((id) => machines.get(id) ?? []);
		for (const {id} of toEvacuate) {
			evacuating.add(id);
		}

		const clearances = await Promise.all(
			toEvacuate.map(async (machine) =>
				evacuateMachine(context, machine, graceMs),
			),
		);
		const clear = toEvacuate.filter(
			({id}, index) => clearances[index] && context.commandLog.mayCommand(id),
		);
		return begin(wave, clear.slice(0, step.maxStarts));
	};

	const complete = async (wave: fleet.MachineWave) => {
		const {id, machines} = wave.request;
		const isStatusWritten = await status.write(
			id,
			'completed',
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('wave completed', {
			wave: id,
			machines: machines.length,
			tookMs: Math.round(clock.epochNow() - wave.seenAtEpochMs),
			isTold: isStatusWritten,
		});
		if (isStatusWritten) {
			const completed = {...wave, isCompleted: true};
			waves.set(id, completed);
			await saveWave(completed);
		}
	};

	const runWave = async (wave: fleet.MachineWave, view: FleetView) => {
		const machines = toWaveMachines(view);
		let current = fleet.recordReturnedMachines(
			wave,
			machines,
			clock.epochNow(),
		);
		log.reportListed(current, machines);
		log.reportReturns(wave, current, machines);
		current = await repeatUnanswered(current, machines);
		current = await evacuateAndBegin(current, view, machines);
		waves.set(current.request.id, current);
		const isCompleted = fleet.isWaveCompleted(current, machines);
		if (isCompleted && !context.isStopped()) {
			await complete(current);
		}
	};

	const acceptRequest = async (request: WaveRequest) => {
		const wave = fleet.createMachineWave(request, clock.epochNow());
		const isStatusWritten = await status.write(
			request.id,
			'running',
			fleetPeriods.platformTimeoutMs,
		);
		if (isStatusWritten && (await saveWave(wave))) {
			waves.set(request.id, wave);
			const {id, machines, durationMs, maxAway} = request;
			logger.info('wave started', {
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
					await acceptRequest(request);
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
			evacuating.has(machine) ||
			[...waves.values()].some(
				({begun}) => begun[machine] && !begun[machine].isBack,
			),
	};
};
