/**
 * The beginning of an attempt: the row is read, and the started row is
 * committed before anything is sent.
 *
 * A started write without a reply is in doubt. It may take effect even after
 * a read that does not show it, so that only a row seen there decides: the
 * own row (committed), or another row (the precondition can no longer hold).
 * Over an unchanged row the write is sent again under the same precondition,
 * so that at most one of the two takes effect.
 */
import {Buffer} from 'node:buffer';
import type {ErrorKind} from '../errors/error-table.js';
import * as attempts from './attempt.js';
import type {Attempt, Intent, Step, WriteResult} from './attempt.js';
import type {Lookup, Time} from './lookup.js';
import * as lookup from './lookup.js';
import type {FinishedRow, StoredRow, Precondition} from './row.js';
import * as rows from './row.js';
import * as settle from './completion.js';

type LookIntent = Extract<Intent, {kind: 'look'}>;
type StartIntent = Extract<Intent, {kind: 'start'}>;

/** A read of the row: what is there, or `undefined` if the read failed. */
type Read = {readonly stored: StoredRow | undefined} | undefined;

/** Answers with an error and ends; nothing of the attempt is in the store. */
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

/** Goes on after a large answer was read; one cut short is not given. */
export const updateFetch = (
	attempt: Attempt,
	intent: Extract<Intent, {kind: 'fetch'}>,
	body: Uint8Array | undefined,
): Step => {
	const {answer} = intent.row;
	const isWhole = answer.kind === 'object' && body?.byteLength === answer.bytes;
	if (!isWhole || body === undefined) {
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
export const readRow = (attempt: Attempt, intent: LookIntent): Step =>
	attempts.startCall(attempt, intent, {kind: 'read'});

/** Sends the started write, the first time or again. */
export const writeStarted = (attempt: Attempt, intent: StartIntent): Step =>
	attempts.startCall(attempt, intent, {
		kind: 'write',
		row: intent.row,
		when: intent.when,
		isUrgent: true,
	});

/** Begins the started write under a precondition. */
export const claimKey = (
	attempt: Attempt,
	when: Precondition,
	time: Time,
): Step => {
	const {intent} = attempt;
	const hasWaited = intent.kind === 'look' && intent.known !== undefined;
	const storeFrom = hasWaited ? time.now : attempt.storeWaitStartedAt;
	return writeStarted(
		{...attempt, storeWaitStartedAt: storeFrom},
		{
			kind: 'start',
			row: attempts.createStartedRow(attempt, time),
			when,
			createdAt: time.now,
			isDoubtful: false,
		},
	);
};

/** Pauses between two reads of a row that another attempt holds. */
const wait = (
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

/** Goes on with the row of the key, which is not this attempt's. */
const proceed = (
	attempt: Attempt,
	stored: StoredRow | undefined,
	time: Time,
): Step => {
	const {claim, settings} = attempt;
	const {fingerprint, holder} = claim;
	const context = {fingerprint, holder, settings};
	const found = lookup.decideLookup(stored, context, time.date);
	switch (found.kind) {
		case 'take': {
			return claimKey(attempt, found.when, time);
		}

		case 'replay': {
			return replay(attempt, found.row);
		}

		case 'wait': {
			return wait(attempt, found, time.now);
		}

		case 'refuse': {
			return refuse(attempt, found.error, found.retryAfterMs);
		}
	}
};

/** Pauses before another call, or refuses after the last try. */
const pauseOrRefuse = (
	attempt: Attempt,
	intent: LookIntent | StartIntent,
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

/** Goes on after the row was read. */
export const applyRowRead = (
	attempt: Attempt,
	intent: LookIntent,
	read: Read,
	time: Time,
): Step => {
	if (attempt.isAnswered) {
		return attempts.endAttempt(attempt);
	}

	if (read !== undefined) {
		return proceed(attempt, read.stored, time);
	}

	return intent.known === undefined
		? pauseOrRefuse(attempt, intent, time.now)
		: attempts.pauseBeforeRetry(attempt, intent, time.now);
};

/** True if a request may still be sent, by both clocks of the entry. */
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

/** Last moment of a dispatch, counted from before the started write. */
export const getDispatchBy = (attempt: Attempt, intent: StartIntent): number =>
	Math.min(
		attempt.claim.deadline,
		intent.createdAt + attempt.settings.dispatchWithinMs,
	);

/** The started row is certainly there: dispatch, or give the key back. */
const goOn = (
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
		(next) => settle.startRelease(next, row, {kind: 'version', version}),
	);
};

/** Sends the started write again, or gives up and releases in its place. */
const writeAgain = (attempt: Attempt, intent: StartIntent): Step =>
	attempt.isAnswered
		? settle.startRelease(attempt, intent.row, intent.when)
		: writeStarted(attempt, intent);

/** Goes on with the row as it certainly is after a started write. */
const compareStarted = (
	attempt: Attempt,
	intent: StartIntent,
	stored: StoredRow | undefined,
	time: Time,
): Step => {
	if (stored !== undefined && rows.isHeldBy(stored, attempt.claim.holder)) {
		return goOn(attempt, intent, stored.version, time);
	}

	return attempt.isAnswered
		? attempts.endAttempt(attempt)
		: proceed(attempt, stored, time);
};

/** Goes on after the started write. */
export const updateStart = (
	attempt: Attempt,
	intent: StartIntent,
	result: WriteResult,
	time: Time,
): Step => {
	switch (result.kind) {
		case 'committed': {
			return goOn(attempt, intent, result.version, time);
		}

		case 'conflict': {
			return compareStarted(attempt, intent, result.current, time);
		}

		case 'refused': {
			return intent.isDoubtful
				? attempts.pauseBeforeRetry(attempt, intent, time.now)
				: pauseOrRefuse(attempt, intent, time.now);
		}

		case 'lost': {
			const doubtful = {...intent, isDoubtful: true};
			return attempts.pauseBeforeRetry(attempt, doubtful, time.now);
		}
	}
};

/** Resumes after a pause: a write in doubt is read back first. */
export const resumeStart = (attempt: Attempt, intent: StartIntent): Step => {
	if (intent.isDoubtful) {
		return attempts.startCall(attempt, intent, {kind: 'read'});
	}

	return writeAgain(attempt, intent);
};

/** Goes on after a started write in doubt was read back. */
export const applyStartedRead = (
	attempt: Attempt,
	intent: StartIntent,
	read: Read,
	time: Time,
): Step => {
	if (read !== undefined) {
		const {stored} = read;
		const isDecided =
			rows.isHeldBy(stored, attempt.claim.holder) ||
			rows.isPreconditionRuledOut(stored, intent.when);
		return isDecided
			? compareStarted(attempt, intent, stored, time)
			: writeAgain(attempt, intent);
	}

	return time.now >= attempt.completeBy
		? attempts.endAttempt(attempt)
		: attempts.pauseBeforeRetry(attempt, intent, time.now);
};
