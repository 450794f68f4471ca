/**
 * Executors that are dark. Nothing is granted on one while it is, so that what
 * was granted there ends by itself, whoever owns the service by then. The
 * roster says since when: without it each owner would wait anew for all that
 * the one before may have granted.
 *
 * An executor that answers again gets nothing until a roster without its mark
 * is stored, since the next owner trusts a mark.
 */
import type {SchedulerConfig} from './config.js';
import type {Executor} from './executor.js';
import type {Owner} from './owner-state.js';
import {maxClockDrift} from './remote-clock.js';
import type {ListedExecutor} from './types.js';

/** Silence from which an executor is marked: single looks do get lost. */
export const suspectAfterMs = 1000;

/** An executor that may run tasks, as it is kept for the next owner. */
export type RosterEntry = {
	readonly listed: ListedExecutor;
	/** Since when nothing is granted there; absent while something may be. */
	readonly suspectedSince: number | undefined;
};

/** How long what was granted on an executor lasts at most, in milliseconds. */
export const getMaxLeaseDurationMs = ({
	taskLeaseMs,
	maxTransitMs,
}: SchedulerConfig): number =>
	taskLeaseMs * (1 + 2 * maxClockDrift) + maxTransitMs;

/** Since when nothing is granted on an executor that does not answer. */
const getUngrantedSince = (
	{cfg, unresolvedExecutors}: Owner,
	{id, unresponsiveSince}: Executor,
): number | undefined => {
	const overAt = unresolvedExecutors.get(id);
	return overAt === undefined
		? unresponsiveSince
		: overAt - getMaxLeaseDurationMs(cfg);
};

const getSilentMs = ({unresponsiveSince}: Executor, now: number): number =>
	unresponsiveSince === undefined ? 0 : now - unresponsiveSince;

/** Marks executors that have been silent so long; the roster then says so. */
export const markSuspected = (
	owner: Owner,
	leastSilentMs: number,
	now: number,
): void => {
	for (const executor of owner.executors.values()) {
		const since = getUngrantedSince(owner, executor);
		const isNews =
			since !== undefined && since < (executor.suspectedSince ?? Infinity);
		const isDark = getSilentMs(executor, now) >= leastSilentMs;
		if (isNews && isDark && executor.isRostered) {
			executor.suspectedSince = since;
			owner.isRosterDirty = true;
		}
	}
};

/**
 * Whether leases may be granted on an executor. On a silent one they must come
 * to an end, and one whose mark the store still has counts as ungranted there.
 */
export const mayGrantLease = ({
	isRostered,
	unresponsiveSince,
}: Pick<Executor, 'isRostered' | 'unresponsiveSince'>): boolean =>
	isRostered && unresponsiveSince === undefined;

/** Takes back the mark of an executor that answers. */
export const clearSuspicion = (owner: Owner, executor: Executor): void => {
	executor.suspectedSince = undefined;
	if (executor.isSuspicionSent) {
		executor.isSuspicionSent = false;
		executor.isRostered = false;
		owner.isRosterDirty = true;
	}
};

/** All executors that may run tasks; their marks count as sent from now on. */
export const prepareRoster = (owner: Owner): readonly RosterEntry[] =>
	[...owner.executors.values()].map((executor) => {
		const {listed, suspectedSince} = executor;
		executor.isSuspicionSent ||= suspectedSince !== undefined;
		return {listed, suspectedSince};
	});
