/**
 * The end of an attempt: what is recorded after the dispatch, or in place of
 * it. Every write is conditional on the holder's own started row, so that it
 * may be sent again after a lost reply.
 */
import {Buffer} from 'node:buffer';
import * as attempts from './attempt.js';
import type {
	Answer,
	Attempt,
	Intent,
	RunResult,
	Step,
	WriteResult,
} from './attempt.js';
import type {
	FinalRow,
	StartedRow,
	StoredAnswer,
	StoredRow,
	Precondition,
} from './row.js';
import * as rows from './row.js';

type SettleIntent = Extract<Intent, {kind: 'settle'}>;
type KeepIntent = Extract<Intent, {kind: 'keep'}>;

/** Name of the object that holds a large answer. */
export const formatObjectName = (operationId: string): string =>
	`idempotency/${operationId}`;

const writeSettled = (attempt: Attempt, intent: SettleIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'write',
		row: intent.row,
		when: intent.when,
		isUrgent: false,
	});

/** Writes the last state of a row. */
export const startCompletion = (
	attempt: Attempt,
	row: FinalRow,
	when: Precondition,
): Step => writeSettled(attempt, {kind: 'settle', row, when});

/** Gives the key back: the request was certainly not run. */
export const startRelease = (
	attempt: Attempt,
	row: StartedRow,
	when: Precondition,
): Step => startCompletion(attempt, {...row, state: 'released'}, when);

const startFinish = (
	attempt: Attempt,
	intent: {readonly row: StartedRow; readonly version: number},
	answer: StoredAnswer,
): Step =>
	startCompletion(
		attempt,
		{...intent.row, state: 'finished', answer},
		{kind: 'version', version: intent.version},
	);

const encodeInline = (answer: Answer): StoredAnswer => ({
	kind: 'inline',
	status: answer.status,
	headers: answer.headers,
	bodyBase64: Buffer.from(answer.body).toString('base64'),
});

/** Puts a large answer in the object store; the row follows. */
export const putAnswer = (attempt: Attempt, intent: KeepIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'put-object',
		name: formatObjectName(attempt.claim.holder.operationId),
		body: intent.answer.body,
	});

const keepAnswer = (
	attempt: Attempt,
	run: Extract<Intent, {kind: 'run'}>,
	answer: Answer,
): Step => {
	const {inlineBytes, maxAnswerBytes} = attempt.settings;
	const {status, body} = answer;
	if (body.byteLength <= inlineBytes) {
		return startFinish(attempt, run, encodeInline(answer));
	}

	return body.byteLength <= maxAnswerBytes
		? putAnswer(attempt, {...run, kind: 'keep', answer})
		: startFinish(attempt, run, {kind: 'not-kept', status});
};

/** Goes on after the put of a large answer. */
export const updateKeep = (
	attempt: Attempt,
	intent: KeepIntent,
	isKept: boolean,
	now: number,
): Step => {
	const {status, headers, body} = intent.answer;
	if (isKept) {
		const name = formatObjectName(attempt.claim.holder.operationId);
		const bytes = body.byteLength;
		return startFinish(attempt, intent, {
			kind: 'object',
			status,
			headers,
			name,
			bytes,
		});
	}

	return attempt.failures + 1 < attempt.settings.putTries
		? attempts.pauseBeforeRetry(attempt, intent, now)
		: startFinish(attempt, intent, {kind: 'not-kept', status});
};

/** Goes on after the dispatch. The caller is told before the row is written. */
export const updateRun = (
	attempt: Attempt,
	intent: Extract<Intent, {kind: 'run'}>,
	result: RunResult,
): Step => {
	const when = {kind: 'version', version: intent.version} as const;
	switch (result.kind) {
		case 'answered': {
			const {answer} = result;
			return attempts.replyThen(
				attempt,
				{kind: 'answer', answer, isReplay: false},
				(next) => keepAnswer(next, intent, answer),
			);
		}

		case 'streamed': {
			const {status} = result;
			return attempts.replyThen(
				attempt,
				attempts.createErrorReply('answer-not-kept'),
				(next) => startFinish(next, intent, {kind: 'not-kept', status}),
			);
		}

		case 'refused': {
			return attempts.replyThen(
				attempt,
				attempts.createErrorReply(result.error),
				(next) => startRelease(next, intent.row, when),
			);
		}

		case 'lost': {
			return attempts.replyThen(
				attempt,
				attempts.createErrorReply(result.error),
				(next) =>
					startCompletion(next, {...intent.row, state: 'unknown'}, when),
			);
		}
	}
};

/** Pauses, or gives up for good: the row stays as it is until it expires. */
const pauseSettle = (
	attempt: Attempt,
	intent: SettleIntent,
	now: number,
): Step =>
	now >= attempt.completeBy
		? attempts.endAttempt(attempt)
		: attempts.pauseBeforeRetry(attempt, intent, now);

/** Ends over a row that is certainly there; an own started one is replaced. */
const settleOver = (
	attempt: Attempt,
	intent: SettleIntent,
	stored: StoredRow | undefined,
	now: number,
): Step => {
	const isOwn = rows.isHeldBy(stored, attempt.claim.holder);
	const isLate = now >= attempt.completeBy;
	if (stored === undefined || !isOwn || isLate) {
		return attempts.endAttempt(attempt);
	}

	const when = {kind: 'version', version: stored.version} as const;
	return stored.row?.state === 'started'
		? writeSettled(attempt, {...intent, when})
		: attempts.endAttempt(attempt);
};

/** Goes on after a write of the last state. */
export const updateCompletion = (
	attempt: Attempt,
	intent: SettleIntent,
	result: WriteResult,
	now: number,
): Step => {
	switch (result.kind) {
		case 'committed': {
			return attempts.endAttempt(attempt);
		}

		case 'conflict': {
			return settleOver(attempt, intent, result.current, now);
		}

		case 'refused':
		case 'lost': {
			return pauseSettle(attempt, intent, now);
		}
	}
};

/** Resumes after a pause, by reading: the last write may have committed. */
export const resumeCompletion = (
	attempt: Attempt,
	intent: SettleIntent,
): Step => attempts.startCall(attempt, intent, {kind: 'read'});

/**
 * Goes on after the row was read back. Over a row that decides nothing the
 * same write is sent again, which also keeps a delayed started write of this
 * attempt from taking effect.
 */
export const applyCompletionRead = (
	attempt: Attempt,
	intent: SettleIntent,
	result: {readonly stored: StoredRow | undefined} | undefined,
	now: number,
): Step => {
	if (result === undefined || now >= attempt.completeBy) {
		return pauseSettle(attempt, intent, now);
	}

	const {stored} = result;
	const isDecided =
		rows.isHeldBy(stored, attempt.claim.holder) ||
		rows.isPreconditionRuledOut(stored, intent.when);
	return isDecided
		? settleOver(attempt, intent, stored, now)
		: writeSettled(attempt, intent);
};
