/**
 * What follows for a job from an event. The new row is committed on the old
 * row's version and the holder's fencing token before any action is taken; a
 * holder that resumes from a pause commits nothing and does nothing.
 * Source: docs/design/jobs.md.
 */
import {match} from 'ts-pattern';
import type {JobRow, JobState, ParkReason} from './job-row.js';

/** What happened. Events of an older start carry its token. */
export type JobEvent =
	| {readonly kind: 'placed'; readonly worker: string}
	/** Placement found that no worker or quota could ever hold it. */
	| {readonly kind: 'impossible'; readonly reason: ParkReason}
	/** The worker refused, or was not reached: it certainly did not start. */
	| {readonly kind: 'not-started'; readonly token: number}
	| {readonly kind: 'seen-running'; readonly token: number}
	| {readonly kind: 'seen-done'; readonly token: number}
	| {readonly kind: 'seen-failed'; readonly token: number}
	/** Stopped at a checkpoint, by our request. */
	| {
			readonly kind: 'checkpointed';
			readonly token: number;
			readonly checkpoint: string;
	  }
	/** Stopped by our request, without a checkpoint. */
	| {readonly kind: 'seen-stopped'; readonly token: number}
	/** The worker has been silent until its lease was certainly over. */
	| {readonly kind: 'lease-over'; readonly token: number}
	| {readonly kind: 'relocate'}
	| {readonly kind: 'blamed'}
	| {readonly kind: 'cancel'}
	/** An operator says what became of an unknown job, or lets one run. */
	| {
			readonly kind: 'resolve';
			readonly as: 'done' | 'not-run' | 'run-again';
	  };

/** What to do once the row is committed. */
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

/** The row to commit and what to do then; no row if nothing changes. */
export type JobStep = {
	readonly row?: JobRow;
	readonly action?: JobAction;
};

const nothing: JobStep = {};

const withState = (row: JobRow, state: JobState): JobStep => ({
	row: {...row, state},
});

const getCheckpoint = (state: JobState): {checkpoint?: string} =>
	'checkpoint' in state && state.checkpoint !== undefined
		? {checkpoint: state.checkpoint}
		: {};

const place = (row: JobRow, worker: string): JobStep => {
	if (row.state.kind !== 'pending') {
		return nothing;
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

/** Back to the queue after a start that certainly did nothing. */
const takeBackStart = (row: JobRow): JobStep => {
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
		.otherwise(() => nothing);
};

const noteRunning = (row: JobRow): JobStep =>
	row.state.kind === 'starting'
		? withState(row, {...row.state, kind: 'running'})
		: nothing;

/**
 * A run that ended without its work done: a repeatable job goes back to the
 * queue; another one ran in part and is never started again by itself.
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

const takeCheckpoint = (row: JobRow, checkpoint: string): JobStep =>
	row.state.kind === 'checkpointing'
		? withState(row, {kind: 'pending', checkpoint})
		: endRun(row, row.failures);

const relocate = (row: JobRow): JobStep => {
	const {state, token, job} = row;
	// Going on from a checkpoint is a second start: only for repeatable work.
	const mayMove = job.repeatable && job.canCheckpoint;
	if (state.kind !== 'running' || !mayMove) {
		return nothing;
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
			() => nothing,
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
		: nothing;
};

const park = (row: JobRow, reason: ParkReason): JobStep =>
	row.state.kind === 'pending'
		? withState(row, {kind: 'parked', reason})
		: nothing;

/** An event of an older start, or of one that has ended, changes nothing. */
const isCurrent = (row: JobRow, event: JobEvent): boolean =>
	!('token' in event) ||
	(event.token === row.token &&
		'worker' in row.state &&
		row.state.kind !== 'unknown');

/** Applies one event. */
export const stepJob = (row: JobRow, event: JobEvent): JobStep => {
	if (!isCurrent(row, event)) {
		return nothing;
	}

	return match(event)
		.returnType<JobStep>()
		.with({kind: 'placed'}, ({worker}) => place(row, worker))
		.with({kind: 'impossible'}, ({reason}) => park(row, reason))
		.with({kind: 'not-started'}, () => takeBackStart(row))
		.with({kind: 'seen-running'}, () => noteRunning(row))
		.with({kind: 'seen-done'}, () => withState(row, {kind: 'done'}))
		.with({kind: 'seen-failed'}, () => endRun(row, row.failures + 1))
		.with({kind: 'checkpointed'}, ({checkpoint}) =>
			takeCheckpoint(row, checkpoint),
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
