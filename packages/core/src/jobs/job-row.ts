/**
 * The row of a job in the table service: the only truth about it.
 * Source: docs/design/jobs.md.
 */
import type {Job} from '../types/job.js';

/** Why a job does not run. */
export type ParkReason =
	'too-large' | 'over-quota' | 'fails-on-many-workers' | 'by-operator';

/** Where a job stands. A token is that of its latest start. */
export type JobState =
	| {readonly kind: 'pending'; readonly checkpoint?: string}
	/** Written before the worker is asked; the ask may have had effect. */
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
	/** Asked to save its work and stop, to go on elsewhere. */
	| {
			readonly kind: 'checkpointing';
			readonly worker: string;
			readonly checkpoint?: string;
	  }
	| {readonly kind: 'cancelling'; readonly worker: string}
	| {readonly kind: 'parked'; readonly reason: ParkReason}
	| {readonly kind: 'done'}
	| {readonly kind: 'cancelled'}
	/** Not repeatable, and nobody knows whether it ran: for an operator. */
	| {readonly kind: 'unknown'; readonly worker: string};

/** A job's row. */
export type JobRow = {
	readonly job: Job;
	readonly state: JobState;
	/** Grows with each start; a worker refuses a lower one. */
	readonly token: number;
	/** Starts that a worker may have carried out. */
	readonly starts: number;
	readonly failures: number;
};

/** A job as submitted. */
export const createJobRow = (job: Job): JobRow => ({
	job,
	state: {kind: 'pending'},
	token: 0,
	starts: 0,
	failures: 0,
});

/** States that nothing but an operator leaves. */
export const isEnded = ({state}: JobRow): boolean =>
	state.kind === 'done' ||
	state.kind === 'cancelled' ||
	state.kind === 'unknown';

/** The worker that may be running the job. */
export const getWorker = ({state}: JobRow): string | undefined =>
	'worker' in state && state.kind !== 'unknown' ? state.worker : undefined;
