/**
 * LOST: for 3 s a job has nothing running while a task's turn has come and there
 * is room for it twice over; a long-running task by itself, from 6 s after its
 * last run.
 */
import {parseTask} from '@gullstand/users-platform/stand-ins';
import {listTasks, type JobStep} from '../jobs.js';
import type {JobRecord} from '../traffic.js';
import {
	countOccurrences,
	isKind,
	toIncarnationKey,
	type Break,
	type History,
	type Run,
} from './history.js';

const tickMs = 250;

const standingMs = 3000;

const calmBeforeMs = 4000;

const restartMs = 6000;

/** Within which all daemons use a new configuration. */
const applyMs = 5000;

type Executor = {
	readonly key: string;
	readonly service: string;
	readonly cpu: number;
	readonly memMb: number;
};

/** Executors that are up at a time, with their capacity then. */
const listExecutors = (history: History, atMs: number): readonly Executor[] => {
	const up = new Map<string, Executor>();
	const changes = history.events.filter(
		isKind('up', 'capacity', 'down', 'draining', 'mute'),
	);
	for (const event of changes) {
		if (event.atMs > atMs) {
			break;
		}

		switch (event.kind) {
			case 'up': {
				const key = toIncarnationKey(event);
				const {service, cpu, memMb} = event;
				up.set(key, {key, service, cpu, memMb});
				break;
			}

			case 'capacity': {
				const key = toIncarnationKey(event);
				const {cpu, memMb} = event;
				const known = up.get(key);
				if (known) {
					up.set(key, {...known, cpu, memMb});
				}

				break;
			}

			case 'down':
			case 'draining':
			case 'mute': {
				up.delete(toIncarnationKey(event));
				break;
			}
		}
	}

	return [...up.values()];
};

type Free = Executor & {
	readonly usedCpu: number;
	readonly usedMemMb: number;
	/** Jobs and steps of its runs, one for each run. */
	readonly steps: readonly string[];
};

export const toStepKey = (task: string): string =>
	task.slice(0, task.lastIndexOf('.'));

/** Runs under way at a time. */
export const listActive = (history: History, atMs: number): readonly Run[] =>
	history.runs.filter(({start, endMs}) => start.atMs <= atMs && endMs > atMs);

/** What executors that are up have free at a time. */
export const getFree = (
	history: History,
	active: readonly Run[],
	atMs: number,
): readonly Free[] =>
	listExecutors(history, atMs).map((executor) => {
		let usedCpu = 0;
		let usedMemMb = 0;
		const steps: string[] = [];
		for (const {start} of active) {
			if (toIncarnationKey(start) === executor.key) {
				const {job, step} = parseTask(start.task);
				const work = history.jobs.get(job)?.plan.steps[step];
				usedCpu += work?.cpu ?? 0;
				usedMemMb += work?.memMb ?? 0;
				steps.push(toStepKey(start.task));
			}
		}

		return {...executor, usedCpu, usedMemMb, steps};
	});

/** For how many tasks of a step there is room, by the key of the step. */
export const countRoom = (
	free: readonly Free[],
	{cpu, memMb, antiAffinity}: JobStep,
	key: string,
): number => {
	let room = 0;
	for (const each of free) {
		const beside = each.steps.filter((step) => step === key).length;
		room += Math.max(
			0,
			Math.floor(
				Math.min(
					antiAffinity > 0 ? antiAffinity - beside : Number.POSITIVE_INFINITY,
					(each.cpu - each.usedCpu) / cpu,
					(each.memMb - each.usedMemMb) / memMb,
				),
			),
		);
	}

	return room;
};

const sum = (values: readonly number[]): number =>
	values.reduce((total, each) => total + each, 0);

/** What of a job could run at a time, and since when nothing does. */
type Waiting = {
	readonly name: string;
	readonly step: JobStep;
	readonly sinceMs: number;
	/** How many tasks must fit. */
	readonly tasks: number;
};

/** Long-running tasks that have not run for long, each by itself. */
const listIdleTasks = (
	history: History,
	step: JobStep,
	tasks: readonly string[],
	{atMs, turnMs}: {readonly atMs: number; readonly turnMs: number},
): readonly Waiting[] =>
	tasks.flatMap((task) => {
		const ends = (history.runsByTask.get(task) ?? [])
			.filter(({start}) => start.atMs <= atMs)
			.map(({endMs}) => endMs);
		const sinceMs = Math.max(turnMs, ...ends) + restartMs - standingMs;
		return sinceMs <= atMs ? [{name: task, step, sinceMs, tasks: 1}] : [];
	});

