/**
 * The row of a key in the table service.
 *
 * `started` is written before dispatch, and only its holder replaces it:
 * by `finished` (with the answer), by `released` (certainly not run, so the
 * key may run later) or by `unknown` (sent, and the outcome was lost). A
 * `started` row whose holder is gone stays: nobody can tell whether it ran.
 */

/** The attempt that wrote a row. */
export type Holder = {
	readonly entry: string;
	/** Life of the entry's process. */
	readonly incarnation: string;
	/** Unique to the attempt; read back after a lost reply. */
	readonly operationId: string;
};

/** An answer as the row keeps it. */
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

/** What every state of a row holds. Times are Unix milliseconds. */
type RowBase = {
	readonly fingerprint: string;
	readonly holder: Holder;
	readonly startedAt: number;
	/** The holder has its answer or has given up by then. */
	readonly deadlineAt: number;
	/** The holder writes nothing more after this. */
	readonly settleAt: number;
	/** The key may be used anew after this. */
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

/** The request was sent and its outcome cannot be learned. */
export type UnknownRow = RowBase & {readonly state: 'unknown'};

/** A row that its holder writes last. */
export type FinalRow = FinishedRow | ReleasedRow | UnknownRow;

/** Row of a key. */
export type KeyRow = StartedRow | FinalRow;

/** A row as read; `row` is missing if its value cannot be understood. */
export type StoredRow = {
	readonly version: number;
	readonly row: KeyRow | undefined;
};

/** What must hold of the row for a write to commit. */
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
 * Reads the value of a row. One that cannot be understood is `undefined`,
 * which is answered `unknown` and never run.
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

/** True if a read row was written by an attempt. */
export const isHeldBy = (
	stored: StoredRow | undefined,
	holder: Holder,
): boolean => stored?.row?.holder.operationId === holder.operationId;

/** True if the precondition of a write still holds of a read row. */
export const isUnchanged = (
	stored: StoredRow | undefined,
	when: Precondition,
): boolean =>
	when.kind === 'absent'
		? stored === undefined
		: stored?.version === when.version;

/**
 * True if a row shows that the precondition of a write cannot hold again.
 * Reads may be older than others before, so that an earlier version, or no
 * row where one was, decides nothing.
 */
export const isPreconditionRuledOut = (
	stored: StoredRow | undefined,
	when: Precondition,
): boolean =>
	stored !== undefined &&
	(when.kind === 'absent' || stored.version > when.version);
