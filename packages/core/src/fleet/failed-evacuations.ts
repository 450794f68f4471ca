/**
 * Machines that were not evacuated in time for a move. They were out of use all
 * the while, so that they serve for some time before the next attempt.
 */

/** Until when no move of a machine is planned, in milliseconds. */
export type FailedEvacuations = ReadonlyMap<string, number>;

/** Time in which a machine serves after a failed evacuation, in milliseconds. */
const pauseMs = 5000;

/** Records that a machine was not evacuated in time. */
export const recordFailedEvacuation = (
	failed: FailedEvacuations,
	machine: string,
	now: number,
): FailedEvacuations =>
	new Map([
		...[...failed].filter(([, until]) => now < until),
		[machine, now + pauseMs],
	]);

/** Whether no move of a machine is planned now. */
export const isEvacuationPaused = (
	failed: FailedEvacuations,
	machine: string,
	now: number,
): boolean => now < (failed.get(machine) ?? 0);
