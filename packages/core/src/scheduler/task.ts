/** Jobs, occurrences, steps, tasks and runs as their owner holds them. */
import type {AcceptedJob, Schedule, StepSpec} from './types.js';

/**
 * A start that was ordered.
 * - `asked`: the order is out, no answer yet.
 * - `unsettled`: no answer came; it may run, or may yet start.
 * - `barring`: a stop was sent so that it can never start.
 * - `running`: seen or confirmed.
 * - `stopping`: a stop was sent to what runs.
 */
export type RunState =
	'asked' | 'unsettled' | 'barring' | 'running' | 'stopping';

/** One run of a task on one executor. */
export type Run = {
	readonly task: Task;
	readonly number: number;
	readonly executorId: string;
	state: RunState;
	readonly askedAt: number;
	/** When an answer proved it to be there; absent before. */
	confirmedAt: number | undefined;
	/** Progress that the executor reports, 0 to 100. */
	percent: number;
	/** When the progress last rose. */
	progressedAt: number;
	/** Tail in milliseconds for a task with a target, else cpu in use. */
	load: number;
	/** Share at which it may work, 0 to 100. */
	speedLimitPercent: number;
	/** A stop has been ordered and its answer has not come. */
	isStopPending: boolean;
	/** A stop had no answer, and no look has listed the run since. */
	mayHaveStopped: boolean;
};

/** One task of one occurrence. */
export type Task = {
	readonly id: string;
	readonly step: Step;
	readonly index: number;
	isDone: boolean;
	/** Attempts that were spent, by it or by any member of its gang. */
	failures: number;
	/** Its runs that ended as failed, lowest first; see attempts.ts. */
	failedRuns: readonly number[];
	checkpoint: string | undefined;
	/** The run that the checkpoint is of; 0 if that is not known. */
	checkpointRun: number;
	runs: Run[];
	/** The highest run number given so far by this owner. */
	lastRun: number;
	/** Executor on which it failed last; avoided if there is another. */
	failedOn: string | undefined;
};

/** One step of one occurrence. */
export type Step = {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	doneCount: number;
};

/** One time that the steps run. */
export type Occurrence = {
	readonly job: Job;
	readonly number: number;
	/** Time of day from which it may start. */
	readonly dueAtEpochMs: number;
	readonly steps: readonly Step[];
};

/** How a job has ended, if it has. */
export type JobEnd = 'completed' | 'failed' | 'cancelled';

/** A job in the hands of its owner. */
export type Job = {
	readonly accepted: AcceptedJob;
	/** Accepted under an earlier owner, who may have started its tasks. */
	readonly isInherited: boolean;
	readonly occurrences: Map<number, Occurrence>;
	/** Occurrences that are wholly done, also those no longer held. */
	doneOccurrences: number;
	nextOccurrence: number;
	end: JobEnd | undefined;
	/** The end as the store has it; only this is shown to callers. */
	storedEnd: JobEnd | undefined;
	endedAt: number | undefined;
	hasStarted: boolean;
	/** Work on hand of the tasks that are not done, in cpu-milliseconds. */
	remainingWork: number;
	readonly totalWork: number;
};

/** Id of a task, unique over all queues. */
export const formatTaskId = (
	jobId: string,
	occurrence: number,
	step: number,
	index: number,
): string => `${jobId}.${occurrence}.${step}.${index}`;

/** The parts of a task's id, or `undefined` for any other text. */
export const parseTaskId = (
	id: string,
):
	| {jobId: string; occurrence: number; step: number; index: number}
	| undefined => {
	const [jobId, ...rest] = id.split('.');
	const [occurrence, step, index] = rest.map(Number);
	if (
		jobId === undefined ||
		occurrence === undefined ||
		step === undefined ||
		index === undefined ||
		![occurrence, step, index].every((each) => Number.isInteger(each))
	) {
		return undefined;
	}

	return {jobId, occurrence, step, index};
};

const workOfTask = ({resources, estimateMs}: StepSpec): number =>
	Math.max(1, resources.cpuMillis) * Math.max(1, estimateMs);

/** Work of one task in cpu-milliseconds, by the caller's estimate. */
export const getTaskWork = (task: Task): number => workOfTask(task.step.spec);

const createTask = (step: Step, index: number): Task => {
	const {occurrence, number} = step;
	const {id} = occurrence.job.accepted;
	return {
		id: formatTaskId(id, occurrence.number, number, index),
		step,
		index,
		isDone: false,
		failures: 0,
		failedRuns: [],
		checkpoint: undefined,
		checkpointRun: 0,
		runs: [],
		lastRun: 0,
		failedOn: undefined,
	};
};

const createStep = (
	occurrence: Occurrence,
	spec: StepSpec,
	number: number,
): Step => {
	const tasks: Task[] = [];
	const step: Step = {occurrence, number, spec, tasks, doneCount: 0};
	for (let index = 0; index < spec.count; index++) {
		tasks.push(createTask(step, index));
	}

	return step;
};

const getDueTime = (schedule: Schedule | undefined, number: number): number =>
	schedule ? schedule.startAtEpochMs + number * schedule.intervalMs : 0;

