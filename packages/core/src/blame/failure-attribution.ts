/**
 * Whose fault a failed task is: the worker's or the job's. A worker that
 * fails tasks of many jobs is quarantined; a job that fails on many workers
 * is parked. A failure counts against one side only while the other side is
 * not itself suspect, so that neither is condemned for the other's sake.
 * Source: docs/design/blame.md.
 */

/** Bounds of the two verdicts. */
export type AttributionConfig = {
	/** Jobs, not suspect themselves, that fail on a worker until it is out. */
	readonly jobsPerQuarantine: number;
	/** Failures in a row, of any jobs, until a worker is out all the same. */
	readonly failuresPerQuarantine: number;
	/** Workers that a job fails on until it is parked. */
	readonly workersPerPark: number;
	/** Evidence older than this is forgotten, in milliseconds. */
	readonly windowMs: number;
};

/** Bounds in force when none are given. */
export const defaultAttributionConfig: AttributionConfig = {
	jobsPerQuarantine: 3,
	failuresPerQuarantine: 5,
	workersPerPark: 3,
	windowMs: 3_600_000,
};

/** One failed task. */
export type TaskFailure = {
	readonly worker: string;
	readonly job: string;
	/** When it was reported, in milliseconds. */
	readonly at: number;
};

/** What is held against workers and jobs. Only `updateBlame` changes it. */
export type FailureAttribution = {
	/** Failures on a worker since a task last succeeded there. */
	readonly workers: ReadonlyMap<string, readonly TaskFailure[]>;
	/** Failures of a job since it last succeeded, on workers not out. */
	readonly jobs: ReadonlyMap<string, readonly TaskFailure[]>;
	readonly quarantined: ReadonlySet<string>;
	readonly parked: ReadonlySet<string>;
};

/** What became known of a task or was decided by an operator. */
export type AttributionEvent =
	| ({readonly kind: 'failed'} & TaskFailure)
	| {
			readonly kind: 'succeeded';
			readonly worker: string;
			readonly job: string;
	  }
	/** A worker was repaired, or an operator lets it back. */
	| {readonly kind: 'worker-returned'; readonly worker: string}
	/** A job was changed, or an operator lets it run again. */
	| {readonly kind: 'job-released'; readonly job: string};

/** What follows from an event. */
export type AttributionVerdict =
	| {
			readonly kind: 'quarantine-worker';
			readonly worker: string;
			readonly jobs: readonly string[];
	  }
	| {
			readonly kind: 'park-job';
			readonly job: string;
			readonly workers: readonly string[];
	  }
	/** Parked for failures on a worker that turned out to be at fault. */
	| {readonly kind: 'release-job'; readonly job: string};

/** A new state and what follows from the event. */
export type AttributionStep = {
	readonly attribution: FailureAttribution;
	readonly verdicts: readonly AttributionVerdict[];
};

/** Nothing is held against anybody. */
export const emptyAttribution: FailureAttribution = {
	workers: new Map(),
	jobs: new Map(),
	quarantined: new Set(),
	parked: new Set(),
};

type Draft = {
	readonly cfg: AttributionConfig;
	readonly workers: Map<string, readonly TaskFailure[]>;
	readonly jobs: Map<string, readonly TaskFailure[]>;
	readonly quarantined: Set<string>;
	readonly parked: Set<string>;
	readonly verdicts: AttributionVerdict[];
};

const listDistinct = (names: readonly string[]): readonly string[] => [
	...new Set(names),
];

const listWorkers = (failures: readonly TaskFailure[]): readonly string[] =>
	listDistinct(failures.map((each) => each.worker));

const listJobs = (failures: readonly TaskFailure[]): readonly string[] =>
	listDistinct(failures.map((each) => each.job));

/** A job is suspect for a worker if it also fails elsewhere. */
const isJobSuspect = (draft: Draft, job: string, worker: string): boolean =>
	draft.parked.has(job) ||
	(draft.jobs.get(job) ?? []).some((each) => each.worker !== worker);

const isWorkerAtFault = (draft: Draft, worker: string): boolean => {
	const failures = draft.workers.get(worker) ?? [];
	const clean = listJobs(failures).filter(
		(job) => !isJobSuspect(draft, job, worker),
	);
	const {jobsPerQuarantine, failuresPerQuarantine} = draft.cfg;
	// Two clean jobs at least: one bad job alone never puts a worker out.
	const hasRow = failures.length >= failuresPerQuarantine && clean.length > 1;
	return clean.length >= jobsPerQuarantine || hasRow;
};

