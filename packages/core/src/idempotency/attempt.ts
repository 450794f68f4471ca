/**
 * State of one attempt to run a request at most once, held by an entry and
 * updated by `updateAttempt` in ./update-attempt.ts.
 */
import type {ErrorKind, ErrorAnswer} from '../errors/error-table.js';
import * as errors from '../errors/error-table.js';
import type {Time} from './lookup.js';
import type {
	FinishedRow,
	Holder,
	KeyRow,
	FinalRow,
	StartedRow,
	StoredRow,
	Precondition,
} from './row.js';
import type {Settings} from './settings.js';

/** A complete answer of an upstream. */
export type Answer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** Reply to the caller. */
export type Reply =
	| {
			readonly kind: 'answer';
			readonly answer: Answer;
			/** True if the answer was recorded for an earlier request. */
			readonly isReplay: boolean;
	  }
	| {
			readonly kind: 'error';
			readonly error: ErrorKind;
			readonly outcome: ErrorAnswer['outcome'];
			readonly retryAfterMs?: number;
	  };

/** How a dispatch ended. */
export type RunResult =
	| {readonly kind: 'answered'; readonly answer: Answer}
	/** Answered with a body that is too large to be stored. */
	| {readonly kind: 'streamed'; readonly status: number}
	/** Certainly not run: no byte was sent, or the upstream refused it. */
	| {readonly kind: 'refused'; readonly error: ErrorKind}
	| {readonly kind: 'lost'; readonly error: ErrorKind};

