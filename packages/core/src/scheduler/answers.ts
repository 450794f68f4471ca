/** What the answers to orders change. */
import {match} from 'ts-pattern';
import {dropTicket} from './advice.js';
import {dropRun, noteClock, type Executor} from './executor.js';
import {noteSilence} from './owner.js';
import type {Owner} from './owner-state.js';
import {noteStartOutcome} from './start-window.js';
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
export type OrderAnswer =
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
export const takeStartAnswer = (
	owner: Owner,
	run: Run,
	answer: StartAnswer,
	now: number,
): AnswerEffect => {
	owner.startWindow = noteStartOutcome(
		owner.startWindow,
		{askedAt: run.askedAt, isAnswered: answer.kind !== 'no-answer'},
		now,
	);
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyStartAnswer({owner, executor, run, now}, answer)
		: 'none';
};

const applyStartAnswer = (
	{owner, executor, run, now}: Answered,
	answer: StartAnswer,
): AnswerEffect =>
	match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'started'}, ({clockMs}) => {
			noteClock(executor, clockMs, now);
			run.confirmedAt ??= now;
			run.progressedAt = now;
			run.state = run.state === 'asked' ? 'running' : run.state;
			run.task.step.occurrence.job.hasStarted = true;
			return 'none';
		})
		.with({kind: 'refused'}, ({reason}) => {
			dropRun(executor, run);
			if (reason === 'ticket') {
				dropTicket(owner, run.task.step, executor.id);
				return 'none';
			}

			executor.restsUntil = Math.max(executor.restsUntil, now + refusalRestMs);
			return 'none';
		})
		.with({kind: 'fenced'}, () => {
			dropRun(executor, run);
			return 'fenced';
		})
		.with({kind: 'other-life'}, () => 'other-life')
		.with({kind: 'no-answer'}, () => {
			run.state = run.state === 'asked' ? 'unsettled' : run.state;
			noteSilence(owner, executor.id, now);
			return 'look-again';
		})
		.exhaustive();

/**
 * Takes in the answer to a stop. Once it is answered, a start of that run can
 * no longer be carried out: the next look tells whether it is there.
 */
export const takeStopAnswer = (
	owner: Owner,
	run: Run,
	answer: OrderAnswer,
	now: number,
): AnswerEffect => {
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyOrderAnswer({owner, executor, run, now}, answer)
		: 'none';
};

const applyOrderAnswer = (
	{owner, executor, run, now}: Answered,
	answer: OrderAnswer,
): AnswerEffect =>
	match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'done'}, ({clockMs}) => {
			noteClock(executor, clockMs, now);
			run.confirmedAt ??= now;
			return 'look-again';
		})
		.with({kind: 'refused'}, {kind: 'no-answer'}, ({kind}) => {
			// The order is given again after the next look.
			run.isStopUnderWay = false;
			run.state = run.confirmedAt === undefined ? 'unsettled' : 'running';
			if (kind === 'no-answer') {
				run.mayBeStopped = true;
				noteSilence(owner, executor.id, now);
			}

			return 'look-again';
		})
		.with({kind: 'fenced'}, () => 'fenced')
		.with({kind: 'other-life'}, () => 'other-life')
		.exhaustive();
