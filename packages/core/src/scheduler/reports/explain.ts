/** Explains to operators why the tasks of a job do or do not run. */
import {isCrashSuspect} from '../polls/crash-evidence.js';
import {getSpeedFactor, isSlow} from '../executor-speed/speed-state.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {listUsable} from '../placement/place-task.js';
import {getStepId, isAdviceMissing} from '../placement/placement-advice.js';
import {
	isStepReady,
	isWaiting,
	type Job,
	type Step,
	type Task,
} from '../state/task.js';
import {computeTeamUse, mayTeamStart} from '../ranking/team-use.js';
import {explainRoom} from './explain-room.js';

/** State of one task and the reason for it. */
export type TaskExplanation = {
	readonly task: string;
	readonly state: 'done' | 'running' | 'waiting';
	/** Describes the run, or the reason why there is none. */
	readonly because: string;
};

const describeExecutor = (owner: Owner, id: string): string => {
	const speed = owner.executors.get(id)?.speed;
	return speed && isSlow(speed)
		? `${id} (slow: ${Math.round(100 * getSpeedFactor(speed))} percent of the usual speed)`
		: id;
};

/** Describes all runs of a task: a copy may run beside the original. */
const describeRuns = (owner: Owner, {runs}: Task): string =>
	runs
		.map(
			({number, executorId, state, percent}) =>
				`run ${number} on ${describeExecutor(owner, executorId)} is ${state}, ${percent} percent`,
		)
		.join('; ');

/** What bounds the start of a step is the advice service. */
const explainAdvice = (
	{advice, adviceWishes}: Owner,
	step: Step,
	now: number,
): string => {
	const own = advice.get(getStepId(step));
	const since = own?.wantedSince;
	const waitedMs = since === undefined ? 0 : Math.round(now - since);
	const state =
		own !== undefined && own.pendingRequests > 0
			? 'a request is under way'
			: `${adviceWishes.size} steps of the service wait for their turn`;
	return `it needs placement advice, wanted for ${waitedMs} ms: ${state}`;
};

const explainWaiting = (owner: Owner, task: Task, now: number): string => {
	const {step} = task;
	const {job} = step.occurrence;
	if (job.end) {
		return `the job is ${job.end}`;
	}

	if (!isStepReady(step)) {
		return `steps ${step.spec.after.join(', ')} are not all done`;
	}

	if (!isLocationKnown(owner, task)) {
		const {unresolvedExecutors, unreadExecutors, inheritedStarts} = owner;
		const startedOn = [...inheritedStarts].find(([, starts]) =>
			starts.some(({taskId}) => taskId === task.id),
		)?.[0];
		if (startedOn !== undefined) {
			return `an earlier owner's start of it on ${startedOn} has no answer and may be carried out yet`;
		}

		return unresolvedExecutors.size > 0
			? `it may still run on ${[...unresolvedExecutors.keys()].join(', ')}, which has not answered since the takeover`
			: `it may have ended on ${[...unreadExecutors.keys()].join(', ')}, which has not listed all ends since the takeover`;
	}

	if (isCrashSuspect(task)) {
		return `it may have crashed ${task.crashes.length} executors, and waits for one on which nothing else has started recently`;
	}

	if (!mayTeamStart(owner, computeTeamUse(owner), task)) {
		return `the cap of the team ${job.accepted.team} is used up, or its share here is`;
	}

	const usable = listUsable(owner, now);
	return isAdviceMissing(owner, step, usable, now)
		? explainAdvice(owner, step, now)
		: explainRoom(owner, usable, task);
};

const explainTask = (
	owner: Owner,
	task: Task,
	now: number,
): TaskExplanation => {
	if (task.isDone) {
		return {task: task.id, state: 'done', because: 'it has ended as done'};
	}

	return isWaiting(task)
		? {
				task: task.id,
				state: 'waiting',
				because: explainWaiting(owner, task, now),
			}
		: {task: task.id, state: 'running', because: describeRuns(owner, task)};
};

/** Explains each task of the loaded occurrences. */
export const explainJob = (
	owner: Owner,
	job: Job,
	now: number,
): readonly TaskExplanation[] =>
	[...job.occurrences.values()].flatMap(({steps}) =>
		steps.flatMap(({tasks}) =>
			tasks.map((task) => explainTask(owner, task, now)),
		),
	);
