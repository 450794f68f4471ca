/**
 * Attributes failed tasks to a worker or to a job. A worker that fails tasks of
 * many jobs is quarantined; a job that fails on many workers is parked. A
 * failure counts against one of them only while the other is not itself
 * suspect, so that neither is held responsible for the faults of the other.
 * Source: docs/design/blame.md.
 */

/** Thresholds of the two verdicts. */
export type AttributionConfig = {
	/**
	 * Number of jobs, not themselves suspect, that must fail on a worker before
	 * it is quarantined.
	 */
	readonly jobsPerQuarantine: number;
	/**
	 * Consecutive failures after which a worker is quarantined with fewer such
	 * jobs, but at least two.
	 */
	readonly failuresPerQuarantine: number;
	/** Number of workers that a job must fail on before it is parked. */
	readonly workersPerPark: number;
	/** Age after which a failure no longer counts, in milliseconds. */
	readonly windowMs: number;
};

/** Default thresholds. */
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

/**
 * Failures recorded against workers and jobs. Only `updateAttribution` changes
 * it.
 */
export type FailureAttribution = {
	/** Failures by worker since its last success. */
	readonly workers: ReadonlyMap<string, readonly TaskFailure[]>;
	/**
	 * Failures by job since its last success, on workers that are not
	 * quarantined.
	 */
	readonly jobs: ReadonlyMap<string, readonly TaskFailure[]>;
	readonly quarantined: ReadonlySet<string>;
	readonly parked: ReadonlySet<string>;
};

/** An outcome of a task or a decision of an operator. */
export type AttributionEvent =
	| ({readonly kind: 'failed'} & TaskFailure)
	| {
			readonly kind: 'succeeded';
			readonly worker: string;
			readonly job: string;
	  }
	/** A worker was repaired, or an operator returns it to service. */
	| {readonly kind: 'worker-returned'; readonly worker: string}
	/** A job was changed, or an operator allows it to run again. */
	| {readonly kind: 'job-released'; readonly job: string};

/** A decision that follows from an event. */
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
	/**
	 * Releases a job that was parked for failures on a worker now found to be
	 * at fault.
	 */
	| {readonly kind: 'release-job'; readonly job: string};

/** The new state and the verdicts of an event. */
export type AttributionStep = {
	readonly attribution: FailureAttribution;
	readonly verdicts: readonly AttributionVerdict[];
};

/** State without recorded failures. */
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

/**
 * Whether a job is suspect as evidence against a worker: it also fails on
 * others.
 */
const isJobSuspect = (draft: Draft, job: string, worker: string): boolean =>
	draft.parked.has(job) ||
	(draft.jobs.get(job) ?? []).some((each) => each.worker !== worker);

const isWorkerAtFault = (draft: Draft, worker: string): boolean => {
	const failures = draft.workers.get(worker) ?? [];
	const unsuspectedJobs = listJobs(failures).filter(
		(job) => !isJobSuspect(draft, job, worker),
	);
	const {jobsPerQuarantine, failuresPerQuarantine} = draft.cfg;
	// At least two unsuspected jobs, so that one bad job never quarantines a
	// worker.
	const hasConsecutiveFailures =
		failures.length >= failuresPerQuarantine && unsuspectedJobs.length > 1;
	return unsuspectedJobs.length >= jobsPerQuarantine || hasConsecutiveFailures;
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
		const remaining = (draft.jobs.get(job) ?? []).filter(
			(each) => each.worker !== worker,
		);
		draft.jobs.set(job, remaining);
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
		// A failure on a quarantined worker is no evidence against a job.
		return;
	}

	const {windowMs} = draft.cfg;
	draft.workers.set(
		worker,
		addFailure(draft.workers.get(worker), failure, windowMs),
	);
	draft.jobs.set(job, addFailure(draft.jobs.get(job), failure, windowMs));
	// Checks the worker first, since its fault clears the jobs that failed on
	// it.
	if (isWorkerAtFault(draft, worker)) {
		quarantine(draft, worker);
	} else if (!draft.parked.has(job) && isJobAtFault(draft, job)) {
		park(draft, job);
	}
};

/**
 * Re-evaluates workers on which a job failed, once the job has succeeded
 * elsewhere and is no longer suspect.
 */
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

/** Applies one event and returns the verdicts that follow from it. */
export const updateAttribution = (
	attribution: FailureAttribution,
	event: AttributionEvent,
	cfg: AttributionConfig = defaultAttributionConfig,
): AttributionStep => {
	const draft: Draft = {
		cfg,
		workers: new Map(attribution.workers),
		jobs: new Map(attribution.jobs),
		quarantined: new Set(attribution.quarantined),
		parked: new Set(attribution.parked),
		verdicts: [],
	};
	applyEvent(draft, event);
	const {verdicts, cfg: _, ...next} = draft;
	return {attribution: next, verdicts};
};

/**
 * Lists the workers that a job recently failed on, so that its next attempt
 * runs elsewhere.
 */
export const listFailedWorkers = (
	attribution: FailureAttribution,
	job: string,
): readonly string[] => listWorkers(attribution.jobs.get(job) ?? []);