/** How a conditional write ended. */
export type WriteResult =
	| {readonly kind: 'committed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current: StoredRow | undefined}
	/** The write certainly has no effect, now or later. */
	| {readonly kind: 'refused'}
	/** No reply: the write may have taken effect, or may still do so. */
	| {readonly kind: 'lost'};

/** Input of `updateAttempt`. An attempt has at most one pending call. */
export type Event =
	| {
			readonly kind: 'read';
			readonly result:
				| {readonly kind: 'row'; readonly stored: StoredRow | undefined}
				| {readonly kind: 'failed'};
	  }
	| {readonly kind: 'written'; readonly result: WriteResult}
	| {readonly kind: 'ran'; readonly result: RunResult}
	| {readonly kind: 'object-put'; readonly isKept: boolean}
	| {
			readonly kind: 'object-got';
			/** Undefined if the object is missing or could not be read. */
			readonly body: Uint8Array | undefined;
	  }
	/** The time returned by `getWakeAt` has been reached. */
	| {readonly kind: 'tick'}
	/** The caller no longer waits for the answer. */
	| {readonly kind: 'caller-gone'};

/** An effect that the daemon executes for the attempt. */
export type Command =
	| {readonly kind: 'read'}
	| {
			readonly kind: 'write';
			readonly row: KeyRow;
			readonly when: Precondition;
			/** True if a caller waits for the write. */
			readonly isUrgent: boolean;
	  }
	| {readonly kind: 'dispatch'; readonly dispatchBy: number}
	| {
			readonly kind: 'put-object';
			readonly name: string;
			readonly body: Uint8Array;
	  }
	| {readonly kind: 'get-object'; readonly name: string}
	| {readonly kind: 'reply'; readonly reply: Reply};

/** Current phase of an attempt. */
export type Intent =
	/** Read the row and decide; `known` is a started row read earlier. */
	| {readonly kind: 'look'; readonly known: StartedRow | undefined}
	/** Commit the started row. */
	| {
			readonly kind: 'start';
			readonly row: StartedRow;
			readonly when: Precondition;
			/** When the row was created, before it was first sent. */
			readonly createdAt: number;
			/** True if a write had no reply and no read has resolved it. */
			readonly isDoubtful: boolean;
	  }
	| {
			readonly kind: 'run';
			readonly row: StartedRow;
			readonly version: number;
	  }
	/** Store a large answer in the object store. */
	| {
			readonly kind: 'keep';
			readonly row: StartedRow;
			readonly version: number;
			readonly answer: Answer;
	  }
	/** Replace the started row by the final one. */
	| {
			readonly kind: 'settle';
			readonly row: FinalRow;
			readonly when: Precondition;
	  }
	/** Read a stored answer from the object store. */
	| {readonly kind: 'fetch'; readonly row: FinishedRow}
	| {readonly kind: 'end'};

/** What an attempt waits for. */
export type Pending =
	| {readonly kind: 'call'; readonly call: 'read' | 'write' | 'other'}
	| {readonly kind: 'pause'; readonly until: number};

/** The request of an attempt. All times are of the local clock. */
export type Claim = {
	readonly fingerprint: string;
	readonly holder: Holder;
	/** When the request was received. */
	readonly createdAt: number;
	/** When the caller must have a reply. */
	readonly deadline: number;
	/** Random number from 0 to 1 that spreads the pauses of several entries. */
	readonly jitter: number;
};

export type Attempt = {
	readonly claim: Claim;
	readonly settings: Settings;
	readonly intent: Intent;
	readonly pending: Pending;
	/** Consecutive failed calls of this intent. */
	readonly failures: number;
	/** True once the caller has a reply; nothing is dispatched after that. */
	readonly isAnswered: boolean;
	/** When the wait for the store began. */
	readonly storeWaitStartedAt: number;
	/** When the attempt stops writing. */
	readonly completeBy: number;
};

/** An updated attempt and the commands to execute, in this order. */
export type Step = {
	readonly attempt: Attempt;
	readonly commands: readonly Command[];
};

const startingIntents: ReadonlySet<Intent['kind']> = new Set(['look', 'start']);

/** True if this attempt cannot have sent anything yet. */
export const isBeforeDispatch = (attempt: Attempt): boolean =>
	startingIntents.has(attempt.intent.kind);

/** When the store must have answered a request not yet dispatched. */
export const getStoreDeadline = (attempt: Attempt): number => {
	const {claim, settings} = attempt;
	return Math.min(
		claim.deadline,
		attempt.storeWaitStartedAt + settings.storeWithinMs,
	);
};

/** When the caller is answered, whatever call is pending. */
export const getReplyDeadline = (attempt: Attempt): number => {
	const {intent, claim} = attempt;
	const isWaiting = intent.kind === 'look' && intent.known !== undefined;
	return isBeforeDispatch(attempt) && !isWaiting
		? getStoreDeadline(attempt)
		: claim.deadline;
};

/** When to send the next `tick` event, unless another event comes first. */
export const getWakeAt = (attempt: Attempt): number => {
	const answerBy = attempt.isAnswered
		? Number.POSITIVE_INFINITY
		: getReplyDeadline(attempt);
	return attempt.pending.kind === 'pause'
		? Math.min(attempt.pending.until, answerBy)
		: answerBy;
};

/** Sets the intent and starts its call. */
export const startCall = (
	attempt: Attempt,
	intent: Intent,
	command: Command,
): Step => {
	const call =
		command.kind === 'read' || command.kind === 'write'
			? command.kind
			: 'other';
	const failures = attempt.intent.kind === intent.kind ? attempt.failures : 0;
	return {
		attempt: {...attempt, intent, failures, pending: {kind: 'call', call}},
		commands: [command],
	};
};

/** Pauses before the next call of the intent, with exponential backoff. */
export const pauseBeforeRetry = (
	attempt: Attempt,
	intent: Intent,
	now: number,
): Step => {
	const {settings, claim} = attempt;
	const doubledMs = settings.pauseMs * 2 ** Math.min(attempt.failures, 20);
	const pauseMs =
		Math.min(doubledMs, settings.maxPauseMs) * (0.5 + claim.jitter / 2);
	return {
		attempt: {
			...attempt,
			intent,
			failures: attempt.failures + 1,
			pending: {kind: 'pause', until: now + pauseMs},
		},
		commands: [],
	};
};

/** Ends the attempt; it must have no pending call. */
export const endAttempt = (attempt: Attempt): Step => ({
	attempt: {
		...attempt,
		intent: {kind: 'end'},
		pending: {kind: 'pause', until: Number.POSITIVE_INFINITY},
	},
	commands: [],
});

/** Puts the reply before the commands of `next`, unless one was sent. */
export const replyThen = (
	attempt: Attempt,
	reply: Reply,
	next: (answered: Attempt) => Step,
): Step => {
	const step = next({...attempt, isAnswered: true});
	return attempt.isAnswered
		? step
		: {...step, commands: [{kind: 'reply', reply}, ...step.commands]};
};

export const createErrorReply = (
	error: ErrorKind,
	retryAfterMs?: number,
): Reply => {
	const {outcome} = errors.getErrorAnswer(error);
	return retryAfterMs === undefined
		? {kind: 'error', error, outcome}
		: {kind: 'error', error, outcome, retryAfterMs};
};

/** Creates the error reply for an unavailable store. */
export const createOutageReply = (attempt: Attempt): Reply => {
	const {outageOutcome, maxPauseMs} = attempt.settings;
	const error =
		outageOutcome === 'unknown' ? 'key-unread' : 'store-unavailable';
	return createErrorReply(error, maxPauseMs);
};

/** Creates the row that is written before dispatch. */
export const createStartedRow = (attempt: Attempt, time: Time): StartedRow => {
	const {claim, settings} = attempt;
	const toDate = (at: number) => Math.round(time.date + (at - time.now));
	return {
		state: 'started',
		fingerprint: claim.fingerprint,
		holder: claim.holder,
		startedAt: time.date,
		deadlineAt: toDate(claim.deadline),
		settleAt: toDate(attempt.completeBy),
		expiresAt: time.date + settings.retentionMs,
	};
};
