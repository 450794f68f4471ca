/**
 * Remembers machines that a read of the platform's list leaves out. The list is
 * read in pages, so that a machine may be missing from one read.
 */
import type {WaveMachine} from './machine-maintenance.js';

/** What the reads of the list so far show of a machine. */
export type Sighting = {
	/** As it was last listed by an entry that could be read. */
	readonly last: WaveMachine | undefined;
	/** Reads in a row that left it out. */
	readonly missedReads: number;
	/** Time of the first of them, in milliseconds. */
	readonly missedSince: number;
};

/** Sightings by machine. */
export type Sightings = ReadonlyMap<string, Sighting>;

/** Reads in a row, and their time in milliseconds, that leave a machine out. */
const minMissedReads = 3;
const minMissedMs = 2000;

const observeMachine = (
	before: Sighting | undefined,
	machine: WaveMachine | undefined,
	now: number,
): Sighting => {
	if (machine) {
		const last = machine.isUnreadable ? before?.last : machine;
		return {last, missedReads: 0, missedSince: now};
	}

	const missedReads = before?.missedReads ?? 0;
	return {
		last: before?.last,
		missedReads: missedReads + 1,
		missedSince: missedReads === 0 ? now : (before?.missedSince ?? now),
	};
};

/** Updates the sightings of some machines by a list, at `now` milliseconds. */
export const observeSightings = (
	before: Sightings,
	ids: Iterable<string>,
	machines: ReadonlyMap<string, WaveMachine>,
	now: number,
): Sightings =>
	new Map(
		[...ids].map((id) => [
			id,
			observeMachine(before.get(id), machines.get(id), now),
		]),
	);

/** Whether the platform has to be asked if it has the machine. */
export const isLongMissing = (
	{missedReads, missedSince}: Sighting,
	now: number,
): boolean => missedReads >= minMissedReads && now - missedSince >= minMissedMs;
