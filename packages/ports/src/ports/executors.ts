/** Port to executors that run tasks under leases. */
import type {scheduler} from '@gullstand/core';

/** One incarnation of an executor and its address. */
export type ExecutorTarget = {
	readonly id: string;
	readonly address: string;
};

/** Starts a run of a task. */
export type StartCommand = {
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	/** Lease end, in milliseconds of the executor's clock. */
	readonly leaseEndMs: number;
	readonly fencingToken: number;
	readonly checkpoint: string | undefined;
	readonly ticket: string | undefined;
};

/** Identifies the run that a command applies to. */
export type RunCommand = {
	readonly taskId: string;
	readonly run: number;
	readonly fencingToken: number;
};

/** Renews the lease of all runs and lists runs and ends. */
export type PollRequest = {
	readonly fencingToken: number;
	/** The executor may discard ends up to this number. */
	readonly acknowledgedUpto: number;
	/** Lease end by the executor's clock; undefined renews nothing. */
	readonly leaseEndMs: number | undefined;
	/** How long the executor may wait for a new end, in milliseconds. */
	readonly waitMs: number;
};

/** Why a poll has no answer that can be used. */
export const pollFailures = {
	/** No connection was free or could be opened in time. */
	notSent: 'not-sent',
	/** No complete answer came in time, or the connection broke. */
	timeout: 'timeout',
	/** The executor answered with a status that is not expected. */
	status: 'status',
	/** The body of the answer does not have the expected form. */
	unreadable: 'unreadable',
} as const;

/** One of `pollFailures`. */
export type PollFailure = (typeof pollFailures)[keyof typeof pollFailures];

/** Answer to a poll. */
export type PollAnswer =
	| {
			readonly kind: 'seen';
			/** Start of the incarnation that answers; absent if not reported. */
			readonly startedAtEpochMs?: number | undefined;
			readonly clockMs: number;
			readonly running: readonly scheduler.ListedRun[];
			readonly ends: readonly scheduler.ListedEnd[];
	  }
	| {readonly kind: 'fenced'}
	| {readonly kind: 'other-life'}
	| {
			readonly kind: 'no-answer';
			/** Absent if it is not known. */
			readonly reason?: PollFailure;
			/** Status of an answer that cannot be used. */
			readonly status?: number;
	  };

/** Calls to executors. Each ends within `timeoutMs` milliseconds. */
export type Executors = {
	readonly start: (
		target: ExecutorTarget,
		command: StartCommand,
		timeoutMs: number,
	) => Promise<scheduler.StartAnswer>;
	readonly stop: (
		target: ExecutorTarget,
		command: RunCommand,
		timeoutMs: number,
	) => Promise<scheduler.CommandAnswer>;
	readonly throttle: (
		target: ExecutorTarget,
		command: RunCommand & {readonly percent: number},
		timeoutMs: number,
	) => Promise<scheduler.CommandAnswer>;
	readonly poll: (
		target: ExecutorTarget,
		req: PollRequest,
		timeoutMs: number,
	) => Promise<PollAnswer>;
	/** Closes the connections to an executor at an address. */
	readonly closeConnections: (target: ExecutorTarget) => void;
};
