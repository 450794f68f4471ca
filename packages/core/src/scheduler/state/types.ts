/**
 * Types of jobs and executors that the scheduler works on. Times are in
 * milliseconds: `now` is the owner's monotonic clock, names with `epoch` are
 * wall-clock times.
 */

/** Resources that a task requires or an executor provides. */
export type Resources = {
	/** Thousandths of a processor core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** One step of a job: identical tasks that may run in parallel. */
export type StepSpec = {
	readonly count: number;
	readonly resources: Resources;
	/** The caller's estimate of the run time of one task. */
	readonly estimateMs: number;
	/** Numbers of the earlier steps that this step depends on. */
	readonly after: readonly number[];
	readonly canCheckpoint: boolean;
	/** The tasks start together, make progress only together and end together. */
	readonly isGang: boolean;
	readonly needsSameRack: boolean;
	/** Label that an executor must have to run the tasks. */
	readonly requiredLabel: string | undefined;
	/** Rack that holds the input data; a task on another rack takes longer. */
	readonly preferredRack: string | undefined;
	/** Maximum number of tasks of one occurrence on one executor. */
	readonly maxPerExecutor: number | undefined;
	readonly allowsCopies: boolean;
	/** The tasks run until the job is cancelled; any that end are restarted. */
	readonly isLongRunning: boolean;
	/** Name of the image; tasks with the same image behave alike. */
	readonly image: string | undefined;
	/** Target for the tail latency of the requests that the task serves. */
	readonly targetTailMs: number | undefined;
	/** The tasks use idle cpu only, so their cpu demand is not counted. */
	readonly fillsIdleCapacity: boolean;
	/** Disruption budget: tasks that the owner may have stopped at once. */
	readonly mayMiss: number | undefined;
};

/** When the occurrences of a recurring job start. */
export type Schedule = {
	/** Number of occurrences. */
	readonly times: number;
	/** Start of the first occurrence, in milliseconds since the Unix epoch. */
	readonly startAtEpochMs: number;
	readonly intervalMs: number;
};

/** A job as submitted. */
export type JobSpec = {
	/** Opaque to the scheduler; passed to the executor unchanged. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly schedule: Schedule | undefined;
};

/** Time that the advice service takes for a request, in milliseconds. */
export type AdviceCost = {
	readonly decisionMs: number;
	/** For each executor that the request names. */
	readonly eachMs: number;
};

/** Scheduling policy of a queue. */
export type QueuePolicy = {
	readonly queue: string;
	/** Lower values go first. */
	readonly priority: number;
	/** Number of failed runs of one task after which its job fails. */
	readonly maxAttempts: number;
	/** The latency objective is `stretch` times the critical path ... */
	readonly stretch: number;
	/** ... plus this time in milliseconds. */
	readonly targetLatencyMs: number;
	/** Tasks may only run on executors that the advice service names. */
	readonly needsAdvice: boolean;
	/** What a request for advice takes; absent if that is not known. */
	readonly adviceCost?: AdviceCost | undefined;
};

/** A job as stored once it is accepted. */
export type AcceptedJob = {
	readonly id: string;
	readonly policy: QueuePolicy;
	readonly spec: JobSpec;
	/** Team whose key it was submitted with; absent if no key was needed. */
	readonly team?: string | undefined;
	/** Time of acceptance, in milliseconds since the Unix epoch. */
	readonly acceptedAtEpochMs: number;
};

/** Job states that callers see. */
export const jobStates = {
	queued: 'queued',
	running: 'running',
	completed: 'completed',
	failed: 'failed',
	cancelled: 'cancelled',
} as const;

/** A job state that callers see. */
export type JobState = (typeof jobStates)[keyof typeof jobStates];

/** An executor as the registry lists it. */
export type ListedExecutor = {
	readonly id: string;
	/**
	 * When this incarnation started, in milliseconds since the Unix epoch. Two
	 * incarnations with the same id differ in it; absent if the platform does not
	 * report it.
	 */
	readonly startedAtEpochMs?: number | undefined;
	readonly service: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly isDraining: boolean;
	/** Minimum time until a draining executor stops. */
	readonly remainingMs: number | undefined;
};
