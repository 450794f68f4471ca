/** Jobs, occurrences, steps, tasks and runs as their owner tracks them. */
import type {Crash, PossiblyLost} from './crash.js';
import type {HeldJob} from './refused-jobs.js';
import type {SplitProgress} from './split-progress.js';
import type {AcceptedJob, Schedule, StepSpec} from './types.js';

/**
 * State of a run.
 * - `asked`: the start was sent and has no answer yet.
 * - `unsettled`: the start had no answer; the run may exist or may still start.
 * - `barring`: a stop was sent so that an unconfirmed run cannot start later.
 * - `running`: the executor has confirmed or listed the run.
 * - `stopping`: a stop was sent for a confirmed run.
 */
export type RunState =
	'asked' | 'unsettled' | 'barring' | 'running' | 'stopping';

/** First observation of the progress of a run. */
export type ObservedStart = {
	readonly at: number;
	/** Progress of the run at that time, 0 to 100. */
	readonly percent: number;
	/** Whether the run began then, and from the beginning of its task. */
	readonly isStart: boolean;
};

/** One run, an attempt of a task on one executor. */
export type Run = {
	readonly task: Task;
	readonly number: number;
	readonly executorId: string;
	/** Started by an earlier owner, so that its age is not known. */
	isAdopted: boolean;
	/** The incarnation that runs it; absent if this owner has not seen it. */
	incarnation: PossiblyLost | undefined;
	state: RunState;
	readonly askedAt: number;
	/** The task's checkpoint then, which its start carries. */
	readonly startCheckpoint: string | undefined;
	/** When an answer first confirmed that the run existed. */
	confirmedAt: number | undefined;
	/** The executor's clock in that answer. */
	confirmedClockMs: number | undefined;
	/** An answer has shown that it ran, not only that it can't start any more. */
	wasSeen: boolean;
	/** Since when its progress is known, and its progress then. */
	observedFrom: ObservedStart | undefined;
	/** Nothing else starts on the executor; see crash-attribution.ts. */
	isIsolated: boolean;
	/** Progress that the executor reports, 0 to 100. */
	percent: number;
	/** When the progress last increased. */
	progressedAt: number;
	/** Tail latency in milliseconds if the task has a target, else cpu used. */
	load: number;
	/** Speed limit of a task that uses idle capacity, 0 to 100. */
	speedLimitPercent: number;
	/** `Executor.tokenRaise` as its start was planned. */
	startRaise: number;
	/** The same of its latest stop. */
	stopRaise: number;
	/** A stop was planned and has no answer yet. */
	isStopPending: boolean;
	/**
	 * Until then a stop of unknown outcome may end the run; absent once a poll
	 * that was sent later lists it.
	 */
	mayStopUntil: number | undefined;
};

/** One task of one occurrence. */
export type Task = {
	readonly id: string;
	readonly step: Step;
	readonly index: number;
	isDone: boolean;
	/** Failed attempts of the task or of any member of its gang. */
	failures: number;
	/** Numbers of failed runs in ascending order; see attempts.ts. */
	failedRuns: readonly number[];
	/** Executors lost under the task, or under its gang, since it was cleared. */
	crashes: readonly Crash[];
	checkpoint: string | undefined;
	/** Number of the run that wrote the checkpoint; 0 if unknown. */
	checkpointRun: number;
	runs: Run[];
	/** Highest run number that this owner has assigned or seen. */
	lastRun: number;
	/** Executor of the last failed run, avoided if there is another. */
	failedOn: string | undefined;
};

/** One step of one occurrence. */
export type Step = {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	doneCount: number;
	/** Tasks that are done and whose run time this owner has measured. */
	measuredRuns: number;
	/** Longest measured run time in milliseconds; 0 if there is none. */
	longestRunMs: number;
	/** Measured runs that count as samples; see run-times/samples.ts. */
	sampledRuns: number;
};

/** One execution of all steps of a job. */
export type Occurrence = {
	readonly job: Job;
	readonly number: number;
	/** Earliest start, in milliseconds since the Unix epoch. */
	readonly dueAtEpochMs: number;
	readonly steps: readonly Step[];
};

/** How a job ended. */
export type JobEnd = 'completed' | 'failed' | 'cancelled';

