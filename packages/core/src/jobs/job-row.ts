/**
 * The row of a job in the table service, the only authoritative record of the
 * job.
 * Source: docs/design/jobs.md.
 */
import type {Job} from '../types/job.js';

/** Why a job is parked. */
export type ParkReason =
	'too-large' | 'over-quota' | 'fails-on-many-workers' | 'by-operator';

/** State of a job. */
export type JobState =
	| {readonly kind: 'pending'; readonly checkpoint?: string}
	/**
	 * Stored before the start command is sent; the worker may have executed it.
	 */
	| {
			readonly kind: 'starting';
			readonly worker: string;
			readonly checkpoint?: string;
	  }
	| {
			readonly kind: 'running';
			readonly worker: string;
			readonly checkpoint?: string;
	  }
	/** Commanded to save a checkpoint and stop, to continue elsewhere. */
	| {
			readonly kind: 'checkpointing';
			readonly worker: string;
			readonly checkpoint?: string;
	  }
	| {readonly kind: 'cancelling'; readonly worker: string}
	| {readonly kind: 'parked'; readonly reason: ParkReason}
	| {readonly kind: 'done'}
	| {readonly kind: 'cancelled'}
	/** Not repeatable, and its outcome is unknown: an operator must decide. */
	| {readonly kind: 'unknown'; readonly worker: string};

/** A job's row. */
export type JobRow = {
	readonly job: Job;
	readonly state: JobState;
	/** Fencing token, incremented by each start; workers refuse a lower one. */
	readonly token: number;
	/** Number of starts that a worker may have executed. */
	readonly starts: number;
	readonly failures: number;
};

/** Creates the row of a submitted job. */
export const createJobRow = (job: Job): JobRow => ({
	job,
	state: {kind: 'pending'},
	token: 0,
	starts: 0,
	failures: 0,
});

/** Whether a job is in a state that only an operator can change. */
export const isEnded = ({state}: JobRow): boolean =>
	state.kind === 'done' ||
	state.kind === 'cancelled' ||
	state.kind === 'unknown';

/** Returns the worker that may be running the job. */
export const getWorker = ({state}: JobRow): string | undefined =>
	'worker' in state && state.kind !== 'unknown' ? state.worker : undefined;
