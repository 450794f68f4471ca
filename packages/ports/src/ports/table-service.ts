/**
 * Port to the platform's transactional table service.
 * Source: docs/design/platform-port.md.
 */
import type {Result} from '@gullstand/core';

/** JSON that a row holds. */
export type JsonValue =
	| null
	| boolean
	| number
	| string
	| readonly JsonValue[]
	| {readonly [key: string]: JsonValue};

/** One row. A version is given by the service and grows with every write. */
export type Row = {
	readonly table: string;
	readonly key: string;
	readonly version: number;
	readonly value: JsonValue;
	/** Id of the write that made this version, for read-back. */
	readonly operationId: string;
};

/** What must hold of a row for the transaction to commit. */
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
	/** Commits only if the precondition holds; changes nothing. */
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

/** A transaction that has been committed. */
export type CommitResult = {
	/** Versions of the rows put, in the order of the writes. */
	readonly versions: readonly number[];
};

/** Rows of one table whose keys begin with a prefix, after a key. */
export type RangeQuery = {
	readonly table: string;
	readonly prefix: string;
	/** Only keys above this one. */
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
	/** All writes commit, or none. The operation id is kept in each row put. */
	readonly commit: (
		writes: readonly Write[],
		operationId: string,
	) => Promise<Result<CommitResult, StoreError>>;
};