/** A job as its owner tracks it. */
export type Job = {
	readonly accepted: AcceptedJob;
	/** Accepted under an earlier owner, which may have started its tasks. */
	readonly isInherited: boolean;
	/** Loaded occurrences: those that were added and are not done. */
	readonly occurrences: Map<number, Occurrence>;
	/** Number of occurrences that are done. */
	doneOccurrences: number;
	nextOccurrence: number;
	end: JobEnd | undefined;
	/** The stored end, which callers may see. */
	storedEnd: JobEnd | undefined;
	/** Number of the latest flush whose state of the job is stored; 0 if none. */
	storedFlush: number;
	/** Set once its progress has taken more than one row. */
	split: SplitProgress | undefined;
	/** Bytes of a row that the store refused; its rows must be smaller. */
	refusedRowBytes: number | undefined;
	/** Set while no rows of it are written, since the store refused one. */
	hold: HeldJob | undefined;
	/** The hold before, as long as nothing of the job was stored since. */
	lastHold: HeldJob | undefined;
	/** Not even its end can be stored, so nothing waits for that. */
	isUnstorable: boolean;
	/** Since when it has changes that are not stored, as the flusher saw them. */
	unstoredSince: number | undefined;
	endedAt: number | undefined;
	hasStarted: boolean;
	/** Submitted beyond the rate that its team is owed. */
	isBeyondRate: boolean;
	/** Work of the loaded tasks that are not done, in cpu-milliseconds. */
	remainingWork: number;
	readonly totalWork: number;
};

/** Returns the id of a task, unique across queues. */
export const formatTaskId = (
	jobId: string,
	occurrence: number,
	step: number,
	index: number,
): string => `${jobId}.${occurrence}.${step}.${index}`;

/** Parses the id of a task; `undefined` for any other string. */
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

const getSpecWork = ({resources, estimateMs}: StepSpec): number =>
	Math.max(1, resources.cpuMillis) * Math.max(1, estimateMs);

/** Work of one task in cpu-milliseconds, by the caller's estimate. */
export const getTaskWork = (task: Task): number => getSpecWork(task.step.spec);

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
		crashes: [],
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
	indexes: Iterable<number>,
): Step => {
	const tasks: Task[] = [];
	const step: Step = {
		occurrence,
		number,
		spec,
		tasks,
		doneCount: 0,
		measuredRuns: 0,
		longestRunMs: 0,
		sampledRuns: 0,
	};
	for (const index of indexes) {
		tasks.push(createTask(step, index));
	}

	return step;
};

/** When an occurrence is due, in milliseconds since the Unix epoch. */
export const getDueTime = (
	schedule: Schedule | undefined,
	number: number,
): number =>
	schedule ? schedule.startAtEpochMs + number * schedule.intervalMs : 0;

/** Returns the number of occurrences of a job. */
export const countOccurrences = (job: Job): number =>
	job.accepted.spec.schedule?.times ?? 1;

/** Number of tasks of one occurrence. */
export const countTasks = ({accepted}: Pick<Job, 'accepted'>): number =>
	accepted.spec.steps.reduce((sum, {count}) => sum + count, 0);

/** Number of a task, unique in its job and in the order of occurrences. */
export const getTaskNumber = ({step, index}: Task): number => {
	const {job, number} = step.occurrence;
	const {steps} = job.accepted.spec;
	let offset = number * countTasks(job) + index;
	for (const {count} of steps.slice(0, step.number)) {
		offset += count;
	}

	return offset;
};

const createOccurrence = (
	job: Job,
	number: number,
	listIndexes: (step: number, spec: StepSpec) => Iterable<number>,
): Occurrence => {
	const {spec} = job.accepted;
	const steps: Step[] = [];
	const occurrence: Occurrence = {
		job,
		number,
		dueAtEpochMs: getDueTime(spec.schedule, number),
		steps,
	};
	for (const [index, step] of spec.steps.entries()) {
		const indexes = listIndexes(index, step);
		steps.push(createStep(occurrence, step, index, indexes));
	}

	return occurrence;
};

function* listAllIndexes(_step: number, {count}: StepSpec): Generator<number> {
	for (let index = 0; index < count; index++) {
		yield index;
	}
}

/** Adds the next occurrence of a job. */
export const addOccurrence = (job: Job): Occurrence => {
	const occurrence = createOccurrence(job, job.nextOccurrence, listAllIndexes);
	job.occurrences.set(occurrence.number, occurrence);
	job.nextOccurrence += 1;
	job.remainingWork += sumWork(job.accepted.spec.steps);
	return occurrence;
};

