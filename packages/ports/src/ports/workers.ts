/** Port to the platform's workers, which run tasks under leases. */
import type {Result} from '@gullstand/core';

/** What a worker is asked to run. */
export type TaskSpec = {
	readonly taskId: string;
	readonly jobId: string;
	/** Grows with each placement; a worker refuses a lower one. */
	readonly fencingToken: number;
	readonly leaseMs: number;
	/** Name of the checkpoint object to start from. */
	readonly checkpoint?: string;
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** What a worker reports of one task; usage lags. */
export type TaskReport = {
	readonly taskId: string;
	readonly jobId: string;
	readonly state: 'running' | 'throttled' | 'done' | 'failed' | 'stopped';
	readonly coresUsed: number;
	readonly memoryMbUsed: number;
	readonly checkpoint?: string;
	readonly reason?: string;
};

/** What a worker reports of itself. */
export type WorkerReport = {
	readonly worker: string;
	/** When the usage was measured, in milliseconds of the worker's clock. */
	readonly measuredAt: number;
	readonly tasks: readonly TaskReport[];
};

/** Why a call failed. After `timeout` the call may have taken effect. */
export type WorkerError =
	| {readonly kind: 'refused'; readonly reason: string}
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'timeout'};

/** Calls to workers, by id of the worker. */
export type Workers = {
	readonly start: (
		worker: string,
		task: TaskSpec,
	) => Promise<Result<void, WorkerError>>;
	readonly renew: (
		worker: string,
		taskIds: readonly string[],
		leaseMs: number,
	) => Promise<Result<void, WorkerError>>;
	readonly checkpoint: (
		worker: string,
		taskId: string,
	) => Promise<Result<string, WorkerError>>;
	readonly throttle: (
		worker: string,
		taskId: string,
		share: number,
	) => Promise<Result<void, WorkerError>>;
	readonly stop: (
		worker: string,
		taskIds: readonly string[],
	) => Promise<Result<void, WorkerError>>;
	readonly report: (
		worker: string,
	) => Promise<Result<WorkerReport, WorkerError>>;
	/**
	 * Drains, then reboots; the list shows it leaving, then live again. Names
	 * the life that is meant, as the list shows it: a call that arrives late is
	 * refused, and never reboots an instance that is back already.
	 */
	readonly reboot: (
		worker: string,
		incarnation: string,
	) => Promise<Result<void, WorkerError>>;
};