const isJobAtFault = (draft: Draft, job: string): boolean =>
	listWorkers(draft.jobs.get(job) ?? []).length >= draft.cfg.workersPerPark;

const releaseIfCleared = (draft: Draft, job: string) => {
	if (draft.parked.has(job) && !isJobAtFault(draft, job)) {
		draft.parked.delete(job);
		draft.verdicts.push({kind: 'release-job', job});
	}
};

const quarantine = (draft: Draft, worker: string) => {
	const jobs = listJobs(draft.workers.get(worker) ?? []);
	draft.quarantined.add(worker);
	draft.workers.delete(worker);
	draft.verdicts.push({kind: 'quarantine-worker', worker, jobs});
	for (const job of jobs) {
		const kept = (draft.jobs.get(job) ?? []).filter(
			(each) => each.worker !== worker,
		);
		draft.jobs.set(job, kept);
		releaseIfCleared(draft, job);
	}
};

const park = (draft: Draft, job: string) => {
	const workers = listWorkers(draft.jobs.get(job) ?? []);
	draft.parked.add(job);
	draft.verdicts.push({kind: 'park-job', job, workers});
};

const addFailure = (
	failures: readonly TaskFailure[] | undefined,
	failure: TaskFailure,
	windowMs: number,
): readonly TaskFailure[] => [
	...(failures ?? []).filter((each) => failure.at - each.at < windowMs),
	failure,
];

const applyFailure = (draft: Draft, failure: TaskFailure) => {
	const {worker, job} = failure;
	if (draft.quarantined.has(worker)) {
		// A worker that is out is no evidence against a job.
		return;
	}

	const {windowMs} = draft.cfg;
	draft.workers.set(
		worker,
		addFailure(draft.workers.get(worker), failure, windowMs),
	);
	draft.jobs.set(job, addFailure(draft.jobs.get(job), failure, windowMs));
	// The worker first: its fault clears the jobs that failed on it.
	if (isWorkerAtFault(draft, worker)) {
		quarantine(draft, worker);
	} else if (!draft.parked.has(job) && isJobAtFault(draft, job)) {
		park(draft, job);
	}
};

/** A job that runs elsewhere after all makes the others' evidence count. */
const recheckWorkers = (draft: Draft, workers: readonly string[]) => {
	for (const worker of workers) {
		if (isWorkerAtFault(draft, worker)) {
			quarantine(draft, worker);
		}
	}
};

const applySuccess = (draft: Draft, worker: string, job: string) => {
	const failedOn = listWorkers(draft.jobs.get(job) ?? []);
	draft.workers.delete(worker);
	draft.jobs.delete(job);
	draft.parked.delete(job);
	recheckWorkers(
		draft,
		failedOn.filter((each) => each !== worker),
	);
};

const applyEvent = (draft: Draft, event: AttributionEvent) => {
	switch (event.kind) {
		case 'failed': {
			const {worker, job, at} = event;
			applyFailure(draft, {worker, job, at});
			break;
		}

		case 'succeeded': {
			applySuccess(draft, event.worker, event.job);
			break;
		}

		case 'worker-returned': {
			draft.quarantined.delete(event.worker);
			draft.workers.delete(event.worker);
			break;
		}

		case 'job-released': {
			draft.parked.delete(event.job);
			draft.jobs.delete(event.job);
			break;
		}
	}
};

/** Applies one event. */
export const updateAttribution = (
	blame: FailureAttribution,
	event: AttributionEvent,
	cfg: AttributionConfig = defaultAttributionConfig,
): AttributionStep => {
	const draft: Draft = {
		cfg,
		workers: new Map(blame.workers),
		jobs: new Map(blame.jobs),
		quarantined: new Set(blame.quarantined),
		parked: new Set(blame.parked),
		verdicts: [],
	};
	applyEvent(draft, event);
	const {verdicts, cfg: _, ...next} = draft;
	return {attribution: next, verdicts};
};

/** Workers that a job has failed on lately: its next try goes elsewhere. */
export const listFailedWorkers = (
	blame: FailureAttribution,
	job: string,
): readonly string[] => listWorkers(blame.jobs.get(job) ?? []);
