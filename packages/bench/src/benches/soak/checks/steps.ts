/** Rules on the tasks of a step together: GANG and AVAIL. */
import {ruleBounds, parseTask} from '@gullstand/users-platform/stand-ins';
import {listTasks} from '../jobs.js';
import type {Break, History, Run} from './history.js';

/** After which a task that is away counts, whatever the cause. */
const noticeMs = 4500;

/** Until a long-running task is at work. */
const startupMs = 600;

const getJob = (history: History, {start}: Run) =>
	history.jobs.get(parseTask(start.task).job);

/** Members that waited for the others in calm. */
export const findLoneMembers = (history: History): readonly Break[] =>
	history.runs.flatMap((run) => {
		const {start, end, endMs} = run;
		const cancelMs =
			getJob(history, run)?.cancelSentMs ?? Number.POSITIVE_INFINITY;
		return end?.how === 'alone' &&
			endMs < cancelMs &&
			history.isCalm(start.atMs - ruleBounds.contactMs, endMs)
			? [
					{
						rule: 'GANG',
						text: `${start.task} run ${start.run} on ${start.executor} ended alone at ${endMs} ms`,
					},
				]
			: [];
	});

/** Whether a task is not at work at a time, and since when. */
const getAwaySinceMs = (
	runs: readonly Run[],
	atMs: number,
): number | undefined => {
	const past = runs.filter(({start}) => start.atMs <= atMs);
	const isAtWork = past.some(
		({start, endMs}) => start.atMs + startupMs <= atMs && endMs > atMs,
	);
	return isAtWork
		? undefined
		: Math.max(
				0,
				...past
					.filter(({start, endMs}) => endMs - start.atMs >= startupMs)
					.map(({endMs}) => endMs),
			);
};

/** Whether a task is away by an order, or for long. */
const isAway = (runs: readonly Run[], atMs: number): boolean => {
	const sinceMs = getAwaySinceMs(runs, atMs);
	const last = runs.findLast(
		({start, endMs}) => endMs <= atMs && endMs - start.atMs >= startupMs,
	);
	return (
		sinceMs !== undefined &&
		(last?.end?.how === 'stopped' ||
			last?.isEndedByOrder === true ||
			atMs - sinceMs >= noticeMs)
	);
};

/** Stops of long-running tasks at work beside too many others that are away. */
export const findUnallowedStops = (history: History): readonly Break[] =>
	history.runs.flatMap((run) => {
		const {start, end, endMs, isEndedByOrder} = run;
		const {job: id, occurrence, step: number} = parseTask(start.task);
		const job = history.jobs.get(id);
		const step = job?.plan.steps[number];
		const isOrdered =
			end?.how === 'stopped' ||
			isEndedByOrder ||
			(end?.how === 'lapsed' &&
				history.isCalm(endMs - ruleBounds.contactMs - 10_000, endMs));
		if (
			!step?.longRunning ||
			step.mayMiss === 0 ||
			!isOrdered ||
			endMs - start.atMs < startupMs ||
			endMs > (job?.cancelSentMs ?? Number.POSITIVE_INFINITY)
		) {
			return [];
		}

		const isDraining = history.events.some(
			(event) =>
				event.kind === 'draining' &&
				event.executor === start.executor &&
				event.bornMs === start.bornMs &&
				event.atMs <= endMs,
		);
		const away = listTasks(id, occurrence, number, step.count).filter(
			(task) =>
				task !== start.task &&
				isAway(history.runsByTask.get(task) ?? [], endMs),
		);
		return !isDraining && away.length >= step.mayMiss
			? [
					{
						rule: 'AVAIL',
						text: `${start.task} run ${start.run} on ${start.executor} is ${isEndedByOrder ? 'ended with its machine' : end?.how} at ${endMs} ms beside ${away.length} others that are away`,
					},
				]
			: [];
	});
