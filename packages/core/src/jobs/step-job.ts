/**
 * State transitions of a job. The new row is committed on condition of the old
 * row's version and the holder's fencing token before any action is taken, so
 * that a holder that resumes after a pause neither commits nor acts.
 * Source: docs/design/jobs.md.
 */
import {match} from 'ts-pattern';
import type {JobRow, JobState, ParkReason} from './job-row.js';

/** An event of a job. Events of a start carry its token. */
export type JobEvent =
	| {readonly kind: 'placed'; readonly worker: string}
	/** Placement found that no worker or quota can ever fit the job. */
	| {readonly kind: 'impossible'; readonly reason: ParkReason}
	/**
	 * The worker refused the start or was not reached: the job certainly did
	 * not start.
	 */
	| {readonly kind: 'not-started'; readonly token: number}
	| {readonly kind: 'seen-running'; readonly token: number}
	| {readonly kind: 'seen-done'; readonly token: number}
	| {readonly kind: 'seen-failed'; readonly token: number}
	/** The job stopped at a checkpoint, as commanded. */
	| {
			readonly kind: 'checkpointed';
			readonly token: number;
			readonly checkpoint: string;
	  }
	/** The job stopped without a checkpoint, as commanded. */
	| {readonly kind: 'seen-stopped'; readonly token: number}
	/** The worker was unresponsive until its lease had certainly expired. */
	| {readonly kind: 'lease-over'; readonly token: number}
	| {readonly kind: 'relocate'}
	| {readonly kind: 'blamed'}
	| {readonly kind: 'cancel'}
	/**
	 * An operator sets the outcome of an unknown job, or lets a job run again.
	 */
	| {
			readonly kind: 'resolve';
			readonly as: 'done' | 'not-run' | 'run-again';
	  };

/** Action to take once the row is committed. */
export type JobAction =
	| {
			readonly kind: 'start';
			readonly worker: string;
			readonly token: number;
			readonly checkpoint?: string;
	  }
	| {
			readonly kind: 'checkpoint';
			readonly worker: string;
			readonly token: number;
	  }
	| {readonly kind: 'stop'; readonly worker: string; readonly token: number};

/** The row to commit and the action that follows; no row if nothing changes. */
export type JobStep = {
	readonly row?: JobRow;
	readonly action?: JobAction;
};

const unchanged: JobStep = {};

const withState = (row: JobRow, state: JobState): JobStep => ({
	row: {...row, state},
});

const getCheckpoint = (state: JobState): {checkpoint?: string} =>
	'checkpoint' in state && state.checkpoint !== undefined
		? {checkpoint: state.checkpoint}
		: {};

const place = (row: JobRow, worker: string): JobStep => {
	if (row.state.kind !== 'pending') {
		return unchanged;
	}

	const token = row.token + 1;
	const checkpoint = getCheckpoint(row.state);
	return {
		row: {
			...row,
			token,
			starts: row.starts + 1,
			state: {kind: 'starting', worker, ...checkpoint},
		},
		action: {kind: 'start', worker, token, ...checkpoint},
	};
};

/** Returns a job to the queue after a start that was certainly not executed. */
const undoStart = (row: JobRow): JobStep => {
	const starts = row.starts - 1;
	return match(row.state)
		.returnType<JobStep>()
		.with({kind: 'starting'}, (state) => ({
			row: {
				...row,
				starts,
				state: {kind: 'pending', ...getCheckpoint(state)},
			},
		}))
		.with({kind: 'cancelling'}, () => ({
			row: {...row, starts, state: {kind: 'cancelled'}},
		}))
		.otherwise(() => unchanged);
};

const recordRunning = (row: JobRow): JobStep =>
	row.state.kind === 'starting'
		? withState(row, {...row.state, kind: 'running'})
		: unchanged;

/**
 * Ends a run that did not complete its work. A repeatable job returns to the
 * queue; any other job may have run in part and is never restarted
 * automatically.
 */
