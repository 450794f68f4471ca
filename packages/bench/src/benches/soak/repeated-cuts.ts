/** Cuts that follow a task from executor to executor. */
import {setTimeout as delay} from 'node:timers/promises';
import {linkStates, type Executor} from '@gullstand/users-platform/stand-ins';
import {waitUntil} from './daemons.js';
import {
	drawDisruption,
	pick,
	type TimedDisruption,
	type OfKind,
} from './schedule.js';
import {createPlainJob, type JobPlan} from './jobs.js';
import type {QueueMovesOptions} from './queue-moves.js';
import type {Recorder, SoakEvent} from './record.js';

/** Longest wait for the next start of the task. */
const startMaxMs = 20_000;

/** Beyond those of the other disruptions. */
const firstId = 2000;

/** Draws series of cuts on one task each, beside other disruptions. */
export const drawTaskCuts = (
	options: QueueMovesOptions,
): ReadonlyArray<
	OfKind<'task-cuts'> & Pick<TimedDisruption, 'id' | 'atMs'>
> => {
	const {random, only, count, schedule} = options;
	return schedule.length === 0 || (only && !only.includes('task-cuts'))
		? []
		: Array.from({length: count}, (_, index) => ({
				...drawDisruption('task-cuts', options),
				id: firstId + index,
				atMs: pick(random, schedule).atMs,
			}));
};

/** Longer than a lease, so that a run that is cut off is not done. */
const workMs = 9000;

/** Creates the job whose task the cuts follow. */
export const createCutJob = (
	{job, queue, atMs}: OfKind<'task-cuts'> & Pick<TimedDisruption, 'atMs'>,
	queues: readonly string[],
): JobPlan =>
	createPlainJob({id: job, queue: queues[queue]!, count: 1, workMs, atMs});

type StartEvent = Extract<SoakEvent, {readonly kind: 'start'}>;

/** Waits for the next start of a task, from an index of the record on. */
const findStart = async (
	{events}: Recorder,
	from: number,
	task: string,
): Promise<StartEvent | undefined> => {
	const find = () =>
		events
			.slice(from)
			.flatMap((event) => (event.kind === 'start' ? [event] : []))
			.find((start) => start.task === task);
	await waitUntil(async () => find() !== undefined, startMaxMs);
	return find();
};

const cutOff = async (executor: Executor, forMs: number) => {
	executor.setLink(linkStates.silent, false);
	await delay(forMs);
	executor.setLink(linkStates.open, true);
};

/** Cuts off the executors of the task, one after another. */
export const cutTask = async (
	{job, times, afterMs, forMs}: OfKind<'task-cuts'>,
	executors: readonly Executor[],
	recorder: Recorder,
): Promise<void> => {
	const task = `${job}.0.0.0`;
	const cuts: Array<Promise<void>> = [];
	let start = await findStart(recorder, 0, task);
	while (start && cuts.length < times) {
		const {executor: id} = start;
		await delay(afterMs);
		const executor = executors.find((each) => each.getId() === id);
		if (!executor?.isUp() || executor.isCut()) {
			break;
		}

		cuts.push(cutOff(executor, forMs));
		const next = recorder.events.indexOf(start) + 1;
		start = await findStart(recorder, next, task);
	}

	await Promise.all(cuts);
};
