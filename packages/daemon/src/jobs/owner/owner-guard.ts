/**
 * Runs the loops of one ownership. An exception in any of them, or a plan that
 * is not made any more, ends the ownership: the daemon's heartbeat would keep
 * the lease of an owner that does nothing.
 */
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import type {JobMetrics} from '../job-metrics.js';
import {periods} from '../periods.js';

/** Loops and handlers of an owner, as named in log lines and metrics. */
export type OwnerLoop =
	| 'start'
	| 'plan'
	| 'removal'
	| 'executor'
	| 'fence-check'
	| 'job-feed'
	| 'registry'
	| 'rows'
	| 'shares'
	| 'flush';

export type OwnerGuardDeps = {
	readonly logger: Pick<Logger, 'error'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
	readonly isStopped: () => boolean;
	/** Called once with the loop that failed. */
	readonly onFailed: (loop: OwnerLoop) => void;
};

export type OwnerGuard = {
	/** Runs a step of a loop at once. */
	readonly run: (loop: OwnerLoop, step: () => void) => void;
	/** Starts work without awaiting it. */
	readonly start: (loop: OwnerLoop, work: () => Promise<void>) => void;
	/** For parts that report the end of their own loop. */
	readonly createReporter: (loop: OwnerLoop) => ReportFailure;
	/** Notes that a plan was made. */
	readonly notePlan: () => void;
	/** Begins to watch whether plans are made. */
	readonly watchPlans: () => void;
	readonly stop: () => void;
};

/**
 * Checks in a row without a plan after which its loop counts as ended. They take
 * as long as a missing heartbeat; a daemon that was paused makes one check only.
 */
const maxChecksWithoutPlan = Math.ceil(
	periods.leaseMs / periods.planIntervalMs,
);

export const createOwnerGuard = (deps: OwnerGuardDeps): OwnerGuard => {
	let hasFailed = false;
	let checksWithoutPlan = 0;
	let watch: NodeJS.Timeout | undefined;

	const fail = (loop: OwnerLoop, err: Error) => {
		const isStopped = deps.isStopped();
		deps.metrics.count('owner_failures', loop);
		deps.logger.error('owner failed', {
			loop,
			isStopped,
			error: err.message,
			stack: err.stack,
		});
		if (!isStopped && !hasFailed) {
			hasFailed = true;
			deps.onFailed(loop);
		}
	};

	const createReporter = (loop: OwnerLoop): ReportFailure => {
		return (err) => {
			fail(loop, err);
		};
	};

	const checkPlans = () => {
		checksWithoutPlan += 1;
		if (checksWithoutPlan > maxChecksWithoutPlan) {
			checksWithoutPlan = 0;
			fail('plan', new Error('no plan was made any more'));
		}
	};

	return {
		run(loop, step) {
			try {
				step();
			} catch (err) {
				fail(loop, err as Error);
			}
		},
		start(loop, work) {
			runInBackground(work, createReporter(loop));
		},
		createReporter,
		notePlan() {
			checksWithoutPlan = 0;
		},
		watchPlans() {
			watch ??= setInterval(checkPlans, periods.planIntervalMs);
		},
		stop() {
			clearInterval(watch);
		},
	};
};
