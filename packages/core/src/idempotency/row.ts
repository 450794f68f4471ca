/**
 * The row of a key in the table service.
 *
 * `started` is written before dispatch, and only its holder replaces it:
 * by `finished` (with the answer), by `released` (certainly not run, so the
 * key may be run later) or by `unknown` (sent, and the outcome was lost). A
 * `started` row whose holder has terminated stays, as nobody knows whether the
 * request ran.
 */

/** The attempt that wrote a row. */
export type Holder = {
	readonly entry: string;
	/** Incarnation of the entry's process. */
	readonly incarnation: string;
	/** Unique to the attempt; identifies its row after a lost reply. */
	readonly operationId: string;
};

/** An answer as stored in the row. */
export type StoredAnswer =
	| {
			readonly kind: 'inline';
			readonly status: number;
			readonly headers: ReadonlyArray<readonly [string, string]>;
			readonly bodyBase64: string;
	  }
	| {
			readonly kind: 'object';
			readonly status: number;
			readonly headers: ReadonlyArray<readonly [string, string]>;
			readonly name: string;
			readonly bytes: number;
	  }
	| {readonly kind: 'not-kept'; readonly status: number};

/** Fields of every state of a row. Times are Unix milliseconds. */
type RowBase = {
	readonly fingerprint: string;
	readonly holder: Holder;
	readonly startedAt: number;
	/** When the holder has its answer or has given up. */
	readonly deadlineAt: number;
	/** When the holder stops writing. */
	readonly settleAt: number;
	/** When the key may be reused. */
	readonly expiresAt: number;
};

/** Written before dispatch. */
export type StartedRow = RowBase & {readonly state: 'started'};

/** The request ran. */
export type FinishedRow = RowBase & {
	readonly state: 'finished';
	readonly answer: StoredAnswer;
};

/** The request was certainly not run. */
export type ReleasedRow = RowBase & {readonly state: 'released'};

/** The request was sent and its outcome is unknown. */
export type UnknownRow = RowBase & {readonly state: 'unknown'};

/** A row that its holder does not replace. */
export type FinalRow = FinishedRow | ReleasedRow | UnknownRow;

export type KeyRow = StartedRow | FinalRow;

/** A row as read; `row` is undefined if its value cannot be parsed. */
export type StoredRow = {
	readonly version: number;
	readonly row: KeyRow | undefined;
};

/** Condition on the stored row for a write to commit. */
export type Precondition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

const isObject = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const isHolder = (value: unknown): value is Holder =>
	isObject(value) &&
	typeof value.entry === 'string' &&
	typeof value.incarnation === 'string' &&
	typeof value.operationId === 'string';

const isHeaders = (value: unknown): boolean =>
	Array.isArray(value) &&
	value.every(
		(each) =>
			Array.isArray(each) &&
			each.length === 2 &&
			each.every((part) => typeof part === 'string'),
	);

const isAnswer = (value: unknown): value is StoredAnswer => {
	if (!isObject(value) || !Number.isInteger(value.status)) {
		return false;
	}

	switch (value.kind) {
		case 'inline': {
			return isHeaders(value.headers) && typeof value.bodyBase64 === 'string';
		}

		case 'object': {
			return (
				isHeaders(value.headers) &&
				typeof value.name === 'string' &&
				Number.isInteger(value.bytes)
			);
		}

		default: {
			return value.kind === 'not-kept';
		}
	}
};

const timeFields = ['startedAt', 'deadlineAt', 'settleAt', 'expiresAt'];

const isBase = (value: Record<string, unknown>): boolean =>
	typeof value.fingerprint === 'string' &&
	isHolder(value.holder) &&
	timeFields.every((field) => Number.isFinite(value[field]));

/**
 * Parses the value of a row. Returns `undefined` if it is invalid; requests with
 * its key are answered with the outcome `unknown` and never run.
 */
export const parseRow = (value: unknown): KeyRow | undefined => {
	if (!isObject(value) || !isBase(value)) {
		return undefined;
	}

	switch (value.state) {
		case 'started':
		case 'released':
		case 'unknown': {
			return value as KeyRow;
		}

		case 'finished': {
			return isAnswer(value.answer) ? (value as KeyRow) : undefined;
		}

		default: {
			return undefined;
		}
	}
};

/** True if a row was written by this holder. */
export const isHeldBy = (
	stored: StoredRow | undefined,
	holder: Holder,
): boolean => stored?.row?.holder.operationId === holder.operationId;

/** True if a row meets the precondition of a write. */
export const isUnchanged = (
	stored: StoredRow | undefined,
	when: Precondition,
): boolean =>
	when.kind === 'absent'
		? stored === undefined
		: stored?.version === when.version;

/**
 * True if a row shows that the precondition of a write cannot hold any longer.
 * Reads may be stale, so an earlier version or a missing row proves nothing.
 */
export const isPreconditionRuledOut = (
	stored: StoredRow | undefined,
	when: Precondition,
): boolean =>
	stored !== undefined &&
	(when.kind === 'absent' || stored.version > when.version);