/**
 * Creates a task of an occurrence that is not loaded, since it is done or its
 * job has ended. Remaining runs of it are attached to this task; the occurrence
 * has no other tasks.
 */
export const createDetachedTask = (
	job: Job,
	occurrence: number,
	step: number,
	index: number,
): Task | undefined => {
	const detached = createOccurrence(job, occurrence, (number, {count}) =>
		number === step && index >= 0 && index < count ? [index] : [],
	);
	const task = detached.steps[step]?.tasks[0];
	if (task) {
		task.isDone = true;
	}

	return task;
};

const sumWork = (steps: readonly StepSpec[]): number =>
	steps.reduce((sum, step) => sum + step.count * getSpecWork(step), 0);

/** Creates the state of an accepted job with nothing done. */
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
	storedFlush: 0,
	split: undefined,
	refusedRowBytes: undefined,
	hold: undefined,
	lastHold: undefined,
	isUnstorable: false,
	unstoredSince: undefined,
	endedAt: undefined,
	hasStarted: false,
	isBeyondRate: false,
	remainingWork: 0,
	totalWork: sumWork(accepted.spec.steps),
});

/** Whether a job has a long-running step and so runs until it is cancelled. */
export const isLongRunningJob = ({accepted}: Job): boolean =>
	accepted.spec.steps.some(({isLongRunning}) => isLongRunning);

/**
 * Adds the occurrences up to one that an earlier owner has started. It was due
 * by that owner's clock, even if it is not yet by the local one.
 */
export const addOccurrencesUpTo = (job: Job, number: number): void => {
	while (job.nextOccurrence <= number && number < countOccurrences(job)) {
		addOccurrence(job);
	}
};

/** Whether the steps that this one depends on are done. */
export const isStepReady = (step: Step): boolean =>
	step.spec.after.every((number) => {
		const earlier = step.occurrence.steps[number];
		return earlier !== undefined && earlier.doneCount === earlier.spec.count;
	});

/** Creates a run whose start is sent now. */
export const createRun = (
	task: Task,
	number: number,
	executorId: string,
	now: number,
): Run => ({
	task,
	number,
	executorId,
	isAdopted: false,
	incarnation: undefined,
	state: 'asked',
	askedAt: now,
	startCheckpoint: task.checkpoint,
	confirmedAt: undefined,
	confirmedClockMs: undefined,
	wasSeen: false,
	observedFrom: undefined,
	isIsolated: false,
	percent: 0,
	progressedAt: now,
	load: 0,
	speedLimitPercent: 100,
	startRaise: 0,
	stopRaise: 0,
	isStopPending: false,
	mayStopUntil: undefined,
});

/** Records an answer that confirms a run, with the executor's clock in it. */
export const confirmRun = (run: Run, clockMs: number, now: number): void => {
	run.confirmedAt ??= now;
	run.confirmedClockMs ??= clockMs;
	run.wasSeen = true;
};

/**
 * Records the answer that confirms a start. A run that continues from a
 * checkpoint begins with a progress that only a poll shows.
 */
export const recordConfirmedStart = (run: Run, now: number): void => {
	if (run.task.checkpoint === undefined) {
		run.observedFrom ??= {at: now, percent: 0, isStart: true};
	}
};

/** Whether a task is not done and has no run. */
export const isWaiting = (task: Task): boolean =>
	!task.isDone && task.runs.length === 0;

/** Lists the tasks that run together: all members of a gang, or just the task. */
export const listCoscheduledTasks = (task: Task): readonly Task[] =>
	task.step.spec.isGang ? task.step.tasks : [task];

/**
 * Applies the checkpoint of a run; returns false if it is empty or a later run
 * has written one. The members of a gang share a checkpoint, since they must
 * all start from the same one.
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

/** Marks a task as done; returns whether this completed its occurrence. */
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

/** Whether all occurrences of a job are done. */
export const isJobComplete = (job: Job): boolean =>
	job.doneOccurrences >= countOccurrences(job);

/** Yields the tasks of the loaded occurrences. */
export function* listTasks(job: Job): Generator<Task> {
	for (const {steps} of job.occurrences.values()) {
		for (const {tasks} of steps) {
			yield* tasks;
		}
	}
}
