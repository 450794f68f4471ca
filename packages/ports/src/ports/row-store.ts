/**
 * Port to a store of rows in partitions, with transactions and a feed of the
 * changes to a table.
 * Source: docs/design/platform-programs.md.
 */
import type {Result} from '@gullstand/core';

/** Identifies one row. */
export type RowKey = {
	readonly table: string;
	readonly part: string;
	readonly key: string;
};

/** A row as read. Versions increase across all rows of the store. */
export type StoredRow = RowKey & {
	readonly version: number;
	readonly value: string;
};

/** The version that a row must have; 0 if it must not exist. */
export type RowCheck = RowKey & {readonly version: number};

/** A row to write. */
export type RowPut = RowKey & {readonly value: string};

/** What the store takes; it refuses a larger write for good. */
export type RowLimits = {
	/** Bytes of a value that no reading of the store's limit allows. */
	readonly maxValueBytes: number;
	/**
	 * Bytes of a value that every reading of the store's limit allows; for values
	 * that may be split over several rows.
	 */
	readonly safeValueBytes: number;
	/** Checks, puts and removes of one transaction. */
	readonly maxEntries: number;
	/** Bytes of all values of one transaction. */
	readonly maxTransactionBytes: number;
};

/**
 * Writes that commit together if all checks hold. Those of several partitions
 * take twice as long.
 */
export type RowTransaction = {
	readonly checks: readonly RowCheck[];
	readonly puts: readonly RowPut[];
	readonly removes: readonly RowKey[];
};

/** Why a call failed. */
export type RowStoreError =
	/** Not committed; `rows` are the current rows of the checks. */
	| {readonly kind: 'conflict'; readonly rows: readonly StoredRow[]}
	/** The call had no effect; the same call may succeed later. */
	| {readonly kind: 'unavailable'}
	/**
	 * The call had no effect, and the same call never succeeds: the store refuses
	 * what it contains, such as a value that is too large.
	 */
	| {readonly kind: 'rejected'; readonly status: number}
	/** The call may have taken effect, or may still do so. */
	| {
			readonly kind: 'timeout';
			/** Bytes received of an incomplete answer; absent if none. */
			readonly receivedBytes?: number;
	  }
	/** The requested changes are no longer kept: read the whole table. */
	| {readonly kind: 'history-lost'};

/** A range of rows of one partition of a table, in key order. */
export type RowRange = {
	readonly table: string;
	readonly part: string;
	/** First key, inclusive. */
	readonly from?: string;
	/** End of the range, exclusive. */
	readonly to?: string;
	/** Maximum rows per page; the store may apply a lower limit. */
	readonly limit?: number;
};

/** A consistent snapshot of rows. */
export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Newest version of the store in the snapshot. */
	readonly version: number;
	readonly hasMore: boolean;
	/** Monotonic clock of the store, in milliseconds. */
	readonly nowMs: number;
};

/** Result of a committed transaction. */
export type TransactionResult = {
	readonly version: number;
	/** Monotonic clock of the store, in milliseconds. */
	readonly nowMs: number;
};

/** A row that changed; `value` is undefined if it was removed. */
export type ChangedRow = RowKey & {
	readonly version: number;
	readonly value: string | undefined;
};

/** Changes of a table since a version. */
export type RowChanges = {
	readonly rows: readonly ChangedRow[];
	/** Version after which to read the next changes. */
	readonly version: number;
};

/** A request for the changes of a table. */
export type FeedRequest = {
	readonly table: string;
	readonly afterVersion: number;
	/** Time to wait for a first change, in milliseconds. */
	readonly waitMs: number;
};

/**
 * The store. A transaction ends within `timeoutMs` milliseconds; any other call
 * times out if no data arrives for that time.
 */
export type RowStore = {
	readonly limits: RowLimits;
	readonly transact: (
		transaction: RowTransaction,
		timeoutMs: number,
	) => Promise<Result<TransactionResult, RowStoreError>>;
	readonly read: (
		range: RowRange,
		timeoutMs: number,
	) => Promise<Result<RowPage, RowStoreError>>;
	/** Lists the partitions of a table that hold rows. */
	readonly listParts: (
		table: string,
		timeoutMs: number,
	) => Promise<Result<readonly string[], RowStoreError>>;
	readonly readChanges: (
		req: FeedRequest,
		timeoutMs: number,
	) => Promise<Result<RowChanges, RowStoreError>>;
};
