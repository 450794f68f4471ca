/** Applies the answers of executors to commands. */
import {match} from 'ts-pattern';
import {dropTicket} from '../placement/placement-advice.js';
import {
	recordClockReading,
	removeRun,
	restartPhases,
	type Executor,
} from '../state/executor.js';
import {noteTurnedAway} from '../state/incomplete-gangs.js';
import {markUnresponsive} from '../state/owner.js';
import type {Owner} from '../state/owner-state.js';
import {noteRestart} from '../state/restart-fence.js';
import {recordStartOutcome} from '../plan/start-window.js';
import {confirmRun, recordConfirmedStart, type Run} from '../state/task.js';
import {clearIfProbationIsOver, noteRunOfSuspect} from './crash-suspects.js';

/** Answer to a start. */
export type StartAnswer =
	| {readonly kind: 'started'; readonly clockMs: number}
	/** The run was certainly not started. */
	| {
			readonly kind: 'refused';
			readonly reason: StartRefusal;
			readonly clockMs: number | undefined;
	  }
	/** The executor has seen a higher fencing token. */
	| {readonly kind: 'fenced'}
	/** Another incarnation answers at the address. */
	| {readonly kind: 'other-life'}
	/** The command never left, so the executor has not seen it. */
	| {readonly kind: 'not-sent'}
	/** The command may have been executed, or may still be. */
	| {readonly kind: 'no-answer'};

/** Why an executor refused a start. */
export type StartRefusal =
	'outdated-run' | 'too-late' | 'no-room' | 'ticket' | 'unhealthy' | 'invalid';

/** Answer to a command other than a start. */
export type CommandAnswer =
	| {readonly kind: 'done'; readonly clockMs: number}
	| {readonly kind: 'refused'}
	| {readonly kind: 'fenced'}
	| {readonly kind: 'other-life'}
	| {readonly kind: 'not-sent'}
	| {readonly kind: 'no-answer'};

/**
 * How long an executor gets no work after a start that it refused or that could
 * not be sent to it, in milliseconds.
 */
const refusalBackoffMs = 200;

type AnsweredCommand = {
	readonly owner: Owner;
	readonly executor: Executor;
	readonly run: Run;
	readonly now: number;
	/**
	 * A restart was shown since the command was sent, so that the answer may be of
	 * either incarnation.
	 */
	readonly isOutdated: boolean;
};

/** Whether a start was certainly not carried out, by the answer to it. */
export const isTurnedAway = ({kind}: StartAnswer): boolean =>
	match(kind)
		.with('refused', 'fenced', 'other-life', 'not-sent', () => true)
		.with('started', 'no-answer', () => false)
		.exhaustive();

/** What the caller must do after an answer has been applied. */
export type AnswerEffect = 'none' | 'fenced' | 'look-again';

/** Applies the answer to a start. */
export const applyStartAnswer = (
	owner: Owner,
	run: Run,
	answer: StartAnswer,
	now: number,
): AnswerEffect => {
	owner.startWindow = recordStartOutcome(
		owner.startWindow,
		{
			askedAt: run.askedAt,
			isAnswered: answer.kind !== 'no-answer' && answer.kind !== 'not-sent',
			wasSent: answer.kind !== 'not-sent',
		},
		now,
	);
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyStartOutcome(
				{
					owner,
					executor,
					run,
					now,
					isOutdated: executor.tokenRaise > run.startRaise,
				},
				answer,
			)
		: 'none';
};

/** Removes a run whose start was certainly not carried out. */
const removeTurnedAway = (owner: Owner, executor: Executor, run: Run): void => {
	removeRun(executor, run);
	noteTurnedAway(owner, run);
	noteRunOfSuspect(owner, run.task);
};

const backOff = (executor: Executor, now: number): void => {
	executor.quarantinedUntil = Math.max(
		executor.quarantinedUntil,
		now + refusalBackoffMs,
	);
};

/**
 * Whether an answer shows that another incarnation than the one whose clock the
 * lease was counted by has started a run.
 */
const isStartOfNext = (
	{run: {incarnation}, isOutdated}: AnsweredCommand,
	clockMs: number,
): boolean =>
	isOutdated || (incarnation?.clockMs ?? Number.NEGATIVE_INFINITY) > clockMs;

