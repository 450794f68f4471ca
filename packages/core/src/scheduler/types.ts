/**
 * What callers ask for and what executors offer, as the scheduler sees it.
 * Times are milliseconds; `now` is the owner's steady clock, times of day are
 * named so.
 */

/** Room that a task takes or an executor has. */
export type Resources = {
	/** Thousandths of a processor core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** One step of a job: tasks that are alike and may run side by side. */
export type StepSpec = {
	readonly count: number;
	readonly resources: Resources;
	/** The caller's rough estimate of one task's run time. */
	readonly estimateMs: number;
	/** Numbers of earlier steps that must be done first. */
	readonly after: readonly number[];
	readonly canCheckpoint: boolean;
	/** The tasks work only while all of them run, and end together. */
	readonly isGang: boolean;
	readonly needsSameRack: boolean;
	/** Label that an executor must have. */
	readonly requiredLabel: string | undefined;
	/** Rack where the data is; elsewhere a task takes longer. */
	readonly preferredRack: string | undefined;
	/** Most tasks of one occurrence on one executor. */
	readonly maxPerExecutor: number | undefined;
	readonly allowsCopies: boolean;
	/** Runs until the job is cancelled and is restarted however it ends. */
	readonly isLongRunning: boolean;
	/** Tasks of one image behave alike. */
	readonly image: string | undefined;
	/** Bound on the tail of the task's own response times. */
	readonly targetTailMs: number | undefined;
	/** Runs in what other tasks leave unused; its cpu is not counted. */
	readonly fillsIdleCapacity: boolean;
	/** Tasks of the step that may be away at once by our doing. */
	readonly mayMiss: number | undefined;
};

/** When the steps of a job run again and again. */
export type Schedule = {
	readonly times: number;
	/** Time of day of the first occurrence, since 1970. */
	readonly startAtEpochMs: number;
	readonly intervalMs: number;
};

/** A job as submitted. */
export type JobSpec = {
	/** Passed to the executor unread. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly schedule: Schedule | undefined;
};

/** How the jobs of one queue are treated. */
export type QueuePolicy = {
	readonly queue: string;
	/** 0 comes first and may preempt others. */
	readonly priority: number;
	/** Failed runs of one task after which its job has failed. */
	readonly maxAttempts: number;
	/** The objective is this many times the longest chain of work ... */
	readonly stretch: number;
	/** ... and so much more, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Only executors that the advice service names may run its tasks. */
	readonly needsAdvice: boolean;
};

/** A job as it lies in the store. */
export type AcceptedJob = {
	readonly id: string;
	readonly policy: QueuePolicy;
	readonly spec: JobSpec;
	/** Time of day of the acceptance. */
	readonly acceptedAtEpochMs: number;
};

/** States that a caller is shown. */
export const jobStates = {
	queued: 'queued',
	running: 'running',
	completed: 'completed',
	failed: 'failed',
	cancelled: 'cancelled',
} as const;

/** A state that a caller is shown. */
export type JobState = (typeof jobStates)[keyof typeof jobStates];

/** An executor as the registry lists it. One id is one life. */
export type ListedExecutor = {
	readonly id: string;
	readonly service: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly isDraining: boolean;
	/** Least time left while it drains. */
	readonly remainingMs: number | undefined;
};
