/** Decides what a request does, given the row of its key. */
import type {ErrorKind} from '../errors/error-table.js';
import type {
	FinishedRow,
	Holder,
	StartedRow,
	StoredRow,
	Precondition,
} from './row.js';
import type {Settings} from './settings.js';

/** Time as an entry sees it. */
export type Time = {
	/** Milliseconds of a clock that never goes back. */
	readonly now: number;
	/** Unix milliseconds; entries' clocks differ. */
	readonly date: number;
};

/** What a request may do with its key. */
export type Lookup =
	/** Write `started` under this precondition, then dispatch. */
	| {readonly kind: 'take'; readonly when: Precondition}
	/** Answer with what the request was answered before. */
	| {readonly kind: 'replay'; readonly row: FinishedRow}
	/** Another attempt runs: wait so long at most. */
	| {readonly kind: 'wait'; readonly row: StartedRow; readonly forMs: number}
	/** Refuse at once. */
	| {
			readonly kind: 'refuse';
			readonly error: ErrorKind;
			readonly retryAfterMs?: number;
	  };

/** What the decision needs to know of the asker. */
export type LookupContext = {
	readonly fingerprint: string;
	/** The asker itself. */
	readonly holder: Holder;
	readonly settings: Pick<Settings, 'clockSkewMs' | 'maxPollMs'>;
};

/**
 * True if a row was written by another life of the asker's entry, which has
 * most likely ended: nobody is held for it.
 */
const isOtherLife = (holder: Holder, asker: Holder): boolean =>
	holder.entry === asker.entry && holder.incarnation !== asker.incarnation;

/** True if a key may be used anew on any entry's clock. */
export const isExpired = (
	row: {readonly expiresAt: number},
	date: number,
	clockSkewMs: number,
): boolean => date > row.expiresAt + clockSkewMs;

/**
 * A started row past its holder's last write will not change; one whose
 * deadline has passed may still, so that the caller is told to come back
 * and is not held.
 */
const decideStarted = (
	row: StartedRow,
	context: LookupContext,
	date: number,
): Lookup => {
	const {clockSkewMs, maxPollMs} = context.settings;
	if (date > row.settleAt + clockSkewMs) {
		return {kind: 'refuse', error: 'outcome-unknown'};
	}

	const forMs = row.deadlineAt + maxPollMs - date;
	if (forMs <= 0 || isOtherLife(row.holder, context.holder)) {
		return {kind: 'refuse', error: 'still-running', retryAfterMs: maxPollMs};
	}

	return {kind: 'wait', row, forMs};
};

/** Decides on the row as read; `undefined` means that there is none. */
export const decideLookup = (
	stored: StoredRow | undefined,
	context: LookupContext,
	date: number,
): Lookup => {
	if (stored === undefined) {
		return {kind: 'take', when: {kind: 'absent'}};
	}

	const {row, version} = stored;
	if (row === undefined) {
		return {kind: 'refuse', error: 'outcome-unknown'};
	}

	const when = {kind: 'version', version} as const;
	if (isExpired(row, date, context.settings.clockSkewMs)) {
		return {kind: 'take', when};
	}

	if (row.fingerprint !== context.fingerprint) {
		return {kind: 'refuse', error: 'key-reused'};
	}

	switch (row.state) {
		case 'started': {
			return decideStarted(row, context, date);
		}

		case 'finished': {
			return row.answer.kind === 'not-kept'
				? {kind: 'refuse', error: 'answer-not-kept'}
				: {kind: 'replay', row};
		}

		case 'released': {
			return {kind: 'take', when};
		}

		case 'unknown': {
			return {kind: 'refuse', error: 'outcome-unknown'};
		}
	}
};
