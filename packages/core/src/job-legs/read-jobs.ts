/** What the log lines of all entries tell of each job. */

/** A line as an entry wrote it. */
export type LogLine = {
	/** Time of day, in milliseconds since 1970. */
	readonly at: number;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** A stretch of time, in milliseconds since 1970. */
export type TimeInterval = {readonly from: number; readonly to: number};

/** A run of one of its tasks. */
export type LoggedRun = TimeInterval & {
	readonly step: number;
	readonly isDone: boolean;
};

/** What is known of one job. */
export type LoggedJob = {
	readonly id: string;
	/** Service of its owner; absent if no owner took it in. */
	shard: string | undefined;
	queue: string | undefined;
	submittedAt: number | undefined;
	/** Answer to the latest call that handed it in. */
	submitOutcome: string | undefined;
	acceptedAt: number | undefined;
	ownerAcceptedAt: number | undefined;
	/** Its objective is this many times the longest chain of work ... */
	stretch: number;
	/** ... and so much more. */
	targetLatencyMs: number;
	/** Estimated time of that chain, in milliseconds. */
	estimatedCriticalPathMs: number;
	/** Cpu-milliseconds by the caller's estimate. */
	work: number;
	isLongRunning: boolean;
	readonly runs: LoggedRun[];
	end: string | undefined;
	endedAt: number | undefined;
};

/** What an owner said of itself. */
export type OwnerReport = {
	readonly at: number;
	readonly shard: string;
	readonly tasksOfUnknownPlace: number;
};

/** All that the lines tell. */
export type LoggedJobs = {
	readonly jobs: ReadonlyMap<string, LoggedJob>;
	readonly owners: readonly OwnerReport[];
	/** Takeovers of services. */
	readonly takeovers: readonly OwnerReport[];
	/** When the fleet's holder could not order moves. */
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

const toText = (value: unknown): string =>
	typeof value === 'string' ? value : '';

const toNumber = (value: unknown): number =>
	typeof value === 'number' ? value : 0;

/** Place of the step's number in the id of a task. */
const stepPart = 2;

const jobOfTask = (task: string): string => task.split('.', 1)[0] ?? '';

type Reading = {
	readonly jobs: Map<string, LoggedJob>;
	/** Starts whose end has not been read, by task and run. */
	readonly started: Map<string, number>;
	readonly owners: OwnerReport[];
	readonly takeovers: OwnerReport[];
	readonly blockedMoves: number[];
};

const getJob = ({jobs}: Reading, id: string): LoggedJob => {
	const job = jobs.get(id) ?? createLoggedJob(id);
	jobs.set(id, job);
	return job;
};

const takeCall = (reading: Reading, {at, fields}: LogLine): void => {
	if (fields.call !== 'submit') {
		return;
	}

	const job = getJob(reading, toText(fields.job));
	const handedInAt = at - toNumber(fields.tookMs);
	job.submittedAt = Math.min(job.submittedAt ?? handedInAt, handedInAt);
	if (job.acceptedAt === undefined) {
		job.submitOutcome = toText(fields.outcome);
		job.acceptedAt = fields.outcome === 'ok' ? at : undefined;
	}
};

const takeIntake = (reading: Reading, {at, fields}: LogLine): void => {
	const job = getJob(reading, toText(fields.job));
	job.ownerAcceptedAt ??= at;
	job.shard = toText(fields.shard);
	job.queue = toText(fields.queue);
	job.stretch = toNumber(fields.stretch);
	job.targetLatencyMs = toNumber(fields.targetLatencyMs);
	job.estimatedCriticalPathMs = toNumber(fields.chainMs);
	job.work = toNumber(fields.work);
	job.isLongRunning = fields.isLasting === true;
};

const takeStart = (reading: Reading, {at, fields}: LogLine): void => {
	if (fields.outcome === 'started') {
		const key = `${toText(fields.task)}/${toNumber(fields.run)}`;
		reading.started.set(key, at - toNumber(fields.tookMs));
	}
};

const takeRunEnd = (reading: Reading, {at, fields}: LogLine): void => {
	const task = toText(fields.task);
	const key = `${task}/${toNumber(fields.run)}`;
	const from = reading.started.get(key);
	if (from === undefined) {
		return;
	}

	reading.started.delete(key);
	const job = getJob(reading, jobOfTask(task));
	const step = Number(task.split('.')[stepPart]);
	job.runs.push({from, to: at, step, isDone: fields.how === 'done'});
};

const takeJobEnd = (reading: Reading, {at, fields}: LogLine): void => {
	const job = getJob(reading, toText(fields.job));
	job.end = toText(fields.end);
	job.endedAt = at;
};

const toOwner = ({at, fields}: LogLine): OwnerReport => ({
	at,
	shard: toText(fields.shard),
	tasksOfUnknownPlace: toNumber(fields.tasksOfUnknownPlace),
});

const takers: Readonly<
	Record<string, (reading: Reading, line: LogLine) => void>
> = {
	'call answered': takeCall,
	'job taken in': takeIntake,
	'task start': takeStart,
	'task end': takeRunEnd,
	'run given up': takeRunEnd,
	'job ended': takeJobEnd,
	'owner load'({owners}, line) {
		owners.push(toOwner(line));
	},
	'service taken over'({takeovers}, line) {
		takeovers.push(toOwner(line));
	},
	'orders not noted'({blockedMoves}, {at}) {
		blockedMoves.push(at);
	},
};

/** Reads lines of all entries, in any order. */
export const readJobs = (lines: readonly LogLine[]): LoggedJobs => {
	const reading: Reading = {
		jobs: new Map(),
		started: new Map(),
		owners: [],
		takeovers: [],
		blockedMoves: [],
	};
	for (const line of lines.toSorted((one, two) => one.at - two.at)) {
		takers[line.message]?.(reading, line);
	}

	return reading;
};
