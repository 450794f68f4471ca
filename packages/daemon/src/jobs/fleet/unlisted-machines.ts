/** Machines of waves that the platform has to be asked about, as no list has them. */
import {fleet} from '@gullstand/core';
import {fleetPeriods} from './fleet-context.js';

export type UnlistedMachines = {
	/** Notes which machines of the open waves a list has. */
	readonly observe: (
		open: readonly fleet.MachineWave[],
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	) => void;
	/**
	 * Returns a machine as it was last listed, if it has been missing for long
	 * and was not asked about lately.
	 */
	readonly findDue: (
		wave: fleet.MachineWave,
		id: string,
	) => fleet.WaveMachine | undefined;
	/** Records that the owner of a machine is asked about it for a wave now. */
	readonly recordAsked: (wave: fleet.MachineWave, id: string) => void;
	readonly forget: (wave: fleet.MachineWave) => void;
};

const toKey = ({request}: fleet.MachineWave, id: string): string =>
	`${request.id} ${id}`;

/** `now` returns monotonic milliseconds. */
export const createUnlistedMachines = (now: () => number): UnlistedMachines => {
	/** When each machine was asked about last, by wave and machine. */
	const askedAt = new Map<string, number>();
	let sightings: fleet.Sightings = new Map();

	return {
		observe(open, machines) {
			const ids = new Set(open.flatMap(({request}) => request.machines));
			sightings = fleet.observeSightings(sightings, ids, machines, now());
		},
		findDue(wave, id) {
			const sighting = sightings.get(id);
			const last = askedAt.get(toKey(wave, id)) ?? Number.NEGATIVE_INFINITY;
			const isDue = now() - last >= fleetPeriods.askMissingMs;
			if (!isDue || !sighting || !fleet.isLongMissing(sighting, now())) {
				return undefined;
			}

			return (
				sighting.last ?? {
					id,
					pool: '',
					isUp: false,
					isInMaintenance: false,
					executorId: fleet.getMaintenance(wave, id)?.executorId,
				}
			);
		},
		recordAsked(wave, id) {
			askedAt.set(toKey(wave, id), now());
		},
		forget(wave) {
			for (const id of wave.request.machines) {
				askedAt.delete(toKey(wave, id));
			}
		},
	};
};
