/**
 * Suspected executors. No leases are granted on an executor while it is
 * suspected, so its runs end when their leases expire, whoever owns the service
 * by then. The roster records since when, so that the next owner need not wait
 * for a full lease again.
 *
 * The next owner trusts the mark, so an executor that answers again gets no
 * work or leases until a roster without the mark is stored.
 */
import {restartPhases, type Executor} from './executor.js';
import {getMaxLeaseDurationMs} from './leases.js';
import type {Owner} from './owner-state.js';
import type {ListedExecutor} from './types.js';
import {
	listUnansweredStarts,
	type UnansweredStart,
} from './unanswered-starts.js';

/** Milliseconds without an answer after which an executor is suspected. */
export const suspectAfterMs = 1000;

/**
 * The same for an executor of the previous owner that has not answered this one,
 * in milliseconds from the takeover. It is short, as an owner that is lost before
 * it has stored its marks leaves the whole wait to the next one; most executors
 * answer within 20 ms.
 */
export const suspectInheritedAfterMs = 250;

/** Roster entry: an executor that may run tasks, stored for the next owner. */
export type RosterEntry = {
	readonly listed: ListedExecutor;
	/** Since when no leases are granted there; absent if not suspected. */
	readonly suspectedSince: number | undefined;
	/**
	 * By when leases have expired that commands for earlier incarnations may have
	 * brought, by the local clock; absent if there are none.
	 */
	readonly strayLeasesUntil: number | undefined;
	/** Starts that have no answer and may be carried out yet. */
	readonly unansweredStarts: readonly UnansweredStart[];
};

/** Returns since when no leases are granted on an unresponsive executor. */
const getNoLeasesSince = (
	{cfg, unresolvedExecutors}: Owner,
	{id, unresponsiveSince}: Executor,
): number | undefined => {
	const leasesEndAt = unresolvedExecutors.get(id);
	return leasesEndAt === undefined
		? unresponsiveSince
		: leasesEndAt - getMaxLeaseDurationMs(cfg);
};

const getUnresponsiveMs = (
	{unresponsiveSince}: Executor,
	now: number,
): number => (unresponsiveSince === undefined ? 0 : now - unresponsiveSince);

/** Nothing was granted on an executor that has not answered this owner. */
const isUnansweredSinceTakeover = (
	{takenOverAt, unresolvedExecutors}: Owner,
	{id, isAdopted}: Executor,
	now: number,
): boolean =>
	!isAdopted &&
	unresolvedExecutors.has(id) &&
	now - takenOverAt >= suspectInheritedAfterMs;

/**
 * Marks executors as suspected that are unresponsive for at least that long, or
 * that have not answered since the takeover.
 */
export const markSuspected = (
	owner: Owner,
	minUnresponsiveMs: number,
	now: number,
): void => {
	for (const executor of owner.executors.values()) {
		const since = getNoLeasesSince(owner, executor);
		const isEarlier =
			since !== undefined && since < (executor.suspectedSince ?? Infinity);
		const isSuspected =
			getUnresponsiveMs(executor, now) >= minUnresponsiveMs ||
			isUnansweredSinceTakeover(owner, executor, now);
		if (isEarlier && isSuspected && executor.isRostered) {
			executor.suspectedSince = since;
			owner.isRosterDirty = true;
		}
	}
};

/**
 * Whether leases may be granted on an executor. They rest on the clock of an
 * incarnation that is fenced, and must expire on an executor that is unresponsive
 * or that the stored roster still marks as suspected.
 */
export const mayGrantLease = ({
	isFenced,
	isRostered,
	unresponsiveSince,
}: Pick<Executor, 'isFenced' | 'isRostered' | 'unresponsiveSince'>): boolean =>
	isFenced && isRostered && unresponsiveSince === undefined;

/** Removes the mark of an executor that answers. */
export const clearSuspicion = (owner: Owner, executor: Executor): void => {
	executor.suspectedSince = undefined;
	if (executor.isSuspicionSent) {
		executor.isSuspicionSent = false;
		executor.isRostered = false;
		owner.isRosterDirty = true;
	}
};

/**
 * Whether nothing can run on an executor and no end is unread: it is reserved,
 * and was empty when it answered last. A command may have ended it since, and
 * the next owner need not wait for it.
 */
const isVacant = (executor: Executor): boolean =>
	executor.reservedUntil !== undefined &&
	// Its present incarnation may yet take commands for the one before.
	executor.isFenced &&
	// One that has been ended no longer answers, so it does not stay adopted.
	(executor.isAdopted || executor.isKnownVacant) &&
	executor.runs.size === 0 &&
	executor.orphanedRunCount === 0 &&
	!executor.hasListedEnds;

/** Has the roster stored without an executor that has become vacant. */
export const noteVacancy = (owner: Owner, executor: Executor): void => {
	owner.isRosterDirty ||= executor.isRostered && isVacant(executor);
};

const getStoredStrayEnd = ({
	strayLeasesUntil,
}: Pick<Executor, 'strayLeasesUntil'>): number | undefined =>
	Number.isFinite(strayLeasesUntil) ? strayLeasesUntil : undefined;

/**
 * Whether a stored roster lets an executor be used: it has no mark, and later
 * owners learn from it what they must wait for.
 */
export const isUsableAsStored = (
	executor: Executor,
	{listed, suspectedSince, strayLeasesUntil}: RosterEntry,
): boolean =>
	suspectedSince === undefined &&
	executor.restart === restartPhases.none &&
	listed.startedAtEpochMs === executor.fencedStartedAtEpochMs &&
	strayLeasesUntil === getStoredStrayEnd(executor);

/**
 * Returns the roster to store and records that its marks were sent. Executors
 * that are left out get no work before a later roster with them is stored.
 */
export const prepareRoster = (owner: Owner): readonly RosterEntry[] => {
	const roster: RosterEntry[] = [];
	for (const executor of owner.executors.values()) {
		const {listed, suspectedSince, fencedStartedAtEpochMs} = executor;
		executor.isKnownVacant = isVacant(executor);
		if (executor.isKnownVacant) {
			executor.isRostered = false;
		} else {
			executor.isSuspicionSent ||= suspectedSince !== undefined;
			executor.rosteredStarts = listUnansweredStarts(owner, executor);
			roster.push({
				listed: {...listed, startedAtEpochMs: fencedStartedAtEpochMs},
				suspectedSince,
				strayLeasesUntil: getStoredStrayEnd(executor),
				unansweredStarts: executor.rosteredStarts,
			});
		}
	}

	return roster;
};
