/** Port to executors that run tasks under leases. */
import type {scheduler} from '@gullstand/core';

/** One life of an executor and where it is reached. */
export type ExecutorTarget = {
	readonly id: string;
	readonly address: string;
};

/** An order to start a task. */
export type StartCommand = {
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	/** Lease end, by the executor's clock. */
	readonly leaseEndMs: number;
	readonly fencingToken: number;
	readonly checkpoint: string | undefined;
	readonly ticket: string | undefined;
};

/** Names one run. */
export type RunCommand = {
	readonly taskId: string;
	readonly run: number;
	readonly fencingToken: number;
};

/** An order to renew the lease of all that runs and to list it. */
export type PollRequest = {
	readonly fencingToken: number;
	/** Ends up to this number may be forgotten. */
	readonly acknowledgedUpto: number;
	/** Lease end, by the executor's clock; absent to renew nothing. */
	readonly leaseEndMs: number | undefined;
	/** How long to wait for a new end. */
	readonly waitMs: number;
};

/** Answer to a look. */
export type PollAnswer =
	| {
			readonly kind: 'seen';
			readonly clockMs: number;
			readonly running: readonly scheduler.ListedRun[];
			readonly ends: readonly scheduler.ListedEnd[];
	  }
	| {readonly kind: 'fenced'}
	| {readonly kind: 'other-life'}
	| {readonly kind: 'no-answer'};

/** Calls to executors. Each ends within the given time, in milliseconds. */
export type Executors = {
	readonly start: (
		target: ExecutorTarget,
		order: StartCommand,
		timeoutMs: number,
	) => Promise<scheduler.StartAnswer>;
	readonly stop: (
		target: ExecutorTarget,
		order: RunCommand,
		timeoutMs: number,
	) => Promise<scheduler.CommandAnswer>;
	readonly throttle: (
		target: ExecutorTarget,
		order: RunCommand & {readonly percent: number},
		timeoutMs: number,
	) => Promise<scheduler.CommandAnswer>;
	readonly poll: (
		target: ExecutorTarget,
		order: PollRequest,
		timeoutMs: number,
	) => Promise<PollAnswer>;
	/** Closes connections to a life that is gone. */
	readonly closeConnections: (target: ExecutorTarget) => void;
};
