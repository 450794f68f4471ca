/**
 * Reports the jobs of a service that stand: nothing of them runs though a task
 * could. One log line for each reason while it lasts, and gauges.
 */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import type {JobMetrics} from '../job-metrics.js';

/** Periods of the report, in milliseconds. */
export const standingPeriods = {
	/** Between two looks at the jobs. */
	inspectMs: 1000,
	/** Standing time from which a reason is logged. */
	logAfterMs: 1500,
	/** Between two lines for one reason. */
	repeatMs: 5000,
} as const;

/** Most executors that a line names, so that it stays short. */
const maxNamed = 10;

export type StandingReportDeps = {
	readonly service: string;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<JobMetrics, 'registerGauge'>;
	readonly now: () => number;
	/** Whether the owner may send commands. */
	readonly isConfirmed: () => boolean;
	/** Ids of the executors that the registry lists for the service. */
	readonly listIds: () => readonly string[];
	/** Age of that list in milliseconds; undefined before the first read. */
	readonly getListAgeMs: () => number | undefined;
};

export type StandingReport = {
	/** Looks at the jobs if the period is over. */
	readonly updateIfDue: (owner: scheduler.Owner) => void;
	/** Omits the gauges: the service is no longer owned here. */
	readonly stop: () => void;
};

type Logged = {
	/** When the jobs for that reason began to stand. */
	readonly since: number;
	readonly loggedAt: number;
};

export const createStandingReport = (
	deps: StandingReportDeps,
): StandingReport => {
	const {service, logger, metrics, now} = deps;
	const logged = new Map<scheduler.StandingReason, Logged>();
	let standing: scheduler.StandingJobs | undefined;
	let groups: readonly scheduler.StandingGroup[] = [];
	let ends: scheduler.UnacknowledgedEnds | undefined;
	let executors: readonly scheduler.ExecutorReport[] | undefined;
	let statusCounts: scheduler.StatusCounts = {};
	let holds: readonly scheduler.ExecutorHold[] | undefined;
	let unstoredSince: number | undefined;
	let inspectedAt = Number.NEGATIVE_INFINITY;

	const getAgeMs = (since: number | undefined, at: number) =>
		since === undefined ? undefined : Math.round(at - since);

	metrics.registerGauge('standing_jobs', service, () => standing?.size);
	metrics.registerGauge('oldest_standing_job_ms', service, () => {
		const [oldest] = groups;
		return standing && (oldest ? Math.round(now() - oldest.since) : 0);
	});
	metrics.registerGauge('unacknowledged_ends', service, () => ends?.ends);
	metrics.registerGauge(
		'oldest_unacknowledged_end_ms',
		service,
		() => ends && (getAgeMs(ends.oldestSeenAt, now()) ?? 0),
	);
	metrics.registerGauge(
		'oldest_unstored_change_ms',
		service,
		() => ends && (getAgeMs(unstoredSince, now()) ?? 0),
	);
	metrics.registerGauge(
		'executors_with_full_list',
		service,
		() => ends?.fullExecutors,
	);

	const countExecutors = (status: scheduler.ExecutorStatus) =>
		executors && (statusCounts[status] ?? 0);

	for (const status of scheduler.executorStatuses) {
		metrics.registerGauge('executors', `${service} ${status}`, () =>
			countExecutors(status),
		);
	}

	metrics.registerGauge('held_executors', service, () => holds?.length);
	metrics.registerGauge(
		'longest_hold_ms',
		service,
		() => holds && (holds[0]?.heldMs ?? 0),
	);
	metrics.registerGauge('executor_list_age_ms', service, () =>
		executors ? deps.getListAgeMs() : undefined,
	);

	const listUnusable = () =>
		executors?.filter(({status}) => status !== 'usable').slice(0, maxNamed);

	const logGroup = (
		owner: scheduler.Owner,
		{reason, jobs, oldestJob, task, since}: scheduler.StandingGroup,
		at: number,
	) => {
		const known = logged.get(reason);
		const isDue =
			known === undefined || at - known.loggedAt >= standingPeriods.repeatMs;
		if (at - since < standingPeriods.logAfterMs || !isDue) {
			return;
		}

		logged.set(reason, {since, loggedAt: at});
		logger.warn('jobs stand', {
			reason,
			jobs,
			job: oldestJob,
			task,
			standingMs: Math.round(at - since),
			unresolvedExecutors: owner.unresolvedExecutors.size,
			unstoredJobs: owner.dirtyJobs.size,
			unacknowledgedEnds: ends?.ends,
			oldestEndMs: getAgeMs(ends?.oldestSeenAt, at),
			oldestChangeMs: getAgeMs(unstoredSince, at),
			executorsWithFullList: ends?.fullExecutors,
			executors: statusCounts,
			held: holds && holds.length > 0 ? holds.slice(0, maxNamed) : undefined,
			listedExecutors: deps.listIds().length,
			executorListAgeMs: deps.getListAgeMs(),
			unusable:
				reason === scheduler.standingReasons.noExecutor
					? listUnusable()
					: undefined,
		});
	};

	const logEnded = (at: number) => {
		const lasting = new Set(groups.map(({reason}) => reason));
		for (const [reason, {since}] of logged) {
			if (!lasting.has(reason)) {
				logged.delete(reason);
				logger.info('jobs no longer stand', {
					reason,
					stoodMs: Math.round(at - since),
				});
			}
		}
	};

	return {
		updateIfDue(owner) {
			const at = now();
			if (at - inspectedAt < standingPeriods.inspectMs) {
				return;
			}

			inspectedAt = at;
			standing = scheduler.findStandingJobs(
				owner,
				standing ?? new Map(),
				deps.isConfirmed(),
				at,
			);
			groups = scheduler.groupStandingJobs(standing);
			ends = scheduler.countUnacknowledgedEnds(owner);
			unstoredSince = scheduler.getOldestUnstored(owner);
			executors = scheduler.describeExecutors(owner, deps.listIds(), at);
			statusCounts = scheduler.countStatuses(executors);
			holds = scheduler.listHolds(owner, at);
			for (const group of groups) {
				logGroup(owner, group, at);
			}

			logEnded(at);
		},
		stop() {
			standing = undefined;
			ends = undefined;
			executors = undefined;
			holds = undefined;
		},
	};
};
