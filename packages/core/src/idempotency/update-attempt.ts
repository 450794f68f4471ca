/**
 * Applies events to an attempt. Effects are returned as commands for the
 * daemon to execute.
 */
import {match} from 'ts-pattern';
import * as attempts from './attempt.js';
import type {Attempt, Claim, Event, Intent, Step} from './attempt.js';
import * as claims from './claim.js';
import type {Time} from './lookup.js';
import type {Settings} from './settings.js';
import * as completion from './completion.js';

type EventOf<Kind extends Event['kind']> = Extract<Event, {kind: Kind}>;

/** Creates an attempt and starts its first call to the store. */
export const createAttempt = (
	claim: Claim,
	settings: Settings,
	time: Time,
): Step => {
	const attempt: Attempt = {
		claim,
		settings,
		intent: {kind: 'look', known: undefined},
		pending: {kind: 'pause', until: time.now},
		failures: 0,
		isAnswered: false,
		storeWaitStartedAt: claim.createdAt,
		completeBy: claim.deadline + settings.settleWithinMs,
	};
	return settings.isReadFirst
		? claims.readRow(attempt, {kind: 'look', known: undefined})
		: claims.claimKey(attempt, {kind: 'absent'}, time);
};

/** True if the attempt has ended. */
export const isEnded = (attempt: Attempt): boolean =>
	attempt.intent.kind === 'end';

/** Ignores an event that does not fit the state. */
const ignore = (attempt: Attempt): Step => ({attempt, commands: []});

const updateRead = (
	attempt: Attempt,
	event: EventOf<'read'>,
	time: Time,
): Step => {
	const {intent} = attempt;
	const read = event.result.kind === 'row' ? event.result : undefined;
	return match(intent)
		.with({kind: 'look'}, (readIntent) =>
			claims.applyRowRead(attempt, readIntent, read, time),
		)
		.with({kind: 'start'}, (start) =>
			claims.applyStartedRead(attempt, start, read, time),
		)
		.with({kind: 'settle'}, (end) =>
			completion.applyCompletionRead(attempt, end, read, time.now),
		)
		.with({kind: 'run'}, {kind: 'keep'}, {kind: 'fetch'}, {kind: 'end'}, () =>
			ignore(attempt),
		)
		.exhaustive();
};

const updateWritten = (
	attempt: Attempt,
	event: EventOf<'written'>,
	time: Time,
): Step => {
	const {intent} = attempt;
	if (intent.kind === 'start') {
		return claims.updateStart(attempt, intent, event.result, time);
	}

	return intent.kind === 'settle'
		? completion.updateCompletion(attempt, intent, event.result, time.now)
		: ignore(attempt);
};

/** Replies at the deadline; a pending call is still awaited. */
const replyAtDeadline = (attempt: Attempt): Step => {
	const {settings} = attempt;
	const keep = (next: Attempt): Step => ({attempt: next, commands: []});
	const isDoubtful = (start: Extract<Intent, {kind: 'start'}>) =>
		start.isDoubtful || attempt.pending.kind === 'call';
	return match(attempt.intent)
		.with({kind: 'look'}, ({known}) =>
			attempts.replyThen(
				attempt,
				known === undefined
					? attempts.createOutageReply(attempt)
					: attempts.createErrorReply('still-running', settings.maxPollMs),
				attempts.endAttempt,
			),
		)
		.with({kind: 'start'}, (start) =>
			attempts.replyThen(
				attempt,
				isDoubtful(start)
					? attempts.createErrorReply('store-unknown', settings.maxPauseMs)
					: attempts.createOutageReply(attempt),
				isDoubtful(start) ? keep : attempts.endAttempt,
			),
		)
		.with({kind: 'fetch'}, () =>
			attempts.replyThen(
				attempt,
				attempts.createErrorReply('answer-unavailable', settings.maxPollMs),
				attempts.endAttempt,
			),
		)
		.with({kind: 'run'}, {kind: 'keep'}, {kind: 'settle'}, {kind: 'end'}, () =>
			attempts.replyThen(
				attempt,
				attempts.createErrorReply('upstream-timeout'),
				keep,
			),
		)
		.exhaustive();
};

/** Starts the next call after a pause. */
const resume = (attempt: Attempt): Step =>
	match(attempt.intent)
		.with({kind: 'look'}, (readIntent) => claims.readRow(attempt, readIntent))
		.with({kind: 'start'}, (start) => claims.resumeStart(attempt, start))
		.with({kind: 'keep'}, (keep) => completion.putAnswer(attempt, keep))
		.with({kind: 'settle'}, (end) => completion.resumeCompletion(attempt, end))
		.with({kind: 'fetch'}, (fetch) => claims.fetchAnswer(attempt, fetch))
		.with({kind: 'run'}, {kind: 'end'}, () => ignore(attempt))
		.exhaustive();

const updateTick = (attempt: Attempt, time: Time): Step => {
	const isLate =
		!attempt.isAnswered && time.now >= attempts.getReplyDeadline(attempt);
	const step = isLate ? replyAtDeadline(attempt) : ignore(attempt);
	const {pending} = step.attempt;
	if (pending.kind === 'call' || time.now < pending.until) {
		return step;
	}

	const resumed = resume(step.attempt);
	return {...resumed, commands: [...step.commands, ...resumed.commands]};
};

/** Cancels a request whose caller has left, unless it is already running. */
const cancelAttempt = (attempt: Attempt): Step => {
	if (attempt.isAnswered || attempt.intent.kind === 'run') {
		return ignore(attempt);
	}

	const {attempt: next} = replyAtDeadline(attempt);
	return ignore(next);
};

/** Applies an event; an ended attempt is not changed. */
export const updateAttempt = (
	attempt: Attempt,
	event: Event,
	time: Time,
): Step => {
	const {intent} = attempt;
	if (intent.kind === 'end') {
		return ignore(attempt);
	}

	return match(event)
		.with({kind: 'read'}, (read) => updateRead(attempt, read, time))
		.with({kind: 'written'}, (written) => updateWritten(attempt, written, time))
		.with({kind: 'ran'}, ({result}) =>
			intent.kind === 'run'
				? completion.updateRun(attempt, intent, result)
				: ignore(attempt),
		)
		.with({kind: 'object-put'}, ({isKept}) =>
			intent.kind === 'keep'
				? completion.updateKeep(attempt, intent, isKept, time.now)
				: ignore(attempt),
		)
		.with({kind: 'object-got'}, ({body}) =>
			intent.kind === 'fetch'
				? claims.updateFetch(attempt, intent, body)
				: ignore(attempt),
		)
		.with({kind: 'tick'}, () => updateTick(attempt, time))
		.with({kind: 'caller-gone'}, () => cancelAttempt(attempt))
		.exhaustive();
};