/** How many times the steps of a job run. */
export const countOccurrences = (job: Job): number =>
	job.accepted.spec.schedule?.times ?? 1;

const createOccurrence = (job: Job, number: number): Occurrence => {
	const {spec} = job.accepted;
	const steps: Step[] = [];
	const occurrence: Occurrence = {
		job,
		number,
		dueAtEpochMs: getDueTime(spec.schedule, number),
		steps,
	};
	for (const [index, step] of spec.steps.entries()) {
		steps.push(createStep(occurrence, step, index));
	}

	return occurrence;
};

/** Adds the next occurrence of a job. */
export const addOccurrence = (job: Job): Occurrence => {
	const occurrence = createOccurrence(job, job.nextOccurrence);
	job.occurrences.set(occurrence.number, occurrence);
	job.nextOccurrence += 1;
	job.remainingWork += sumWork(job.accepted.spec.steps);
	return occurrence;
};

/**
 * A task of an occurrence that is no longer at hand, since it is done or its
 * job has ended. It stands for what may still run of it.
 */
export const createDetachedTask = (
	job: Job,
	occurrence: number,
	step: number,
	index: number,
): Task | undefined => {
	const past = createOccurrence(job, occurrence);
	const task = past.steps[step]?.tasks[index];
	if (task) {
		task.isDone = true;
	}

	return task;
};

const sumWork = (steps: readonly StepSpec[]): number =>
	steps.reduce((sum, step) => sum + step.count * workOfTask(step), 0);

/** A job as accepted, with nothing done. */
export const createJob = (
	accepted: AcceptedJob,
	isInherited: boolean,
): Job => ({
	accepted,
	isInherited,
	occurrences: new Map(),
	doneOccurrences: 0,
	nextOccurrence: 0,
	end: undefined,
	storedEnd: undefined,
	endedAt: undefined,
	hasStarted: false,
	remainingWork: 0,
	totalWork: sumWork(accepted.spec.steps),
});

/** Whether a job runs until it is cancelled. */
export const isLongRunningJob = ({accepted}: Job): boolean =>
	accepted.spec.steps.some(({isLongRunning}) => isLongRunning);

/** Adds the occurrences whose time has come. */
export const addDueOccurrences = (job: Job, epochNow: number): void => {
	const times = countOccurrences(job);
	const {schedule} = job.accepted.spec;
	while (
		job.nextOccurrence < times &&
		getDueTime(schedule, job.nextOccurrence) <= epochNow
	) {
		addOccurrence(job);
	}
};

/**
 * Adds the occurrences up to one that an earlier owner has started, so that
 * its time had come, also if it has not by the clock here. Those after it are
 * not due by that.
 */
export const addOccurrencesUpTo = (job: Job, number: number): void => {
	while (job.nextOccurrence <= number && number < countOccurrences(job)) {
		addOccurrence(job);
	}
};

/** Whether the steps before this one are done. */
export const isStepReady = (step: Step): boolean =>
	step.spec.after.every((number) => {
		const earlier = step.occurrence.steps[number];
		return earlier !== undefined && earlier.doneCount === earlier.spec.count;
	});

/** A run that is asked for now. */
export const createRun = (
	task: Task,
	number: number,
	executorId: string,
	now: number,
): Run => ({
	task,
	number,
	executorId,
	state: 'asked',
	askedAt: now,
	confirmedAt: undefined,
	percent: 0,
	progressedAt: now,
	load: 0,
	speedLimitPercent: 100,
	isStopPending: false,
	mayHaveStopped: false,
});

/** Whether a task is neither done nor under way. */
export const isWaiting = (task: Task): boolean =>
	!task.isDone && task.runs.length === 0;

/** Tasks that run and end together: all members of a gang, else the task. */
export const listCoscheduledTasks = (task: Task): readonly Task[] =>
	task.step.spec.isGang ? task.step.tasks : [task];

/**
 * Takes in the checkpoint of a run; false if there is none or a later run's is
 * known. A gang has one: its members start together only with the same.
 */
export const applyCheckpoint = (
	task: Task,
	run: number,
	checkpoint: string,
): boolean => {
	if (checkpoint === '' || run < task.checkpointRun) {
		return false;
	}

	for (const each of listCoscheduledTasks(task)) {
		each.checkpoint = checkpoint;
		each.checkpointRun = run;
	}

	return true;
};

/** Marks a task as done. True if this ended its occurrence. */
export const markDone = (task: Task): boolean => {
	if (task.isDone) {
		return false;
	}

	const {step} = task;
	const {job, steps, number} = step.occurrence;
	task.isDone = true;
	step.doneCount += 1;
	job.remainingWork -= getTaskWork(task);
	if (steps.some((each) => each.doneCount < each.spec.count)) {
		return false;
	}

	job.doneOccurrences += 1;
	job.occurrences.delete(number);
	return true;
};

/** Whether all that a job asks for is done. */
export const isJobComplete = (job: Job): boolean =>
	job.doneOccurrences >= countOccurrences(job);

/** Tasks of the occurrences at hand. */
export function* listTasks(job: Job): Generator<Task> {
	for (const {steps} of job.occurrences.values()) {
		for (const {tasks} of steps) {
			yield* tasks;
		}
	}
}
