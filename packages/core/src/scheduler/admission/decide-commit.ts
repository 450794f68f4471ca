/**
 * Decides whether an entry sends a new submission while the store is slow. Load
 * that it addresses: a store that answers 70 times more slowly for some seconds,
 * which holds every caller until its deadline. One submission now and then is
 * sent all the same, so that a store that has recovered is used again.
 */

/** A submission that was sent and has ended. */
type EndedCommit = {
	readonly sentAt: number;
	readonly endedAt: number;
	/** Infinite if it had no answer. */
	readonly tookMs: number;
};

/** Submissions of an entry in the recent past; times are monotonic. */
export type CommitState = {
	/** Ended ones in order of their ends. */
	ended: readonly EndedCommit[];
	/** Times at which the others were sent, by their numbers. */
	readonly underWay: Map<number, number>;
	lastNumber: number;
	lastSentAt: number;
	/** Submissions refused so far, by which their times to return differ. */
	refused: number;
};

/** What an entry does with a new submission. */
export type CommitVerdict =
	| {readonly kind: 'send'}
	| {
			readonly kind: 'refuse';
			/** In whole milliseconds. */
			readonly retryAfterMs: number;
	  };

/** How long an ended submission counts, in milliseconds. */
const evidenceMs = 3000;

/** Ended submissions that are kept. */
const maxEnded = 50;

/** Time between submissions that are sent to a slow store, in milliseconds. */
export const commitTryIntervalMs = 250;

/** Part of the caller's remaining time in which a commit must be expected. */
const usableShare = 0.5;

/** A call that has run for some time is expected to run as long again. */
const remainingFactor = 2;

/** Range of the times to return, in milliseconds. */
const refusalRange = {fromMs: 250, toMs: 1000} as const;

/** Multiples modulo 1 are evenly spread. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

export const createCommitState = (): CommitState => ({
	ended: [],
	underWay: new Map(),
	lastNumber: 0,
	lastSentAt: Number.NEGATIVE_INFINITY,
	refused: 0,
});

/** Records that a submission was sent; returns its number. */
export const recordCommitSent = (state: CommitState, now: number): number => {
	state.lastNumber += 1;
	state.underWay.set(state.lastNumber, now);
	state.lastSentAt = now;
	return state.lastNumber;
};

/**
 * How a submission ended: with the store's answer, without one, or without a
 * commit, which says nothing about the store.
 */
export type CommitEnd = 'answered' | 'unanswered' | 'not-committed';

/** Records the end of a submission. */
export const recordCommitEnd = (
	state: CommitState,
	number: number,
	end: CommitEnd,
	now: number,
): void => {
	const sentAt = state.underWay.get(number);
	if (sentAt === undefined) {
		return;
	}

	state.underWay.delete(number);
	if (end === 'not-committed') {
		// The next submission is tried in its place.
		state.lastSentAt = Number.NEGATIVE_INFINITY;
		return;
	}

	const tookMs = end === 'answered' ? now - sentAt : Number.POSITIVE_INFINITY;
	state.ended = [...state.ended, {sentAt, endedAt: now, tookMs}].slice(
		-maxEnded,
	);
};

/**
 * Expected time of a commit, in milliseconds: the shorter of the two that were
 * sent last, so that a single slow one stops nothing and a single quick one
 * shows a recovery; or what one sent after these has taken so far, and again.
 */
export const getExpectedCommitMs = (
	{ended, underWay}: CommitState,
	now: number,
): number => {
	const recent = ended
		.filter(({endedAt}) => now - endedAt <= evidenceMs)
		.toSorted((one, two) => two.sentAt - one.sentAt);
	const [last, previous] = recent;
	const tookMs = last && previous ? Math.min(last.tookMs, previous.tookMs) : 0;
	const later = [...underWay.values()].filter(
		(sentAt) => sentAt > (last?.sentAt ?? Number.NEGATIVE_INFINITY),
	);
	const longestMs = Math.max(0, ...later.map((sentAt) => now - sentAt));
	return Math.max(tookMs, remainingFactor * longestMs);
};

/**
 * Decides on a new submission whose caller waits for `remainingMs`. The caller
 * of this function records it as sent if the verdict is `send`.
 */
export const decideCommit = (
	state: CommitState,
	remainingMs: number,
	now: number,
): CommitVerdict => {
	const isTryDue = now - state.lastSentAt >= commitTryIntervalMs;
	const expectedMs = getExpectedCommitMs(state, now);
	if (isTryDue || expectedMs <= remainingMs * usableShare) {
		return {kind: 'send'};
	}

	state.refused += 1;
	const {fromMs, toMs} = refusalRange;
	const part = (state.refused * goldenRatio) % 1;
	return {
		kind: 'refuse',
		retryAfterMs: Math.ceil(fromMs + part * (toMs - fromMs)),
	};
};