const endRun = (row: JobRow, failures: number): JobStep => {
	const {state, job} = row;
	if (state.kind === 'cancelling') {
		return {row: {...row, failures, state: {kind: 'cancelled'}}};
	}

	const worker = 'worker' in state ? state.worker : '';
	const next: JobState = job.repeatable
		? {kind: 'pending', ...getCheckpoint(state)}
		: {kind: 'unknown', worker};
	return {row: {...row, failures, state: next}};
};

const applyCheckpoint = (row: JobRow, checkpoint: string): JobStep =>
	row.state.kind === 'checkpointing'
		? withState(row, {kind: 'pending', checkpoint})
		: endRun(row, row.failures);

const relocate = (row: JobRow): JobStep => {
	const {state, token, job} = row;
	// Continuing from a checkpoint is a second start, so the job must be
	// repeatable.
	const mayMove = job.repeatable && job.canCheckpoint;
	if (state.kind !== 'running' || !mayMove) {
		return unchanged;
	}

	const {worker} = state;
	return {
		...withState(row, {...state, kind: 'checkpointing'}),
		action: {kind: 'checkpoint', worker, token},
	};
};

const cancel = (row: JobRow): JobStep =>
	match(row.state)
		.returnType<JobStep>()
		.with({kind: 'pending'}, {kind: 'parked'}, () =>
			withState(row, {kind: 'cancelled'}),
		)
		.with(
			{kind: 'starting'},
			{kind: 'running'},
			{kind: 'checkpointing'},
			({worker}) => ({
				...withState(row, {kind: 'cancelling', worker}),
				action: {kind: 'stop', worker, token: row.token},
			}),
		)
		.with(
			{kind: 'cancelling'},
			{kind: 'done'},
			{kind: 'cancelled'},
			{kind: 'unknown'},
			() => unchanged,
		)
		.exhaustive();

const resolve = (
	row: JobRow,
	as: Extract<JobEvent, {kind: 'resolve'}>['as'],
): JobStep => {
	const {kind} = row.state;
	if (kind === 'unknown') {
		return withState(row, as === 'done' ? {kind: 'done'} : {kind: 'pending'});
	}

	return kind === 'parked' && as === 'run-again'
		? withState(row, {kind: 'pending'})
		: unchanged;
};

const park = (row: JobRow, reason: ParkReason): JobStep =>
	row.state.kind === 'pending'
		? withState(row, {kind: 'parked', reason})
		: unchanged;

/**
 * Whether an event belongs to the current start; events of an older or ended
 * start change nothing.
 */
const isCurrent = (row: JobRow, event: JobEvent): boolean =>
	!('token' in event) ||
	(event.token === row.token &&
		'worker' in row.state &&
		row.state.kind !== 'unknown');

/** Applies one event to the row of a job. */
export const stepJob = (row: JobRow, event: JobEvent): JobStep => {
	if (!isCurrent(row, event)) {
		return unchanged;
	}

	return match(event)
		.returnType<JobStep>()
		.with({kind: 'placed'}, ({worker}) => place(row, worker))
		.with({kind: 'impossible'}, ({reason}) => park(row, reason))
		.with({kind: 'not-started'}, () => undoStart(row))
		.with({kind: 'seen-running'}, () => recordRunning(row))
		.with({kind: 'seen-done'}, () => withState(row, {kind: 'done'}))
		.with({kind: 'seen-failed'}, () => endRun(row, row.failures + 1))
		.with({kind: 'checkpointed'}, ({checkpoint}) =>
			applyCheckpoint(row, checkpoint),
		)
		.with({kind: 'seen-stopped'}, {kind: 'lease-over'}, () =>
			endRun(row, row.failures),
		)
		.with({kind: 'relocate'}, () => relocate(row))
		.with({kind: 'blamed'}, () => park(row, 'fails-on-many-workers'))
		.with({kind: 'cancel'}, () => cancel(row))
		.with({kind: 'resolve'}, ({as}) => resolve(row, as))
		.exhaustive();
};
