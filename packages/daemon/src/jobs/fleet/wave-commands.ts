/** Records, sends and repeats the maintenance commands of waves. */
import {fleet} from '@gullstand/core';
import type {MachineAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import {
	fleetPeriods,
	getClearanceAgeMs,
	isStillClear,
	type Clearance,
	type FleetContext,
} from './fleet-context.js';
import {toWaveClaimant, type MachineClaims} from './machine-claims.js';

/** A machine to send to maintenance and the confirmation that it is empty. */
export type MaintenanceTarget = {
	readonly machine: fleet.WaveMachine;
	readonly clearance: Clearance;
};

/** A wave and the machines to command for it. */
export type WaveTargets = {
	readonly wave: fleet.MachineWave;
	readonly targets: readonly MaintenanceTarget[];
};

export type WaveCommands = {
	/**
	 * Records the commands of all waves in the store and sends those whose
	 * clearance holds after that; resolves to the waves with their answers.
	 */
	readonly send: (
		batches: readonly WaveTargets[],
	) => Promise<readonly fleet.MachineWave[]>;
};

export type WaveCommandsDeps = {
	readonly claims: MachineClaims;
	/** Stores waves; resolves to the ids of those that are stored. */
	readonly saveWaves: (
		waves: readonly fleet.MachineWave[],
	) => Promise<ReadonlySet<string>>;
};

export const createWaveCommands = (
	context: FleetContext,
	{claims, saveWaves}: WaveCommandsDeps,
): WaveCommands => {
	const {clock, held, logger} = context;

	const toVerdict = (answer: MachineAnswer): fleet.CommandVerdict =>
		match(answer)
			.returnType<fleet.CommandVerdict>()
			.with('done', () => 'accepted')
			.with('busy', 'unavailable', () => 'refused')
			.with('not-in-wave', () => 'not-in-wave')
			.with('invalid', () => 'not-found')
			.with('fenced', () => {
				context.loseShard('the platform has seen a higher fencing token');
				return 'unknown';
			})
			.with('no-answer', () => 'unknown')
			.exhaustive();

	const sendMaintenance = async (
		wave: fleet.MachineWave,
		{machine, clearance}: MaintenanceTarget,
	): Promise<fleet.CommandVerdict> => {
		const clearMs = getClearanceAgeMs(context, clearance);
		const claimant = toWaveClaimant(wave.request.id);
		claims.recordCommand(machine.id, claimant);
		const answer = await context.machines.maintain(
			{
				holder: context.holder,
				fencingToken: held.token,
				machine: machine.id,
				wave: wave.request.id,
			},
			fleetPeriods.platformTimeoutMs,
		);
		claims.recordCommand(machine.id, claimant);
		logger.info('maintenance command sent', {
			wave: wave.request.id,
			machine: machine.id,
			pool: machine.pool,
			executor: machine.executorId,
			attempt: fleet.getMaintenance(wave, machine.id)?.attempts,
			clearMs,
			outcome: answer,
		});
		return toVerdict(answer);
	};

	/**
	 * Sends all commands concurrently, so that a large wave does not delay the
	 * round.
	 */
	const sendAll = async (
		wave: fleet.MachineWave,
		targets: readonly MaintenanceTarget[],
	): Promise<fleet.MachineWave> => {
		const verdicts = await Promise.all(
			targets.map(async (target) => {
				const verdict = await sendMaintenance(wave, target);
				return {id: target.machine.id, verdict, at: clock.epochNow()};
			}),
		);
		let current = wave;
		for (const {id, verdict, at} of verdicts) {
			current = fleet.recordVerdict(current, id, verdict, at);
		}

		return current;
	};

	/** Records commands; resolves to whether they may be sent afterwards. */
	const recordCommands = async (ids: readonly string[]): Promise<boolean> =>
		context.mayCommand() &&
		(await context.commandLog.record(ids)) &&
		context.mayCommand();

	/** Sends the commands whose clearance still holds, and drops the others. */
	const sendClear = async (
		{wave, targets}: WaveTargets,
		before: fleet.MachineWave,
	): Promise<fleet.MachineWave> => {
		const clear: MaintenanceTarget[] = [];
		let current = wave;
		for (const target of targets) {
			const {machine, clearance} = target;
			if (isStillClear(context, clearance)) {
				clear.push(target);
			} else {
				logger.warn('maintenance command not sent', {
					wave: wave.request.id,
					machine: machine.id,
					executor: machine.executorId,
					reason: 'the clearance has run out',
					clearMs: getClearanceAgeMs(context, clearance),
				});
				current = fleet.withdrawCommand(current, before, machine.id);
			}
		}

		return sendAll(current, clear);
	};

	/** Leaves out the machines whose commands the log has no room for now. */
	const limitTargets = (
		batches: readonly WaveTargets[],
	): readonly WaveTargets[] => {
		const ids = batches.flatMap(({targets}) =>
			targets.map(({machine}) => machine.id),
		);
		const fitting = new Set(context.commandLog.listFitting(ids));
		return batches.map(({wave, targets}) => ({
			wave,
			targets: targets.filter(({machine}) => fitting.has(machine.id)),
		}));
	};

	const recordTargets = ({wave, targets}: WaveTargets): WaveTargets => {
		let recorded = wave;
		for (const {machine} of targets) {
			recorded = fleet.recordCommand(recorded, machine, clock.epochNow());
		}

		return {wave: recorded, targets};
	};

	return {
		async send(batches) {
			const before = batches.map(({wave}) => wave);
			const recorded = limitTargets(batches).map((batch) =>
				recordTargets(batch),
			);
			const commanded = recorded.filter(({targets}) => targets.length > 0);
			if (commanded.length === 0) {
				return before;
			}

			const stored = await saveWaves(commanded.map(({wave}) => wave));
			const isStored = ({wave}: WaveTargets) => stored.has(wave.request.id);
			const ids = commanded
				.filter((batch) => isStored(batch))
				.flatMap(({targets}) => targets.map(({machine}) => machine.id));
			const isRecorded = ids.length > 0 && (await recordCommands(ids));
			return Promise.all(
				recorded.map(async (batch, index) =>
					isRecorded && isStored(batch)
						? sendClear(batch, before[index]!)
						: before[index]!,
				),
			);
		},
	};
};
