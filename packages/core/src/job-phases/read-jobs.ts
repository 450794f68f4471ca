/** Reconstructs the course of each job from the log lines of all entries. */

/** A log line of an entry. */
export type LogLine = {
	/** Time of the line, in milliseconds since 1970. */
	readonly at: number;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** An interval of time, in milliseconds since 1970. */
export type TimeInterval = {readonly from: number; readonly to: number};

/** A run of a task of a job. */
export type LoggedRun = TimeInterval & {
	readonly task: string;
	readonly step: number;
	readonly isDone: boolean;
	/** Whether its executor listed it as failed. */
	readonly hasFailed: boolean;
};

/** A job as reconstructed from the log. */
export type LoggedJob = {
	readonly id: string;
	/** Shard of its service; `undefined` if no owner accepted the job. */
	shard: string | undefined;
	queue: string | undefined;
	submittedAt: number | undefined;
	/** Outcome of the latest submit call. */
	submitOutcome: string | undefined;
	acceptedAt: number | undefined;
	ownerAcceptedAt: number | undefined;
	/** Factor on the critical path in the job's objective. */
	stretch: number;
	/** Fixed part of the job's objective, in milliseconds. */
	targetLatencyMs: number;
	/** Estimated time of the critical path, in milliseconds. */
	estimatedCriticalPathMs: number;
	/** Work by the caller's estimate, in CPU-milliseconds. */
	work: number;
	isLongRunning: boolean;
	readonly runs: LoggedRun[];
	end: string | undefined;
	endedAt: number | undefined;
};

/** State that an owner logged about itself. */
export type OwnerReport = {
	readonly at: number;
	readonly shard: string;
	readonly tasksOfUnknownPlace: number;
};

/** Jobs and events reconstructed from the log. */
export type LoggedJobs = {
	readonly jobs: ReadonlyMap<string, LoggedJob>;
	readonly owners: readonly OwnerReport[];
	/** Takeovers of services. */
	readonly takeovers: readonly OwnerReport[];
	/**
	 * Times when the holder of the fleet shard could not start moves, in
	 * milliseconds since 1970.
	 */
	readonly blockedMoves: readonly number[];
};

const createLoggedJob = (id: string): LoggedJob => ({
	id,
	shard: undefined,
	queue: undefined,
	submittedAt: undefined,
	submitOutcome: undefined,
	acceptedAt: undefined,
	ownerAcceptedAt: undefined,
	stretch: 0,
	targetLatencyMs: 0,
	estimatedCriticalPathMs: 0,
	work: 0,
	isLongRunning: false,
	runs: [],
	end: undefined,
	endedAt: undefined,
});

const readText = (value: unknown): string =>
	typeof value === 'string' ? value : '';

const readNumber = (value: unknown): number =>
	typeof value === 'number' ? value : 0;

/** Position of the step number in a task id. */
const stepPosition = 2;

const getJobId = (task: string): string => task.split('.', 1)[0] ?? '';

type ReadState = {
	readonly jobs: Map<string, LoggedJob>;
	/** Start times of runs whose end has not been read, by task and run. */
	readonly started: Map<string, number>;
	readonly owners: OwnerReport[];
	readonly takeovers: OwnerReport[];
	readonly blockedMoves: number[];
};

const getJob = ({jobs}: ReadState, id: string): LoggedJob => {
	const job = jobs.get(id) ?? createLoggedJob(id);
	jobs.set(id, job);
	return job;
};

const applyCall = (state: ReadState, {at, fields}: LogLine): void => {
	if (fields.call !== 'submit') {
		return;
	}

	const job = getJob(state, readText(fields.job));
	const submittedAt = at - readNumber(fields.tookMs);
	job.submittedAt = Math.min(job.submittedAt ?? submittedAt, submittedAt);
	if (job.acceptedAt === undefined) {
		job.submitOutcome = readText(fields.outcome);
		job.acceptedAt = fields.outcome === 'ok' ? at : undefined;
	}
};

const applyAcceptance = (state: ReadState, {at, fields}: LogLine): void => {
	const job = getJob(state, readText(fields.job));
	job.ownerAcceptedAt ??= at;
	job.shard = readText(fields.shard);
	job.queue = readText(fields.queue);
	job.stretch = readNumber(fields.stretch);
	job.targetLatencyMs = readNumber(fields.targetLatencyMs);
	job.estimatedCriticalPathMs = readNumber(fields.chainMs);
	job.work = readNumber(fields.work);
	job.isLongRunning = fields.isLasting === true;
};

const applyTaskStart = (state: ReadState, {at, fields}: LogLine): void => {
	if (fields.outcome === 'started') {
		const key = `${readText(fields.task)}/${readNumber(fields.run)}`;
		state.started.set(key, at - readNumber(fields.tookMs));
	}
};

const applyRunEnd = (state: ReadState, {at, fields}: LogLine): void => {
	const task = readText(fields.task);
	const key = `${task}/${readNumber(fields.run)}`;
	const from = state.started.get(key);
	if (from === undefined) {
		return;
	}

	state.started.delete(key);
	const job = getJob(state, getJobId(task));
	const step = Number(task.split('.')[stepPosition]);
	job.runs.push({
		from,
		to: at,
		task,
		step,
		isDone: fields.how === 'done',
		hasFailed: fields.how === 'failed',
	});
};

const applyJobEnd = (state: ReadState, {at, fields}: LogLine): void => {
	const job = getJob(state, readText(fields.job));
	job.end = readText(fields.end);
	job.endedAt = at;
};

const toOwnerReport = ({at, fields}: LogLine): OwnerReport => ({
	at,
	shard: readText(fields.shard),
	tasksOfUnknownPlace: readNumber(fields.tasksOfUnknownPlace),
});

const handlers: Readonly<
	Record<string, (state: ReadState, line: LogLine) => void>
> = {
	'call answered': applyCall,
	'job taken in': applyAcceptance,
	'task start': applyTaskStart,
	'task end': applyRunEnd,
	'run given up': applyRunEnd,
	'job ended': applyJobEnd,
	'owner load'({owners}, line) {
		owners.push(toOwnerReport(line));
	},
	'service taken over'({takeovers}, line) {
		takeovers.push(toOwnerReport(line));
	},
	'orders not noted'({blockedMoves}, {at}) {
		blockedMoves.push(at);
	},
};

/** Reconstructs jobs from the log lines of all entries, in any order. */
export const readJobs = (lines: readonly LogLine[]): LoggedJobs => {
	const state: ReadState = {
		jobs: new Map(),
		started: new Map(),
		owners: [],
		takeovers: [],
		blockedMoves: [],
	};
	for (const line of lines.toSorted((one, two) => one.at - two.at)) {
		handlers[line.message]?.(state, line);
	}

	return state;
};
