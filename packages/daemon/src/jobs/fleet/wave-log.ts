/** Log lines about the machines of waves, one for each change. */
import {fleet} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

export type WaveLog = {
	/** Logs a machine that needs no maintenance any more. */
	readonly reportFinished: (
		wave: fleet.MachineWave,
		machine: string,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	) => void;
	/** Logs the machines of a wave that the list leaves out or has again. */
	readonly reportListed: (
		wave: fleet.MachineWave,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	) => void;
	/** Logs what the next command for a machine waits for. */
	readonly reportWait: (
		wave: string,
		machine: string,
		waitsFor: string,
	) => void;
};

export const createWaveLog = (logger: Pick<Logger, 'info'>): WaveLog => {
	/** Machines that the last read of the list left out, by wave. */
	const missing = new Map<string, ReadonlySet<string>>();
	/** What each machine waits for, by wave and machine. */
	const waits = new Map<string, string>();

	return {
		reportFinished(wave, machine, machines) {
			const entry = fleet.getMaintenance(wave, machine);
			if (entry) {
				const {progress, executorId, attempts} = entry;
				logger.info('machine counts as maintained', {
					wave: wave.request.id,
					machine,
					evidence:
						progress.kind === 'returned' ? progress.evidence : progress.kind,
					attempts,
					executor: executorId,
					currentExecutor: machines.get(machine)?.executorId,
				});
			}
		},
		reportListed({request}, machines) {
			const last = missing.get(request.id);
			const current = new Set(
				request.machines.filter((machine) => !machines.has(machine)),
			);
			missing.set(request.id, current);
			for (const machine of current) {
				if (!last?.has(machine)) {
					logger.info('machine of a wave is not listed', {
						wave: request.id,
						machine,
					});
				}
			}

			for (const machine of last ?? []) {
				if (!current.has(machine)) {
					logger.info('machine of a wave is listed again', {
						wave: request.id,
						machine,
					});
				}
			}
		},
		reportWait(wave, machine, waitsFor) {
			const key = `${wave} ${machine}`;
			if (waits.get(key) !== waitsFor) {
				waits.set(key, waitsFor);
				logger.info('maintenance command waits', {wave, machine, waitsFor});
			}
		},
	};
};
