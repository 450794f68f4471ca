/** What the answers to orders change. */
import {match} from 'ts-pattern';
import {dropTicket} from './placement-advice.js';
import {removeRun, recordClockReading, type Executor} from './executor.js';
import {markUnresponsive} from './owner.js';
import type {Owner} from './owner-state.js';
import {recordStartOutcome} from './start-window.js';
import type {Run} from './task.js';

/** Answer to a start. */
export type StartAnswer =
	| {readonly kind: 'started'; readonly clockMs: number}
	/** Certainly not started, and nothing changed. */
	| {
			readonly kind: 'refused';
			readonly reason: StartRefusal;
			readonly clockMs: number | undefined;
	  }
	/** A higher fencing token was seen there. */
	| {readonly kind: 'fenced'}
	/** Another life answers at the address. */
	| {readonly kind: 'other-life'}
	/** It may have been carried out, or may be yet. */
	| {readonly kind: 'no-answer'};

/** Why a start was refused. */
export type StartRefusal =
	'outdated-run' | 'too-late' | 'no-room' | 'ticket' | 'unhealthy' | 'invalid';

/** Answer to any other order. */
export type CommandAnswer =
	| {readonly kind: 'done'; readonly clockMs: number}
	| {readonly kind: 'refused'}
	| {readonly kind: 'fenced'}
	| {readonly kind: 'other-life'}
	| {readonly kind: 'no-answer'};

/** How long an executor that refused a start is left alone, milliseconds. */
const refusalRestMs = 200;

type Answered = {
	readonly owner: Owner;
	readonly executor: Executor;
	readonly run: Run;
	readonly now: number;
};

/** What follows from an answer beyond the state. */
export type AnswerEffect = 'none' | 'fenced' | 'other-life' | 'look-again';

/** Takes in the answer to a start. */
export const applyStartAnswer = (
	owner: Owner,
	run: Run,
	answer: StartAnswer,
	now: number,
): AnswerEffect => {
	owner.startWindow = recordStartOutcome(
		owner.startWindow,
		{askedAt: run.askedAt, isAnswered: answer.kind !== 'no-answer'},
		now,
	);
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyStartOutcome({owner, executor, run, now}, answer)
		: 'none';
};

const applyStartOutcome = (
	{owner, executor, run, now}: Answered,
	answer: StartAnswer,
): AnswerEffect =>
	match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'started'}, ({clockMs}) => {
			recordClockReading(executor, clockMs, now);
			run.confirmedAt ??= now;
			run.progressedAt = now;
			run.state = run.state === 'asked' ? 'running' : run.state;
			run.task.step.occurrence.job.hasStarted = true;
			return 'none';
		})
		.with({kind: 'refused'}, ({reason}) => {
			removeRun(executor, run);
			if (reason === 'ticket') {
				dropTicket(owner, run.task.step, executor.id);
				return 'none';
			}

			executor.quarantinedUntil = Math.max(
				executor.quarantinedUntil,
				now + refusalRestMs,
			);
			return 'none';
		})
		.with({kind: 'fenced'}, () => {
			removeRun(executor, run);
			return 'fenced';
		})
		.with({kind: 'other-life'}, () => 'other-life')
		.with({kind: 'no-answer'}, () => {
			run.state = run.state === 'asked' ? 'unsettled' : run.state;
			markUnresponsive(owner, executor.id, now);
			return 'look-again';
		})
		.exhaustive();

/**
 * Takes in the answer to a stop. Once it is answered, a start of that run can
 * no longer be carried out: the next look tells whether it is there.
 */
export const applyStopAnswer = (
	owner: Owner,
	run: Run,
	answer: CommandAnswer,
	now: number,
): AnswerEffect => {
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyStopOutcome({owner, executor, run, now}, answer)
		: 'none';
};

const applyStopOutcome = (
	{owner, executor, run, now}: Answered,
	answer: CommandAnswer,
): AnswerEffect =>
	match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'done'}, ({clockMs}) => {
			recordClockReading(executor, clockMs, now);
			run.confirmedAt ??= now;
			return 'look-again';
		})
		.with({kind: 'refused'}, {kind: 'no-answer'}, ({kind}) => {
			// The order is given again after the next look.
			run.isStopPending = false;
			run.state = run.confirmedAt === undefined ? 'unsettled' : 'running';
			if (kind === 'no-answer') {
				run.mayHaveStopped = true;
				markUnresponsive(owner, executor.id, now);
			}

			return 'look-again';
		})
		.with({kind: 'fenced'}, () => 'fenced')
		.with({kind: 'other-life'}, () => 'other-life')
		.exhaustive();
