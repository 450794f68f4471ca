/**
 * First phase of an attempt: reads the row of the key, and commits the started
 * row before the request is sent.
 *
 * The outcome of a started write without a reply is unknown. The write may
 * take effect even after a read that does not show it, so it is resolved only
 * by a row that rules out the other outcome: the attempt's own row (committed)
 * or a newer row of another attempt (the precondition can no longer hold). If
 * the row is unchanged, the write is repeated with the same precondition, so
 * that at most one of the two takes effect.
 */
import {Buffer} from 'node:buffer';
import type {ErrorKind} from '../errors/error-table.js';
import * as attempts from './attempt.js';
import type {Attempt, Intent, Step, WriteResult} from './attempt.js';
import type {Lookup, Time} from './lookup.js';
import * as lookup from './lookup.js';
import type {FinishedRow, StoredRow, Precondition} from './row.js';
import * as rows from './row.js';
import * as completion from './completion.js';

type ReadIntent = Extract<Intent, {kind: 'look'}>;
type StartIntent = Extract<Intent, {kind: 'start'}>;

/** Result of a read of the row; `undefined` if the read failed. */
type Read = {readonly stored: StoredRow | undefined} | undefined;

/** Replies with an error and ends; the attempt has written no row. */
const refuse = (
	attempt: Attempt,
	error: ErrorKind,
	retryAfterMs?: number,
): Step =>
	attempts.replyThen(
		attempt,
		attempts.createErrorReply(error, retryAfterMs),
		attempts.endAttempt,
	);

const replay = (attempt: Attempt, row: FinishedRow): Step => {
	const {answer} = row;
	switch (answer.kind) {
		case 'inline': {
			const {status, headers, bodyBase64} = answer;
			const body = Buffer.from(bodyBase64, 'base64');
			return attempts.replyThen(
				attempt,
				{kind: 'answer', answer: {status, headers, body}, isReplay: true},
				attempts.endAttempt,
			);
		}

		case 'object': {
			return fetchAnswer(attempt, {kind: 'fetch', row});
		}

		case 'not-kept': {
			return refuse(attempt, 'answer-not-kept');
		}
	}
};

/** Reads a large answer from the object store. */
export const fetchAnswer = (
	attempt: Attempt,
	intent: Extract<Intent, {kind: 'fetch'}>,
): Step => {
	const {answer} = intent.row;
	return answer.kind === 'object'
		? attempts.startCall(attempt, intent, {
				kind: 'get-object',
				name: answer.name,
			})
		: refuse(attempt, 'answer-unavailable');
};

/** Replies with the answer that was read, unless it is incomplete. */
export const updateFetch = (
	attempt: Attempt,
	intent: Extract<Intent, {kind: 'fetch'}>,
	body: Uint8Array | undefined,
): Step => {
	const {answer} = intent.row;
	const isComplete =
		answer.kind === 'object' && body?.byteLength === answer.bytes;
	if (!isComplete || body === undefined) {
		return refuse(attempt, 'answer-unavailable', attempt.settings.maxPollMs);
	}

	const {status, headers} = answer;
	return attempts.replyThen(
		attempt,
		{kind: 'answer', answer: {status, headers, body}, isReplay: true},
		attempts.endAttempt,
	);
};

/** Reads the row of the key. */
export const readRow = (attempt: Attempt, intent: ReadIntent): Step =>
	attempts.startCall(attempt, intent, {kind: 'read'});

/** Sends the started write. */
export const writeStarted = (attempt: Attempt, intent: StartIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'write',
		row: intent.row,
		when: intent.when,
		isUrgent: true,
	});

/** Creates the started row and writes it under a precondition. */
export const claimKey = (
	attempt: Attempt,
	when: Precondition,
	time: Time,
): Step => {
	const {intent} = attempt;
	const hasWaited = intent.kind === 'look' && intent.known !== undefined;
	const storeWaitStartedAt = hasWaited ? time.now : attempt.storeWaitStartedAt;
	return writeStarted(
		{...attempt, storeWaitStartedAt},
		{
			kind: 'start',
			row: attempts.createStartedRow(attempt, time),
			when,
			createdAt: time.now,
			isDoubtful: false,
		},
	);
};

/** Pauses before the next read of a row that another attempt holds. */
const waitForHolder = (
	attempt: Attempt,
	step: Extract<Lookup, {kind: 'wait'}>,
	now: number,
): Step => {
	const {settings, claim, failures} = attempt;
	const pollMs = Math.min(
		settings.pollMs * 2 ** Math.min(failures, 20),
		settings.maxPollMs,
	);
	const until = now + Math.min(pollMs * (0.5 + claim.jitter / 2), step.forMs);
	return {
		attempt: {
			...attempt,
			intent: {kind: 'look', known: step.row},
			failures: failures + 1,
			pending: {kind: 'pause', until},
		},
		commands: [],
	};
};

/** Decides by the row of the key, which this attempt does not hold. */
const decideByRow = (
	attempt: Attempt,
	stored: StoredRow | undefined,
	time: Time,
): Step => {
	const {claim, settings} = attempt;
	const {fingerprint, holder} = claim;
	const context = {fingerprint, holder, settings};
	const decision = lookup.decideLookup(stored, context, time.date);
	switch (decision.kind) {
		case 'take': {
			return claimKey(attempt, decision.when, time);
		}

		case 'replay': {
			return replay(attempt, decision.row);
		}

		case 'wait': {
			return waitForHolder(attempt, decision, time.now);
		}

		case 'refuse': {
			return refuse(attempt, decision.error, decision.retryAfterMs);
		}
	}
};

