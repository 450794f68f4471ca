/**
 * State of one attempt to run a request at most once, as an entry holds it.
 * The attempt is moved by `updateAttempt` in ./update-attempt.ts.
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

/** A whole answer of an upstream. */
export type Answer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** What the caller is told. */
export type Reply =
	| {
			readonly kind: 'answer';
			readonly answer: Answer;
			/** True if the answer was given to an earlier request. */
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
	/** Answered with a body that is too large to be kept. */
	| {readonly kind: 'streamed'; readonly status: number}
	/** Certainly not run: no byte was sent, or a declared refusal came. */
	| {readonly kind: 'refused'; readonly error: ErrorKind}
	| {readonly kind: 'lost'; readonly error: ErrorKind};

/** How a conditional write ended. */
export type WriteResult =
	| {readonly kind: 'committed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current: StoredRow | undefined}
	/** Certainly without effect, now and later. */
	| {readonly kind: 'refused'}
	/** No reply: the write may have had its effect, or may yet. */
	| {readonly kind: 'lost'};

/** What happened. At most one call of an attempt is out at any time. */
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
			/** Missing if the object is not there or could not be read. */
			readonly body: Uint8Array | undefined;
	  }
	/** The time of `getWakeAt` has come. */
	| {readonly kind: 'tick'}
	/** No caller waits for the answer any more. */
	| {readonly kind: 'caller-gone'};

/** What the shell does next. */
export type Command =
	| {readonly kind: 'read'}
	| {
			readonly kind: 'write';
			readonly row: KeyRow;
			readonly when: Precondition;
			/** True if a caller waits for it. */
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

/** What an attempt is about to achieve. */
export type Intent =
	/** Read the row and decide; `known` is a started row seen before. */
	| {readonly kind: 'look'; readonly known: StartedRow | undefined}
	/** Commit the started row; in doubt after a lost reply. */
	| {
			readonly kind: 'start';
			readonly row: StartedRow;
			readonly when: Precondition;
			/** When the row was made, before it was first sent. */
			readonly createdAt: number;
			/** A write of it had no reply, and no read has decided since. */
			readonly isDoubtful: boolean;
	  }
	| {
			readonly kind: 'run';
			readonly row: StartedRow;
			readonly version: number;
	  }
	/** Put a large answer in the object store. */
	| {
			readonly kind: 'keep';
			readonly row: StartedRow;
			readonly version: number;
			readonly answer: Answer;
	  }
	/** Replace the started row for good. */
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

/** What is asked, and by when. All times are of the entry's own clock. */
export type Claim = {
	readonly fingerprint: string;
	readonly holder: Holder;
	/** When the request came in. */
	readonly createdAt: number;
	/** The caller has an answer by then. */
	readonly deadline: number;
	/** From 0 to 1, chosen at random: spreads pauses of several entries. */
	readonly jitter: number;
};

/** One attempt. */
export type Attempt = {
	readonly claim: Claim;
	readonly settings: Settings;
	readonly intent: Intent;
	readonly pending: Pending;
	/** Calls of this intent that failed, one after the other. */
	readonly failures: number;
	/** True once the caller was told; nothing is dispatched after that. */
	readonly isAnswered: boolean;
	/** When the wait for the store began. */
	readonly storeWaitStartedAt: number;
	/** Nothing is written after this. */
	readonly completeBy: number;
};

/** An attempt and what its shell does next, in this order. */
export type Step = {
	readonly attempt: Attempt;
	readonly commands: readonly Command[];
};

const startingIntents: ReadonlySet<Intent['kind']> = new Set(['look', 'start']);

/** True before anything could have been sent by this attempt. */
export const isBeforeDispatch = (attempt: Attempt): boolean =>
	startingIntents.has(attempt.intent.kind);

/** When the store must have answered, for a request not yet dispatched. */
export const getStoreDeadline = (attempt: Attempt): number => {
	const {claim, settings} = attempt;
	return Math.min(
		claim.deadline,
		attempt.storeWaitStartedAt + settings.storeWithinMs,
	);
};

/** When the caller is answered, whatever the attempt waits for. */
export const getReplyDeadline = (attempt: Attempt): number => {
	const {intent, claim} = attempt;
	const isWaiting = intent.kind === 'look' && intent.known !== undefined;
	return isBeforeDispatch(attempt) && !isWaiting
		? getStoreDeadline(attempt)
		: claim.deadline;
};

/** When the shell sends the next `tick`, if nothing else happens. */
export const getWakeAt = (attempt: Attempt): number => {
	const answerBy = attempt.isAnswered
		? Number.POSITIVE_INFINITY
		: getReplyDeadline(attempt);
	return attempt.pending.kind === 'pause'
		? Math.min(attempt.pending.until, answerBy)
		: answerBy;
};

/** Moves to another intent, with one call out. */
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

/** Pauses before the next call of the same intent; the pause doubles. */
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

/** Ends the attempt: nothing of it is out and nothing is left to do. */
export const endAttempt = (attempt: Attempt): Step => ({
	attempt: {
		...attempt,
		intent: {kind: 'end'},
		pending: {kind: 'pause', until: Number.POSITIVE_INFINITY},
	},
	commands: [],
});

/** Answers the caller, unless that was done, before what a step does. */
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

/** Words an error of the table. */
export const createErrorReply = (
	error: ErrorKind,
	retryAfterMs?: number,
): Reply => {
	const {outcome} = errors.getErrorAnswer(error);
	return retryAfterMs === undefined
		? {kind: 'error', error, outcome}
		: {kind: 'error', error, outcome, retryAfterMs};
};

/** Words the refusal of a request for which the store is out. */
export const createOutageReply = (attempt: Attempt): Reply => {
	const {outageOutcome, maxPauseMs} = attempt.settings;
	const error =
		outageOutcome === 'unknown' ? 'key-unread' : 'store-unavailable';
	return createErrorReply(error, maxPauseMs);
};

/** The row that is written before dispatch. */
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
