/** Port to the platform's workers, which run tasks under leases. */
import type {Result} from '@gullstand/core';

/** A task for a worker to run. */
export type TaskSpec = {
	readonly taskId: string;
	readonly jobId: string;
	/** Increases with each placement; a worker refuses a lower one. */
	readonly fencingToken: number;
	readonly leaseMs: number;
	/** Name of the checkpoint object to start from. */
	readonly checkpoint?: string;
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A worker's report on one task; usage may be out of date. */
export type TaskReport = {
	readonly taskId: string;
	readonly jobId: string;
	readonly state: 'running' | 'throttled' | 'done' | 'failed' | 'stopped';
	readonly coresUsed: number;
	readonly memoryMbUsed: number;
	readonly checkpoint?: string;
	readonly reason?: string;
};

/** A worker's report on all its tasks. */
export type WorkerReport = {
	readonly worker: string;
	/** Time of measurement, in milliseconds of the worker's clock. */
	readonly measuredAt: number;
	readonly tasks: readonly TaskReport[];
};

/** Why a call failed. After `timeout` the call may have taken effect. */
export type WorkerError =
	| {readonly kind: 'refused'; readonly reason: string}
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'timeout'};

/** Calls to workers, by worker id. */
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
	 * Drains and reboots a worker; the instance list shows it leaving, then
	 * live. The incarnation is the listed one, so that a late call is refused
	 * instead of rebooting an instance that has already restarted.
	 */
	readonly reboot: (
		worker: string,
		incarnation: string,
	) => Promise<Result<void, WorkerError>>;
};
