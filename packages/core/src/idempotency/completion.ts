/**
 * Last phase of an attempt: records the result after the dispatch, or releases
 * the key without one. Every write is conditional on the holder's own started
 * row, so that it can be repeated after a lost reply.
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

type FinalIntent = Extract<Intent, {kind: 'settle'}>;
type KeepIntent = Extract<Intent, {kind: 'keep'}>;

/** Name of the object that holds a large answer. */
export const formatObjectName = (operationId: string): string =>
	`idempotency/${operationId}`;

const writeFinalRow = (attempt: Attempt, intent: FinalIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'write',
		row: intent.row,
		when: intent.when,
		isUrgent: false,
	});

/** Writes the final row. */
export const startCompletion = (
	attempt: Attempt,
	row: FinalRow,
	when: Precondition,
): Step => writeFinalRow(attempt, {kind: 'settle', row, when});

/** Releases the key: the request was certainly not run. */
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

/** Stores a large answer in the object store, before the row is written. */
export const putAnswer = (attempt: Attempt, intent: KeepIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'put-object',
		name: formatObjectName(attempt.claim.holder.operationId),
		body: intent.answer.body,
	});

const storeAnswer = (
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

/** Applies the result of storing a large answer. */
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

/** Applies the result of the dispatch; replies before the row is written. */
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
				(next) => storeAnswer(next, intent, answer),
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

/** Pauses, or gives up; the row then stays as it is until it expires. */
const pauseOrGiveUp = (
	attempt: Attempt,
	intent: FinalIntent,
	now: number,
): Step =>
	now >= attempt.completeBy
		? attempts.endAttempt(attempt)
		: attempts.pauseBeforeRetry(attempt, intent, now);

/** Ends the attempt, or first replaces its own started row if present. */
const resolveFinalWrite = (
	attempt: Attempt,
	intent: FinalIntent,
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
		? writeFinalRow(attempt, {...intent, when})
		: attempts.endAttempt(attempt);
};

/** Applies the result of writing the final row. */
export const updateCompletion = (
	attempt: Attempt,
	intent: FinalIntent,
	result: WriteResult,
	now: number,
): Step => {
	switch (result.kind) {
		case 'committed': {
			return attempts.endAttempt(attempt);
		}

		case 'conflict': {
			return resolveFinalWrite(attempt, intent, result.current, now);
		}

		case 'refused':
		case 'lost': {
			return pauseOrGiveUp(attempt, intent, now);
		}
	}
};

/** Resumes after a pause with a read: the last write may have committed. */
export const resumeCompletion = (attempt: Attempt, intent: FinalIntent): Step =>
	attempts.startCall(attempt, intent, {kind: 'read'});

/**
 * Applies the read after a failed write. If the row does not resolve the write,
 * the same write is repeated, which also keeps a delayed started write of this
 * attempt from taking effect.
 */
export const applyCompletionRead = (
	attempt: Attempt,
	intent: FinalIntent,
	result: {readonly stored: StoredRow | undefined} | undefined,
	now: number,
): Step => {
	if (result === undefined || now >= attempt.completeBy) {
		return pauseOrGiveUp(attempt, intent, now);
	}

	const {stored} = result;
	const isResolved =
		rows.isHeldBy(stored, attempt.claim.holder) ||
		rows.isPreconditionRuledOut(stored, intent.when);
	return isResolved
		? resolveFinalWrite(attempt, intent, stored, now)
		: writeFinalRow(attempt, intent);
};