const listWaiting = (
	history: History,
	job: JobRecord,
	atMs: number,
): readonly Waiting[] => {
	const {plan} = job;
	const allRuns = plan.steps.flatMap((step, number) =>
		Array.from({length: countOccurrences(job)}, (_, occurrence) =>
			listTasks(plan.id, occurrence, number, step.count),
		)
			.flat()
			.flatMap((task) => history.runsByTask.get(task) ?? []),
	);
	const past = allRuns.filter(({start}) => start.atMs <= atMs);
	const lastMs = Math.max(
		job.acceptedMs ?? 0,
		...past.map(({endMs}) => Math.min(endMs, atMs)),
	);
	const isRunning = past.some(({endMs}) => endMs > atMs);
	const waiting: Waiting[] = [];
	for (
		let occurrence = 0;
		occurrence < countOccurrences(job);
		occurrence += 1
	) {
		const dueMs =
			plan.times > 0
				? job.startAtEpochMs + occurrence * plan.intervalMs - history.epochMs
				: 0;
		for (const [number, step] of plan.steps.entries()) {
			const doneMs = step.after.flatMap((earlier) =>
				listTasks(plan.id, occurrence, earlier, plan.steps[earlier]!.count).map(
					(task) => history.getDoneMs(task) ?? Number.POSITIVE_INFINITY,
				),
			);
			const turnMs = Math.max(job.acceptedMs ?? 0, dueMs, ...doneMs);
			if (turnMs > atMs) {
				continue;
			}

			const open = listTasks(plan.id, occurrence, number, step.count).filter(
				(task) => (history.getDoneMs(task) ?? Number.POSITIVE_INFINITY) > atMs,
			);
			if (step.longRunning) {
				waiting.push(...listIdleTasks(history, step, open, {atMs, turnMs}));
			} else if (!isRunning && open.length > 0) {
				waiting.push({
					name: plan.id,
					step,
					sinceMs: Math.max(turnMs, lastMs),
					tasks: step.gang ? step.count : 1,
				});
			}
		}
	}

	return waiting;
};

/** Time after which a job is not owed any more. */
const getClosedMs = ({states, cancelSentMs}: JobRecord): number =>
	Math.min(
		cancelSentMs ?? Number.POSITIVE_INFINITY,
		states.find(({state}) =>
			['completed', 'failed', 'cancelled'].includes(state),
		)?.atMs ?? Number.POSITIVE_INFINITY,
	);

/** Services to which a job's queue has been sent since its submission. */
const listServices = (
	history: History,
	{plan, firstSentMs}: JobRecord,
	atMs: number,
): readonly string[] => {
	const services = new Set<string>();
	for (const [
		index,
		{atMs: fromMs, routes},
	] of history.configurations.entries()) {
		const untilMs =
			history.configurations[index + 1]?.atMs ?? Number.POSITIVE_INFINITY;
		const service = routes[plan.queue];
		// A submission may be handled by a configuration that is older by a while.
		const isOld = untilMs < (firstSentMs ?? 0) - applyMs;
		if (service !== undefined && fromMs <= atMs && !isOld) {
			services.add(service);
		}
	}

	return [...services];
};

/** What is free in a service at a time. */
const measure = (
	free: readonly Free[],
	service: string,
	{name, step}: Waiting,
) => {
	const own = free.filter((each) => each.service === service);
	return {
		room: countRoom(own, step, toStepKey(name)),
		used: sum(own.map(({usedCpu}) => usedCpu)),
		all: sum(own.map(({cpu}) => cpu)),
	};
};

/** Finds jobs that stand in calm; one break a job or long-running task. */
export const findStanding = (history: History): readonly Break[] => {
	const found = new Map<string, Break>();
	/** Since when the condition holds, by what waits. */
	const since = new Map<string, number>();
	const accepted = [...history.jobs.values()].filter(
		(job) => job.acceptedMs !== undefined,
	);
	for (let atMs = 0; atMs < history.endMs; atMs += tickMs) {
		const active = listActive(history, atMs);
		const free = getFree(history, active, atMs);
		const seen = new Set<string>();
		for (const job of accepted) {
			if ((job.acceptedMs ?? 0) > atMs || getClosedMs(job) <= atMs) {
				continue;
			}

			const services = listServices(history, job, atMs);
			for (const waiting of listWaiting(history, job, atMs)) {
				const {name, step, sinceMs, tasks} = waiting;
				const measured = services.map((each) => measure(free, each, waiting));
				const isFree = measured.every(
					({room, used, all}) =>
						room >= 2 * tasks && (used < all / 2 || step.longRunning),
				);
				if (!isFree) {
					continue;
				}

				seen.add(name);
				const fromMs = Math.max(sinceMs, since.get(name) ?? atMs);
				since.set(name, fromMs);
				if (
					atMs - fromMs >= standingMs &&
					!found.has(name) &&
					history.isCalmBesideUpkeep(fromMs - calmBeforeMs, atMs)
				) {
					found.set(name, {
						rule: 'LOST',
						text: `${name} (${job.plan.kind}) of ${services.join(', ')} stands from ${Math.round(fromMs)} to ${atMs} ms: room for ${measured.map(({room}) => room).join(', ')} such tasks, ${measured.map(({used, all}) => `${used} of ${all}`).join(', ')} thousandths of cores in use`,
					});
				}
			}
		}

		for (const name of since.keys()) {
			if (!seen.has(name)) {
				since.delete(name);
			}
		}
	}

	return [...found.values()];
};