const applyStartOutcome = (
	command: AnsweredCommand,
	answer: StartAnswer,
): AnswerEffect => {
	const {owner, executor, run, now, isOutdated} = command;
	return match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'started'}, ({clockMs}) => {
			if (isStartOfNext(command, clockMs)) {
				// The poll that fences the executor shows whether it still runs.
				run.confirmedAt ??= now;
				run.state = run.state === 'asked' ? 'running' : run.state;
				run.task.step.occurrence.job.hasStarted = true;
				if (!isOutdated) {
					run.confirmedClockMs ??= clockMs;
					const phase = restartPhases.shown;
					noteRestart(
						owner,
						executor,
						{startedAtEpochMs: undefined, phase},
						now,
					);
				}

				return 'look-again';
			}

			recordClockReading(executor, clockMs, now);
			confirmRun(run, clockMs, now);
			recordConfirmedStart(run, now);
			run.progressedAt = now;
			run.state = run.state === 'asked' ? 'running' : run.state;
			run.task.step.occurrence.job.hasStarted = true;
			return 'none';
		})
		.with({kind: 'refused'}, ({reason, clockMs}) => {
			if (clockMs !== undefined && !isOutdated) {
				// The lease of the start may have rested on an old reading.
				recordClockReading(executor, clockMs, now);
			}

			removeTurnedAway(owner, executor, run);
			if (reason === 'ticket') {
				dropTicket(owner, run.task.step, executor.id);
				return 'none';
			}

			backOff(executor, now);
			return 'none';
		})
		.with({kind: 'not-sent'}, () => {
			removeTurnedAway(owner, executor, run);
			backOff(executor, now);
			return 'none';
		})
		.with({kind: 'fenced'}, () => {
			if (isOutdated) {
				removeTurnedAway(owner, executor, run);
				return 'look-again';
			}

			removeRun(executor, run);
			return 'fenced';
		})
		.with({kind: 'other-life'}, () => {
			// It was turned away, wherever the executor is now.
			removeTurnedAway(owner, executor, run);
			markUnresponsive(owner, executor.id, now);
			return 'look-again';
		})
		.with({kind: 'no-answer'}, () => {
			run.state = run.state === 'asked' ? 'unsettled' : run.state;
			markUnresponsive(owner, executor.id, now);
			return 'look-again';
		})
		.exhaustive();
};

/**
 * Applies the answer to a stop. After a positive answer the incarnation that gave
 * it no longer accepts a start of that run, and the next poll shows whether it
 * exists.
 */
export const applyStopAnswer = (
	owner: Owner,
	run: Run,
	answer: CommandAnswer,
	now: number,
): AnswerEffect => {
	const executor = owner.executors.get(run.executorId);
	return executor
		? applyStopOutcome(
				{
					owner,
					executor,
					run,
					now,
					isOutdated: executor.tokenRaise > run.stopRaise,
				},
				answer,
			)
		: 'none';
};

/** Has a stop planned again after the next poll. */
const replanStop = (run: Run): void => {
	run.isStopPending = false;
	run.state = run.confirmedAt === undefined ? 'unsettled' : 'running';
};

const applyStopOutcome = (
	{owner, executor, run, now, isOutdated}: AnsweredCommand,
	answer: CommandAnswer,
): AnswerEffect =>
	match(answer)
		.returnType<AnswerEffect>()
		.with({kind: 'done'}, ({clockMs}) => {
			if (isOutdated) {
				replanStop(run);
				return 'look-again';
			}

			recordClockReading(executor, clockMs, now);
			run.confirmedAt ??= now;
			clearIfProbationIsOver(owner, run);
			return 'look-again';
		})
		.with(
			{kind: 'refused'},
			{kind: 'not-sent'},
			{kind: 'no-answer'},
			{kind: 'fenced'},
			{kind: 'other-life'},
			({kind}) => {
				replanStop(run);
				if (kind === 'no-answer') {
					run.mayStopUntil = now + owner.cfg.maxTransitMs + owner.cfg.maxStopMs;
				}

				if (kind === 'no-answer' || kind === 'other-life') {
					markUnresponsive(owner, executor.id, now);
				}

				return kind === 'fenced' && !isOutdated ? kind : 'look-again';
			},
		)
		.exhaustive();
