/** Guards against speed events without a line, and against unbounded series. */
import type {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import winston from 'winston';
import {createJobMetrics} from '../job-metrics.js';
import {createOwnerLog} from './owner-log.js';

const taskId = 'a.0.0.0';

const events: readonly scheduler.SpeedEvent[] = [
	{kind: 'executor-slow', executorId: 'x', speed: 0.2012},
	{kind: 'executor-recovered', executorId: 'x', slowMs: 6001.4},
	{
		kind: 'copy-started',
		taskId,
		run: 1,
		executorId: 'x',
		percent: 10,
		remainingMs: 4500.2,
		copy: 2,
		copyExecutorId: 'y',
		copyMs: 1000,
	},
	{kind: 'copy-ended', taskId, copy: 2, executorId: 'y', outcome: 'won'},
	{kind: 'copy-ended', taskId, copy: 2, executorId: 'y', outcome: 'lost'},
];

tap.t.test('slow executors and copies are logged and counted', async (t) => {
	const lines: Array<readonly [string, unknown]> = [];
	const logger = winston.createLogger({silent: true});
	logger.info = ((message: string, fields: unknown) => {
		lines.push([message, fields]);
		return logger;
	}) as typeof logger.info;
	const metrics = createJobMetrics();
	const clock = {now: () => 0, epochNow: () => 0};
	const log = createOwnerLog({service: 's', logger, metrics, clock});
	log.logSpeedEvents(events);
	t.match(lines, [
		['executor slow', {executor: 'x', speed: 0.2}],
		['executor no longer slow', {executor: 'x', slowMs: 6001}],
		['task copy', {task: taskId, run: 1, copy: 2, copyExecutor: 'y'}],
		['task copy settled', {task: taskId, copy: 2, outcome: 'won'}],
		['task copy settled', {outcome: 'lost'}],
	]);
	t.equal(
		metrics.formatText(),
		[
			'gullstand_slow_executors{label="became-slow"} 1',
			'gullstand_slow_executors{label="recovered"} 1',
			'gullstand_task_copies{label="started"} 1',
			'gullstand_task_copies{label="won"} 1',
			'gullstand_task_copies{label="lost"} 1',
			'',
		].join('\n'),
	);
});