/** Pauses before the next try, or refuses after the last one. */
const pauseOrRefuse = (
	attempt: Attempt,
	intent: ReadIntent | StartIntent,
	now: number,
): Step => {
	const {failures, settings, isAnswered} = attempt;
	return !isAnswered && failures + 1 < settings.storeTries
		? attempts.pauseBeforeRetry(attempt, intent, now)
		: attempts.replyThen(
				attempt,
				attempts.createOutageReply(attempt),
				attempts.endAttempt,
			);
};

/** Applies the first or a repeated read of the row. */
export const applyRowRead = (
	attempt: Attempt,
	intent: ReadIntent,
	read: Read,
	time: Time,
): Step => {
	if (attempt.isAnswered) {
		return attempts.endAttempt(attempt);
	}

	if (read !== undefined) {
		return decideByRow(attempt, read.stored, time);
	}

	return intent.known === undefined
		? pauseOrRefuse(attempt, intent, time.now)
		: attempts.pauseBeforeRetry(attempt, intent, time.now);
};

/** True if the request may still be sent, by both clocks of the entry. */
const mayDispatch = (
	attempt: Attempt,
	intent: StartIntent,
	time: Time,
): boolean => {
	const {settings, isAnswered} = attempt;
	const {startedAt} = intent.row;
	return (
		!isAnswered &&
		time.now < getDispatchBy(attempt, intent) &&
		time.date >= startedAt - settings.clockSkewMs &&
		time.date < startedAt + settings.dispatchWithinMs
	);
};

/** Latest time of dispatch, counted from before the started write. */
export const getDispatchBy = (attempt: Attempt, intent: StartIntent): number =>
	Math.min(
		attempt.claim.deadline,
		intent.createdAt + attempt.settings.dispatchWithinMs,
	);

/** Dispatches after the started row is committed, or releases the key. */
const dispatchOrRelease = (
	attempt: Attempt,
	intent: StartIntent,
	version: number,
	time: Time,
): Step => {
	const {row} = intent;
	if (mayDispatch(attempt, intent, time)) {
		return attempts.startCall(
			attempt,
			{kind: 'run', row, version},
			{kind: 'dispatch', dispatchBy: getDispatchBy(attempt, intent)},
		);
	}

	return attempts.replyThen(
		attempt,
		attempts.createErrorReply('deadline-in-queue'),
		(next) => completion.startRelease(next, row, {kind: 'version', version}),
	);
};

/** Repeats the started write, or releases the key if already answered. */
const repeatStartedWrite = (attempt: Attempt, intent: StartIntent): Step =>
	attempt.isAnswered
		? completion.startRelease(attempt, intent.row, intent.when)
		: writeStarted(attempt, intent);

/** Applies the row that resolves a started write. */
const resolveStarted = (
	attempt: Attempt,
	intent: StartIntent,
	stored: StoredRow | undefined,
	time: Time,
): Step => {
	if (stored !== undefined && rows.isHeldBy(stored, attempt.claim.holder)) {
		return dispatchOrRelease(attempt, intent, stored.version, time);
	}

	return attempt.isAnswered
		? attempts.endAttempt(attempt)
		: decideByRow(attempt, stored, time);
};

/** Applies the result of the started write. */
export const updateStart = (
	attempt: Attempt,
	intent: StartIntent,
	result: WriteResult,
	time: Time,
): Step => {
	switch (result.kind) {
		case 'committed': {
			return dispatchOrRelease(attempt, intent, result.version, time);
		}

		case 'conflict': {
			return resolveStarted(attempt, intent, result.current, time);
		}

		case 'refused': {
			return intent.isDoubtful
				? attempts.pauseBeforeRetry(attempt, intent, time.now)
				: pauseOrRefuse(attempt, intent, time.now);
		}

		case 'lost': {
			const unresolved = {...intent, isDoubtful: true};
			return attempts.pauseBeforeRetry(attempt, unresolved, time.now);
		}
	}
};

/** Resumes after a pause; reads the row first if a write is unresolved. */
export const resumeStart = (attempt: Attempt, intent: StartIntent): Step => {
	if (intent.isDoubtful) {
		return attempts.startCall(attempt, intent, {kind: 'read'});
	}

	return repeatStartedWrite(attempt, intent);
};

/** Applies the read after an unresolved started write. */
export const applyStartedRead = (
	attempt: Attempt,
	intent: StartIntent,
	read: Read,
	time: Time,
): Step => {
	if (read !== undefined) {
		const {stored} = read;
		const isResolved =
			rows.isHeldBy(stored, attempt.claim.holder) ||
			rows.isPreconditionRuledOut(stored, intent.when);
		return isResolved
			? resolveStarted(attempt, intent, stored, time)
			: repeatStartedWrite(attempt, intent);
	}

	return time.now >= attempt.completeBy
		? attempts.endAttempt(attempt)
		: attempts.pauseBeforeRetry(attempt, intent, time.now);
};
