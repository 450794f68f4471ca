/**
 * Port to a store of rows in partitions, with transactions within one
 * partition and a feed of what has changed in a table.
 * Source: docs/design/platform-programs.md.
 */
import type {Result} from '@gullstand/core';

/** Names one row. */
export type RowKey = {
	readonly table: string;
	readonly part: string;
	readonly key: string;
};

/** A row as read. Versions grow over all rows of the store. */
export type StoredRow = RowKey & {
	readonly version: number;
	readonly value: string;
};

/** The version that a row must have; 0 means that it does not exist. */
export type RowCheck = RowKey & {readonly version: number};

/** A row to write. */
export type RowPut = RowKey & {readonly value: string};

/** Writes of one partition that commit together if all checks hold. */
export type RowTransaction = {
	readonly checks: readonly RowCheck[];
	readonly puts: readonly RowPut[];
	readonly removes: readonly RowKey[];
};

/** Why a call failed. */
export type RowStoreError =
	/** Certainly not committed; `rows` are those of the checks, as they are. */
	| {readonly kind: 'conflict'; readonly rows: readonly StoredRow[]}
	/** Certainly nothing was done. */
	| {readonly kind: 'unavailable'}
	/** It may have been done, or may be done yet. */
	| {
			readonly kind: 'timeout';
			/** Bytes of an answer that was not whole; absent if none had come. */
			readonly receivedBytes?: number;
	  }
	/** The history that a feed asks for is gone: read anew. */
	| {readonly kind: 'history-lost'};

/** Rows of one partition of a table, from a key on, in order of keys. */
export type RowRange = {
	readonly table: string;
	readonly part: string;
	/** First key. */
	readonly from?: string;
	/** First key that is left out. */
	readonly to?: string;
	/** Most rows of a page; the store gives no more than its own bound. */
	readonly limit?: number;
};

/** Rows as of one moment. */
export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Newest version of the store at that moment. */
	readonly version: number;
	readonly hasMore: boolean;
	/** Steady clock of the store, in milliseconds. */
	readonly nowMs: number;
};

/** A transaction that has been committed. */
export type TransactionResult = {
	readonly version: number;
	/** Steady clock of the store, in milliseconds. */
	readonly nowMs: number;
};

/** A row that changed; `value` is absent once it is removed. */
export type ChangedRow = RowKey & {
	readonly version: number;
	readonly value: string | undefined;
};

/** Changes of a table since a version. */
export type RowChanges = {
	readonly rows: readonly ChangedRow[];
	/** Where to go on. */
	readonly version: number;
};

/** How long to wait for changes. */
export type FeedRequest = {
	readonly table: string;
	readonly afterVersion: number;
	/** The answer comes at the first change, or after this time. */
	readonly waitMs: number;
};

/**
 * The store. A transaction ends within the given time, in milliseconds; any
 * other call ends once nothing of its answer has come for that time.
 */
export type RowStore = {
	readonly transact: (
		transaction: RowTransaction,
		timeoutMs: number,
	) => Promise<Result<TransactionResult, RowStoreError>>;
	readonly read: (
		range: RowRange,
		timeoutMs: number,
	) => Promise<Result<RowPage, RowStoreError>>;
	/** Names of the partitions of a table that hold rows. */
	readonly listParts: (
		table: string,
		timeoutMs: number,
	) => Promise<Result<readonly string[], RowStoreError>>;
	readonly readChanges: (
		req: FeedRequest,
		timeoutMs: number,
	) => Promise<Result<RowChanges, RowStoreError>>;
};
