/** What an executor answers to a poll, and what the answer changes. */
import type {IncarnationReading} from '../state/incarnation.js';
import type {MeasuredRun} from '../run-times/samples.js';
import type {EndedJob} from '../state/job-ends.js';
import type {SettledLoss} from './possible-losses.js';

/** Ways in which a run ends. */
export const runEnds = {
	done: 'done',
	failed: 'failed',
	stopped: 'stopped',
	/** Its lease expired. */
	lapsed: 'lapsed',
	/** Another member of its gang ended. */
	broken: 'broken',
	/** The other members of its gang did not start in time. */
	alone: 'alone',
} as const;

/** One of `runEnds`. */
export type RunEnd = (typeof runEnds)[keyof typeof runEnds];

/** A run that an executor lists as running. */
export type ListedRun = {
	readonly taskId: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail latency in milliseconds if the task has a target, else cpu used. */
	readonly load: number;
};

/** A run end that an executor lists until it is acknowledged. */
export type ListedEnd = {
	/** Counts the ends of one incarnation, from 1. */
	readonly number: number;
	readonly taskId: string;
	readonly run: number;
	readonly how: RunEnd;
	readonly checkpoint: string;
};

/** The answer of an executor to one poll. */
export type ExecutorPoll = IncarnationReading & {
	/** Fencing token that the poll carried. */
	readonly fencingToken: number;
	readonly sentAt: number;
	readonly receivedAt: number;
	readonly running: readonly ListedRun[];
	readonly ends: readonly ListedEnd[];
};

/** Changes that a poll led to, for the log. */
export type PollChanges = {
	/** Whether the poll made this owner adopt the executor. */
	readonly isFirst: boolean;
	/** Whether another incarnation has answered than before. */
	readonly isRestarted: boolean;
	readonly ends: ReadonlyArray<ListedEnd & {readonly failures: number}>;
	/** Keys of listed runs that were not known before. */
	readonly adopted: readonly string[];
	/** Keys of known runs that are no longer listed. */
	readonly vanished: readonly string[];
	/** Runs of unknown tasks, to be stopped. */
	readonly orphanedRuns: readonly ListedRun[];
	/** Executors of which it is known by now what became of them. */
	readonly settledLosses: readonly SettledLoss[];
	readonly jobEnds: readonly EndedJob[];
	/** Run times that were measured. */
	readonly measuredRuns: readonly MeasuredRun[];
};

/** Maximum number of ends in one poll, by the executors' interface. */
export const maxEndsPerPoll = 500;
