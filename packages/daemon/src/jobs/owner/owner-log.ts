/** Log lines and metrics of one owner's decisions and observations. */
import type {scheduler} from '@gullstand/core';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {histogramNames, type JobMetrics} from '../job-metrics.js';
import {getServiceShard} from '../rows/tables.js';

/** Writes log lines and metrics of one ownership. */
export type OwnerLog = {
	readonly logJobEnd: (job: string, end: string, reason: string) => void;
	readonly logPoll: (
		executor: scheduler.Executor,
		changes: scheduler.PollChanges,
	) => void;
	/** Logs runs that are certainly over, without a reported end. */
	readonly logLostRuns: (lost: scheduler.LostRuns, reason: string) => void;
	/** Logs the answer to a start whose executor was lost before it came. */
	readonly logSettledCrash: (
		run: scheduler.Run,
		answer: scheduler.StartAnswer['kind'],
		settled: scheduler.SettledCrash,
	) => void;
	/** Logs the answer to a start. */
	readonly logStart: (run: scheduler.Run, isStarted: boolean) => void;
	/** Logs executors that became slow or recovered, and copies of tasks. */
	readonly logSpeedEvents: (events: readonly scheduler.SpeedEvent[]) => void;
	readonly logFlush: (flush: scheduler.Flush) => void;
};

export type OwnerLogDeps = {
	readonly service: string;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: JobMetrics;
	readonly clock: Clock;
};

export const createOwnerLog = (deps: OwnerLogDeps): OwnerLog => {
	const {service, logger, metrics, clock} = deps;

	const logJobEnd: OwnerLog['logJobEnd'] = (job, end, reason) => {
		metrics.count('jobs_ended', end);
		logger.info('job ended', {job, end, reason});
	};

	const logJobEnds = (jobEnds: readonly scheduler.EndedJob[]) => {
		for (const {job, end, reason} of jobEnds) {
			logJobEnd(job, end, reason);
		}
	};

	const logSpeedEvent = (event: scheduler.SpeedEvent) => {
		match(event)
			.with({kind: 'executor-slow'}, ({executorId, speed}) => {
				metrics.count('slow_executors', 'became-slow');
				logger.info('executor slow', {
					executor: executorId,
					speed: Math.round(100 * speed) / 100,
				});
			})
			.with({kind: 'executor-recovered'}, ({executorId, slowMs}) => {
				metrics.count('slow_executors', 'recovered');
				logger.info('executor no longer slow', {
					executor: executorId,
					slowMs: Math.round(slowMs),
				});
			})
			.with({kind: 'copy-started'}, (copy) => {
				metrics.count('task_copies', 'started');
				logger.info('task copy', {
					task: copy.taskId,
					run: copy.run,
					executor: copy.executorId,
					percent: copy.percent,
					remainingMs: Math.round(copy.remainingMs),
					copy: copy.copy,
					copyExecutor: copy.copyExecutorId,
					copyMs: Math.round(copy.copyMs),
				});
			})
			.with({kind: 'copy-ended'}, ({taskId, copy, executorId, outcome}) => {
				metrics.count('task_copies', outcome);
				logger.info('task copy settled', {
					task: taskId,
					copy,
					copyExecutor: executorId,
					outcome,
				});
			})
			.exhaustive();
	};

	const logMeasuredRun = ({outcome, changes}: scheduler.MeasuredRun) => {
		metrics.count('run_times', outcome ?? 'declared');
		for (const {isInForce, error, ...change} of changes) {
			logger.info(
				isInForce ? 'run times are predicted' : 'run times are as declared',
				{service, ...change, error: Number(error.toFixed(2))},
			);
		}
	};

	const logSettledLosses = (losses: readonly scheduler.SettledLoss[]) => {
		for (const {executorId, outcome, taskIds} of losses) {
			if (taskIds.length > 0) {
				logger.info('lost executor settled', {
					executor: executorId,
					outcome,
					tasks: taskIds.length,
					task: taskIds[0],
				});
			}
		}
	};

	return {
		logJobEnd,
		logPoll(executor, changes) {
			if (changes.isRestarted) {
				metrics.count('executor_restarts', service);
			}

			for (const {taskId, run, how, failures} of changes.ends) {
				metrics.count('runs_ended', how);
				logger.info('task end', {
					task: taskId,
					run,
					how,
					failures,
					executor: executor.id,
				});
			}

			for (const key of changes.vanished) {
				logger.warn('run missing on executor', {
					run: key,
					executor: executor.id,
				});
			}

			for (const each of changes.measuredRuns) {
				logMeasuredRun(each);
			}

			logSettledLosses(changes.settledLosses);
			logJobEnds(changes.jobEnds);
		},
		logLostRuns({runs, outwaited, settledLosses, jobEnds}, reason) {
			for (const {id, waitedMs, ...starts} of outwaited) {
				metrics.count('executors_outwaited', service);
				logger.info('inherited leases expired', {
					shard: getServiceShard(service),
					executor: id,
					...starts,
					waitedMs: Math.round(waitedMs),
				});
			}

			for (const run of runs) {
				const {task, number, executorId, isIsolated, askedAt, wasSeen} = run;
				metrics.count('runs_ended', 'lost');
				logger.warn('run given up', {
					task: task.id,
					run: number,
					executor: executorId,
					reason,
					wasSeen,
					askedMs: Math.round(clock.now() - askedAt),
					crash: task.crashes.find(({run}) => run === number),
					crashes: task.crashes.length,
					isIsolated,
				});
			}

			logSettledLosses(settledLosses);
			logJobEnds(jobEnds);
		},
		logSettledCrash(
			{task, number, executorId},
			answer,
			{isWithdrawn, jobEnds},
		) {
			logger.info('crash settled', {
				task: task.id,
				run: number,
				executor: executorId,
				answer,
				isWithdrawn,
				crashes: task.crashes.length,
			});
			logJobEnds(jobEnds);
		},
		logStart(run, isStarted) {
			const {accepted, hasStarted} = run.task.step.occurrence.job;
			metrics.count('starts', isStarted ? 'started' : 'not-started');
			metrics.record(histogramNames.start, service, clock.now() - run.askedAt);
			if (isStarted && !hasStarted) {
				const waitedMs = clock.epochNow() - accepted.acceptedAtEpochMs;
				metrics.record(
					histogramNames.firstStart,
					accepted.policy.queue,
					waitedMs,
				);
			}
		},
		logSpeedEvents(events) {
			for (const event of events) {
				logSpeedEvent(event);
			}
		},
		logFlush({jobs}) {
			for (const {job, end} of jobs) {
				if (end === 'completed') {
					const tookMs = clock.epochNow() - job.accepted.acceptedAtEpochMs;
					metrics.record(histogramNames.job, job.accepted.policy.queue, tookMs);
					logJobEnd(
						job.accepted.id,
						end,
						`all tasks done in ${Math.round(tookMs)} ms`,
					);
				}
			}
		},
	};
};
