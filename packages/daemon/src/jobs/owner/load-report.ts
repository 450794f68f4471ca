/**
 * Logs an owner's load every two seconds: waiting tasks, why executors accept
 * none, the durations of plans and starts, and timer delays. The log line shows
 * whether the owner is overloaded or executors are unresponsive.
 */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

/** Time between two log lines, in milliseconds. */
const reportMs = 2000;

export type LoadReportDeps = {
	readonly logger: Pick<Logger, 'info'>;
	readonly now: () => number;
	/** Ids of the executors that the registry lists for the service. */
	readonly listIds: () => readonly string[];
};

/** Figures of one owner since the last log line. */
export type LoadReport = {
	/** Records the duration of a plan, in milliseconds. */
	readonly recordPlan: (tookMs: number) => void;
	/** Records the time from a start to its answer or timeout, in milliseconds. */
	readonly recordStart: (tookMs: number, isAnswered: boolean) => void;
	/** Records by how many milliseconds a timer fired late. */
	readonly recordTimerDelay: (lateMs: number) => void;
	/** Logs the figures once the period is over and starts a new one. */
	readonly writeIfDue: (owner: scheduler.Owner) => void;
};

type Figures = {
	plans: number;
	planMs: number;
	longestPlanMs: number;
	starts: number;
	startMs: number;
	longestStartMs: number;
	unansweredStarts: number;
	longestTimerLagMs: number;
};

const createFigures = (): Figures => ({
	plans: 0,
	planMs: 0,
	longestPlanMs: 0,
	starts: 0,
	startMs: 0,
	longestStartMs: 0,
	unansweredStarts: 0,
	longestTimerLagMs: 0,
});

/** Creates a report whose first period begins now. */
export const createLoadReport = ({
	logger,
	now,
	listIds,
}: LoadReportDeps): LoadReport => {
	let figures = createFigures();
	let periodStart = now();
	return {
		recordPlan(tookMs) {
			figures.plans += 1;
			figures.planMs += tookMs;
			figures.longestPlanMs = Math.max(figures.longestPlanMs, tookMs);
		},
		recordStart(tookMs, isAnswered) {
			figures.starts += 1;
			figures.startMs += tookMs;
			figures.longestStartMs = Math.max(figures.longestStartMs, tookMs);
			figures.unansweredStarts += isAnswered ? 0 : 1;
		},
		recordTimerDelay(lateMs) {
			figures.longestTimerLagMs = Math.max(figures.longestTimerLagMs, lateMs);
		},
		writeIfDue(owner) {
			const at = now();
			if (at - periodStart < reportMs) {
				return;
			}

			const overview = scheduler.describeOwner(owner, listIds(), at);
			const {planMs, startMs, starts} = figures;
			if (overview.openJobs > 0) {
				logger.info('owner load', {
					...overview,
					periodMs: Math.round(at - periodStart),
					plans: figures.plans,
					planMs: Math.round(planMs),
					longestPlanMs: Math.round(figures.longestPlanMs),
					starts,
					meanStartMs: Math.round(startMs / Math.max(1, starts)),
					longestStartMs: Math.round(figures.longestStartMs),
					unansweredStarts: figures.unansweredStarts,
					longestTimerLagMs: Math.round(figures.longestTimerLagMs),
					runTimeModels: owner.runTimes.inForce,
					runTimeSamples: owner.runTimes.version,
				});
			}

			figures = createFigures();
			periodStart = at;
		},
	};
};
