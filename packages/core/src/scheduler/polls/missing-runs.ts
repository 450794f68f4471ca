/** Runs that an owner knows and an executor does not list any more. */
import {getRunKey, type Executor} from '../state/executor.js';
import type {Run} from '../state/task.js';
import type {ExecutorPoll} from './poll-answer.js';

const toKeys = (
	listed: ReadonlyArray<{readonly taskId: string; readonly run: number}>,
): ReadonlySet<string> =>
	new Set(listed.map(({taskId, run}) => getRunKey(taskId, run)));

const isConfirmedBefore = ({confirmedAt}: Run, at: number): boolean =>
	confirmedAt !== undefined && confirmedAt < at;

/**
 * Lists runs that were confirmed before a poll was sent and are not running. The
 * stop that barred a run may have reached the incarnation before only, and its
 * start may yet come, until the executor is fenced.
 */
export const listVanishedRuns = (
	executor: Executor,
	{running, sentAt}: ExecutorPoll,
): readonly Run[] => {
	const listed = toKeys(running);
	return [...executor.runs].flatMap(([key, run]) =>
		isConfirmedBefore(run, sentAt) &&
		!listed.has(key) &&
		(executor.isFenced || run.wasSeen)
			? [run]
			: [],
	);
};

/**
 * Lists the runs that are lost with the previous incarnation of an executor. A
 * start without an answer is among them if the executor had stopped answering,
 * since it may have been the cause.
 */
export const listRunsLostByRestart = (
	executor: Executor,
	{running, ends, sentAt}: ExecutorPoll,
): readonly Run[] => {
	const listed = toKeys([...running, ...ends]);
	return [...executor.runs].flatMap(([key, run]) => {
		const wasThere =
			run.confirmedAt === undefined
				? executor.unresponsiveSince !== undefined
				: isConfirmedBefore(run, sentAt);
		return wasThere && !listed.has(key) ? [run] : [];
	});
};
