/** The state of the owner of one service. */
import type {SchedulerConfig} from './config.js';
import type {Executor} from './executor.js';
import type {StartWindow} from './start-window.js';
import type {Job} from './task.js';

/** What is known of one step. */
export type StepAdvice = {
	readonly tickets: Map<string, string>;
	/** Executors that were asked about and are not named. */
	readonly rejectedExecutors: Set<string>;
	/** When the tickets expire, by the own clock. */
	validUntil: number;
	isRequestPending: boolean;
	/** Not asked again before. */
	retryAt: number;
};

/** Work that came in, weighted so that older work counts less. */
export type Arrivals = {
	/** Weighted sum, in cpu-milliseconds. */
	readonly work: number;
	readonly at: number;
};

/** State of one ownership: from a takeover to the loss of the service. */
export type Owner = {
	readonly cfg: SchedulerConfig;
	readonly service: string;
	/** Fencing token; every order to an executor carries it. */
	readonly token: number;
	readonly takenOverAt: number;
	readonly jobs: Map<string, Job>;
	/** Jobs without an end, in order of acceptance. */
	readonly openJobs: Set<Job>;
	readonly executors: Map<string, Executor>;
	/**
	 * Executors that may run what an earlier owner started, with the time at
	 * which its leases there are certainly over.
	 */
	readonly unresolvedExecutors: Map<string, number>;
	/** Jobs whose progress differs from the store. */
	readonly dirtyJobs: Set<Job>;
	/** The set of executors in the store is out of date. */
	isRosterDirty: boolean;
	/** Number of the flush that takes in what changes now. */
	flushNumber: number;
	/** What the advice service has said, by step. */
	readonly advice: Map<string, StepAdvice>;
	/** Lives of executors that are over; the registry may still list them. */
	readonly terminatedExecutors: Set<string>;
	/** Work handed in lately. */
	arrivals: Arrivals;
	/** Bounds the starts under way. */
	startWindow: StartWindow;
	/** Mean work of a job by queue, for the order of work. */
	readonly meanWork: Map<string, {count: number; sum: number}>;
};
