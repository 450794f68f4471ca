/**
 * Workers in memory, for the embedded daemon, tests and benches. A task runs
 * while its lease is renewed, by the clock of the options.
 */
import * as core from '@gullstand/core';
import type {
	TaskReport,
	TaskSpec,
	WorkerError,
	Workers,
} from '../ports/workers.js';

/** Actual behaviour of a task, regardless of what its job declared. */
export type TaskBehaviour = {
	readonly runMs: number;
	readonly coresUsed: number;
	readonly memoryMbUsed: number;
	/** Reason of its failure at the end; absent if it succeeds. */
	readonly failure?: string;
};

/** Options of workers in memory. */
export type MemoryWorkersOptions = {
	readonly workers: readonly string[];
	/** Returns the present time, in milliseconds. */
	readonly now: () => number;
	/** Age of the reported usage, in milliseconds. */
	readonly reportAgeMs?: number;
	readonly getBehaviour?: (worker: string, task: TaskSpec) => TaskBehaviour;
	/** Returns the current incarnation; a reboot of any other is refused. */
	readonly getIncarnation?: (worker: string) => string | undefined;
	/** Called on a reboot, so that the instance list can show it. */
	readonly onReboot?: (worker: string) => void;
};

type Task = {
	readonly spec: TaskSpec;
	readonly behaviour: TaskBehaviour;
	/** Work done until `countedAt`, in milliseconds at full speed. */
	doneMs: number;
	countedAt: number;
	share: number;
	leaseUntil: number;
	state: TaskReport['state'];
	checkpoint: string | undefined;
	reason: string | undefined;
};

type Worker = {
	readonly tasks: Map<string, Task>;
};

const isActive = (task: Task): boolean =>
	task.state === 'running' || task.state === 'throttled';

const endTask = (
	task: Task,
	state: 'done' | 'failed' | 'stopped',
	reason?: string,
): void => {
	task.state = state;
	task.reason = reason;
};

/** Advances a task to `now`, and ends it if its work or lease is over. */
const advanceTask = (task: Task, now: number): void => {
	if (!isActive(task)) {
		return;
	}

	const until = Math.min(now, task.leaseUntil);
	task.doneMs += Math.max(0, until - task.countedAt) * task.share;
	task.countedAt = now;
	const {runMs, failure} = task.behaviour;
	if (task.doneMs >= runMs) {
		endTask(task, failure === undefined ? 'done' : 'failed', failure);
	} else if (now >= task.leaseUntil) {
		endTask(task, 'stopped', 'lease expired');
	}
};

const createTask = (
	spec: TaskSpec,
	behaviour: TaskBehaviour,
	now: number,
): Task => ({
	spec,
	behaviour,
	doneMs: 0,
	countedAt: now,
	share: 1,
	leaseUntil: now + spec.leaseMs,
	state: 'running',
	checkpoint: spec.checkpoint,
	reason: undefined,
});

const describeTask = (task: Task): TaskReport => ({
	taskId: task.spec.taskId,
	jobId: task.spec.jobId,
	state: task.state,
	coresUsed: isActive(task) ? task.behaviour.coresUsed * task.share : 0,
	memoryMbUsed: isActive(task) ? task.behaviour.memoryMbUsed : 0,
	...(task.checkpoint !== undefined && {checkpoint: task.checkpoint}),
	...(task.reason !== undefined && {reason: task.reason}),
});

const refuse = (reason: string) =>
	core.fail<WorkerError>({kind: 'refused', reason});

const startTask = (
	worker: Worker,
	spec: TaskSpec,
	behaviour: TaskBehaviour,
	now: number,
) => {
	const previous = worker.tasks.get(spec.taskId);
	if (previous && spec.fencingToken <= previous.spec.fencingToken) {
		return refuse('fencing token is too low');
	}

	if (previous && isActive(previous)) {
		return refuse('task runs');
	}

	worker.tasks.set(spec.taskId, createTask(spec, behaviour, now));
	return core.succeed(undefined);
};

const getDefaultBehaviour = (_: string, task: TaskSpec): TaskBehaviour => ({
	runMs: Number.POSITIVE_INFINITY,
	coresUsed: task.cores,
	memoryMbUsed: task.memoryMb,
});

/** Creates workers without tasks. Renewing an ended task has no effect. */
export const createMemoryWorkers = (options: MemoryWorkersOptions): Workers => {
	const {now, reportAgeMs = 0} = options;
	const getBehaviour = options.getBehaviour ?? getDefaultBehaviour;
	const workers = new Map<string, Worker>(
		options.workers.map((id) => [id, {tasks: new Map()}]),
	);
	const withWorker = async <Value>(
		id: string,
		action: (worker: Worker, at: number) => core.Result<Value, WorkerError>,
	): Promise<core.Result<Value, WorkerError>> => {
		const worker = workers.get(id);
		if (!worker) {
			return core.fail({kind: 'unreachable'});
		}

		const at = now();
		for (const task of worker.tasks.values()) {
			advanceTask(task, at);
		}

		return action(worker, at);
	};

	const getActiveTasks = (worker: Worker, taskIds: readonly string[]): Task[] =>
		taskIds
			.map((taskId) => worker.tasks.get(taskId))
			.filter((task) => task !== undefined)
			.filter((task) => isActive(task));

	return {
		start: async (id, spec) =>
			withWorker(id, (worker, at) =>
				startTask(worker, spec, getBehaviour(id, spec), at),
			),
		renew: async (id, taskIds, leaseMs) =>
			withWorker(id, (worker, at) => {
				for (const task of getActiveTasks(worker, taskIds)) {
					task.leaseUntil = at + leaseMs;
				}

				return core.succeed(undefined);
			}),
		checkpoint: async (id, taskId) =>
			withWorker(id, (worker, at) => {
				const [task] = getActiveTasks(worker, [taskId]);
				if (!task) {
					return refuse('no such task runs');
				}

				task.checkpoint = `checkpoints/${taskId}/${at}`;
				return core.succeed(task.checkpoint);
			}),
		throttle: async (id, taskId, share) =>
			withWorker(id, (worker) => {
				const [task] = getActiveTasks(worker, [taskId]);
				if (!task) {
					return refuse('no such task runs');
				}

				task.share = share;
				task.state = share < 1 ? 'throttled' : 'running';
				return core.succeed(undefined);
			}),
		stop: async (id, taskIds) =>
			withWorker(id, (worker) => {
				for (const task of getActiveTasks(worker, taskIds)) {
					endTask(task, 'stopped', 'asked to stop');
				}

				return core.succeed(undefined);
			}),
		report: async (id) =>
			withWorker(id, (worker, at) =>
				core.succeed({
					worker: id,
					measuredAt: at - reportAgeMs,
					tasks: [...worker.tasks.values()].map((task) => describeTask(task)),
				}),
			),
		reboot: async (id, incarnation) =>
			withWorker(id, (worker) => {
				const current = options.getIncarnation?.(id) ?? incarnation;
				if (current !== incarnation) {
					return core.fail({kind: 'refused', reason: 'another life'});
				}

				for (const task of getActiveTasks(worker, [...worker.tasks.keys()])) {
					endTask(task, 'stopped', 'reboot');
				}

				options.onReboot?.(id);
				return core.succeed(undefined);
			}),
	};
};
