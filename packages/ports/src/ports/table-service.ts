/**
 * Port to the platform's transactional table service.
 * Source: docs/design/platform-port.md.
 */
import type {Result} from '@gullstand/core';

/** The JSON value of a row. */
export type JsonValue =
	| null
	| boolean
	| number
	| string
	| readonly JsonValue[]
	| {readonly [key: string]: JsonValue};

/** One row. The service assigns the version, which increases on every write. */
export type Row = {
	readonly table: string;
	readonly key: string;
	readonly version: number;
	readonly value: JsonValue;
	/** Id of the transaction that wrote this version, for read-back. */
	readonly operationId: string;
};

/** Condition on a row for the transaction to commit. */
export type Precondition =
	| {readonly kind: 'any'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** One step of a transaction. */
export type Write =
	| {
			readonly kind: 'put';
			readonly table: string;
			readonly key: string;
			readonly value: JsonValue;
			readonly when: Precondition;
	  }
	| {
			readonly kind: 'delete';
			readonly table: string;
			readonly key: string;
			readonly when: Precondition;
	  }
	/** Only checks the precondition; changes nothing. */
	| {
			readonly kind: 'check';
			readonly table: string;
			readonly key: string;
			readonly when: Precondition;
	  };

/** Why a call failed. After `timeout` a write may have taken effect. */
export type StoreError =
	| {
			readonly kind: 'conflict';
			readonly table: string;
			readonly key: string;
			readonly current: Row | undefined;
	  }
	| {readonly kind: 'unavailable'}
	| {readonly kind: 'timeout'}
	| {readonly kind: 'too-large'};

/** Result of a committed transaction. */
export type CommitResult = {
	/** Versions of the rows that were put, in the order of the writes. */
	readonly versions: readonly number[];
};

/** Selects rows of one table by key prefix, optionally after a key. */
export type RangeQuery = {
	readonly table: string;
	readonly prefix: string;
	/** Only keys greater than this one. */
	readonly after?: string;
	readonly limit: number;
};

/** The table service. Every call ends within the client's timeout. */
export type TableService = {
	readonly get: (
		table: string,
		key: string,
	) => Promise<Result<Row | undefined, StoreError>>;
	readonly range: (
		query: RangeQuery,
	) => Promise<Result<readonly Row[], StoreError>>;
	/** Commits all writes or none; each row put stores the operation id. */
	readonly commit: (
		writes: readonly Write[],
		operationId: string,
	) => Promise<Result<CommitResult, StoreError>>;
};
