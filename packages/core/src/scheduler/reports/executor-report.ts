/**
 * Why the executors of a service may or may not be given work, for the log and
 * the metrics of its owner.
 */
import {getReadiness, type Readiness} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';

/** `unknown`: the registry lists it, and the owner does not keep it. */
export type ExecutorStatus = Readiness | 'unknown';

/** All statuses, in the order in which they are checked. */
export const executorStatuses = [
	'unknown',
	'unlisted',
	'draining',
	'silent',
	'not-adopted',
	'reserved',
	'not-rostered',
	'strays',
	'evacuating',
	'isolated',
	'resting',
	'usable',
] as const satisfies readonly ExecutorStatus[];

/** The status of one executor. */
export type ExecutorReport = {
	readonly executor: string;
	readonly status: ExecutorStatus;
	/** For how long it has not responded, in milliseconds. */
	readonly silentMs: number | undefined;
};

/**
 * Describes the executors that the owner keeps or that the registry lists for
 * its service.
 */
export const describeExecutors = (
	owner: Owner,
	listedIds: readonly string[],
	now: number,
): readonly ExecutorReport[] => {
	const ids = new Set([...owner.executors.keys(), ...listedIds]);
	return [...ids].map((id) => {
		const executor = owner.executors.get(id);
		const since = executor?.unresponsiveSince;
		return {
			executor: id,
			status: executor ? getReadiness(executor, now) : 'unknown',
			silentMs: since === undefined ? undefined : Math.round(now - since),
		};
	});
};

/** Counts of executors; a status that none has is absent. */
export type StatusCounts = Readonly<Partial<Record<ExecutorStatus, number>>>;

export const countStatuses = (
	reports: readonly ExecutorReport[],
): StatusCounts => {
	const counts: Partial<Record<ExecutorStatus, number>> = {};
	for (const {status} of reports) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
};
