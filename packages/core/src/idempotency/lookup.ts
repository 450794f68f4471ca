/** Decides how to handle a request, given the row of its key. */
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
	/** Milliseconds of a monotonic clock. */
	readonly now: number;
	/** Unix milliseconds; the clocks of entries differ. */
	readonly date: number;
};

/** Decision about a request. */
export type Lookup =
	/** Write the started row under this precondition, then dispatch. */
	| {readonly kind: 'take'; readonly when: Precondition}
	/** Reply with the recorded answer. */
	| {readonly kind: 'replay'; readonly row: FinishedRow}
	/** Another attempt is running: wait at most this long. */
	| {readonly kind: 'wait'; readonly row: StartedRow; readonly forMs: number}
	/** Refuse without waiting. */
	| {
			readonly kind: 'refuse';
			readonly error: ErrorKind;
			readonly retryAfterMs?: number;
	  };

/** The attempt that the decision is for. */
export type LookupContext = {
	readonly fingerprint: string;
	/** Holder identity of this attempt. */
	readonly holder: Holder;
	readonly settings: Pick<Settings, 'clockSkewMs' | 'maxPollMs'>;
};

/**
 * True if a row was written by another incarnation of the same entry. That one
 * has most likely terminated, so callers don't wait for it.
 */
const isOtherIncarnation = (holder: Holder, self: Holder): boolean =>
	holder.entry === self.entry && holder.incarnation !== self.incarnation;

/** True if a key may be reused by the clocks of all entries. */
export const isExpired = (
	row: {readonly expiresAt: number},
	date: number,
	clockSkewMs: number,
): boolean => date > row.expiresAt + clockSkewMs;

/**
 * A started row does not change after its holder's last write. Between the
 * holder's deadline and that write it still may, so the caller is told to retry
 * and doesn't wait.
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
	if (forMs <= 0 || isOtherIncarnation(row.holder, context.holder)) {
		return {kind: 'refuse', error: 'still-running', retryAfterMs: maxPollMs};
	}

	return {kind: 'wait', row, forMs};
};

/** Decides by the row as read; `undefined` means that there is none. */
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
