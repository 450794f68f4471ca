/**
 * A line every two seconds about an owner's own load: how much waits, why
 * executors take nothing, how long plans and starts take and how late the
 * event loop runs. Without it an owner that cannot keep up looks like silent
 * executors.
 */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

/** Between two lines, in milliseconds: half a line a second at most. */
const reportMs = 2000;

/** What the report needs. */
export type LoadReportDeps = {
	readonly logger: Pick<Logger, 'info'>;
	readonly now: () => number;
};

/** Figures of one owner between two lines. */
export type LoadReport = {
	/** A plan was made, in so many milliseconds. */
	readonly recordPlan: (tookMs: number) => void;
	/** A start was answered, or given up, after so many milliseconds. */
	readonly recordStart: (tookMs: number, isAnswered: boolean) => void;
	/** A timer ran so many milliseconds after its time. */
	readonly recordTimerDelay: (lateMs: number) => void;
	/** Writes the line if it is due. */
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

/** Creates a report that is due after the first period. */
export const createLoadReport = ({logger, now}: LoadReportDeps): LoadReport => {
	let figures = createFigures();
	let since = now();
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
			if (at - since < reportMs) {
				return;
			}

			const overview = scheduler.describeOwner(owner, at);
			const {planMs, startMs, starts} = figures;
			if (overview.openJobs > 0) {
				logger.info('owner load', {
					...overview,
					periodMs: Math.round(at - since),
					plans: figures.plans,
					planMs: Math.round(planMs),
					longestPlanMs: Math.round(figures.longestPlanMs),
					starts,
					meanStartMs: Math.round(startMs / Math.max(1, starts)),
					longestStartMs: Math.round(figures.longestStartMs),
					unansweredStarts: figures.unansweredStarts,
					longestTimerLagMs: Math.round(figures.longestTimerLagMs),
				});
			}

			figures = createFigures();
			since = at;
		},
	};
};
