/**
 * Maintenance of one machine for a wave. Only the platform's answer to a command
 * of that wave shows that the command was carried out: another executor or a
 * machine that is not listed has many causes.
 */
import {match} from 'ts-pattern';

/** The part of the platform's machine record that a wave uses. */
export type WaveMachine = {
	readonly id: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly isInMaintenance: boolean;
	readonly executorId: string | undefined;
	/** Its entry could not be read in full: only its id is certain. */
	readonly isUnreadable?: boolean;
};

/** What shows that a machine is back from maintenance. */
export const returnEvidence = [
	/** It is up with another executor than at the last command. */
	'replaced',
	/** It was seen in maintenance and is up with the same executor. */
	'restarted',
	/** It stays up with the same executor: an earlier command was carried out. */
	'stays-up',
	/** It is up, and its executor has not registered for long. */
	'no-executor',
	/** A stored row of an older release says so. */
	'stored',
] as const;

export type ReturnEvidence = (typeof returnEvidence)[number];

/** Progress of the maintenance of one machine. */
export type MaintenanceProgress =
	/** Commands were recorded; each may have been carried out, or may yet be. */
	| {readonly kind: 'unanswered'}
	/** The platform accepted a command of the wave. */
	| {readonly kind: 'accepted'}
	/** A command was accepted, and the machine has returned to service. */
	| {readonly kind: 'returned'; readonly evidence: ReturnEvidence}
	/** The platform says that the machine is not one of the wave. */
	| {readonly kind: 'not-in-wave'}
	/** The platform says that there is no such machine. */
	| {readonly kind: 'not-found'};

/** Maintenance of one machine, recorded before each command is sent. */
export type MachineMaintenance = {
	readonly progress: MaintenanceProgress;
	/** Executor at the last command. */
	readonly executorId: string | undefined;
	/**
	 * Time of the last command, or of the answer that decided, in milliseconds
	 * since 1970.
	 */
	readonly sinceEpochMs: number;
	/** Commands that were recorded, the last one included. */
	readonly attempts: number;
	/** Whether the machine was seen in maintenance since the last command. */
	readonly wasInMaintenance: boolean;
};

/** Maximum age of the platform's list when it is read, in milliseconds. */
const maxListAgeMs = 1500;

/**
 * Time after an accepted command by which the list shows a machine in
 * maintenance, in milliseconds.
 */
const maxVisibleMs = 3000;

/** Time in which an executor registers after maintenance, in milliseconds. */
const maxRegisterMs = 8000;

/** Whether the machine is, or may be, in maintenance. */
export const isAway = ({progress}: MachineMaintenance): boolean =>
	progress.kind === 'unanswered' || progress.kind === 'accepted';

/** Whether a list that was read at `viewedAt` shows the effect of an answer. */
const isVisible = (entry: MachineMaintenance, viewedAt: number): boolean =>
	viewedAt - entry.sinceEpochMs >= maxListAgeMs;

/**
 * Returns what shows that a machine with an accepted command is back, if
 * anything does.
 */
const findReturnEvidence = (
	entry: MachineMaintenance,
	{isUp, executorId}: WaveMachine,
	viewedAt: number,
): ReturnEvidence | undefined => {
	if (!isUp || !isVisible(entry, viewedAt)) {
		return undefined;
	}

	const elapsedMs = viewedAt - entry.sinceEpochMs;
	if (executorId === entry.executorId) {
		const staysUp = elapsedMs >= maxVisibleMs ? 'stays-up' : undefined;
		return entry.wasInMaintenance ? 'restarted' : staysUp;
	}

	if (executorId !== undefined) {
		return 'replaced';
	}

	return elapsedMs >= maxRegisterMs ? 'no-executor' : undefined;
};

/**
 * Updates an entry by a list that was requested at `viewedAt`, in milliseconds
 * since 1970. Returns nothing if the maintenance is pending again, since the
 * platform has a machine that it did not have.
 */
export const observeMaintenance = (
	entry: MachineMaintenance,
	machine: WaveMachine | undefined,
	viewedAt: number,
): MachineMaintenance | undefined => {
	if (!machine) {
		return entry;
	}

	const seen = {
		...entry,
		wasInMaintenance: entry.wasInMaintenance || machine.isInMaintenance,
	};
	return match(entry.progress)
		.returnType<MachineMaintenance | undefined>()
		.with({kind: 'unanswered'}, () => seen)
		.with({kind: 'accepted'}, () => {
			const evidence = findReturnEvidence(entry, machine, viewedAt);
			return evidence
				? {...seen, progress: {kind: 'returned', evidence}}
				: seen;
		})
		.with({kind: 'not-found'}, () =>
			isVisible(entry, viewedAt) ? undefined : entry,
		)
		.with({kind: 'returned'}, {kind: 'not-in-wave'}, () => entry)
		.exhaustive();
};

/** Records a command that is about to be sent. */
export const recordAttempt = (
	entry: MachineMaintenance | undefined,
	machine: WaveMachine,
	epochNow: number,
): MachineMaintenance => ({
	progress:
		entry?.progress.kind === 'accepted' ? entry.progress : {kind: 'unanswered'},
	executorId: machine.executorId,
	sinceEpochMs: epochNow,
	attempts: (entry?.attempts ?? 0) + 1,
	wasInMaintenance: false,
});

/** What the answer to a command says about the maintenance of a machine. */
export type CommandVerdict =
	| 'accepted'
	| 'not-in-wave'
	| 'not-found'
	/** This command was certainly not carried out. */
	| 'refused'
	/** It may have been carried out, or may yet be. */
	| 'unknown';

/**
 * Applies the answer to the last command. Returns nothing if no command was
 * carried out or may yet be.
 */
export const applyVerdict = (
	entry: MachineMaintenance,
	verdict: CommandVerdict,
	epochNow: number,
): MachineMaintenance | undefined => {
	return match(verdict)
		.returnType<MachineMaintenance | undefined>()
		.with('accepted', 'not-in-wave', 'not-found', (kind) => ({
			...entry,
			sinceEpochMs: epochNow,
			progress: {kind},
		}))
		.with('refused', () => (entry.attempts > 1 ? entry : undefined))
		.with('unknown', () => entry)
		.exhaustive();
};
