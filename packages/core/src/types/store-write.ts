/**
 * Writes to the table service as data, so that a decision includes the
 * preconditions of its commit. The shape is that of the platform's port.
 */

/** Precondition on a row for the transaction to commit. */
export type StorePrecondition =
	| {readonly kind: 'any'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** One step of a transaction. */
export type StoreWrite<Value> =
	| {
			readonly kind: 'put';
			readonly table: string;
			readonly key: string;
			readonly value: Value;
			readonly when: StorePrecondition;
	  }
	| {
			readonly kind: 'delete';
			readonly table: string;
			readonly key: string;
			readonly when: StorePrecondition;
	  }
	| StoreCheck;

/** A step that commits only if the precondition holds and changes nothing. */
export type StoreCheck = {
	readonly kind: 'check';
	readonly table: string;
	readonly key: string;
	readonly when: StorePrecondition;
};

/** Tables of the agreement protocol between entries. */
export const agreementTables = {
	/** The revision counter of the view; a single row. */
	counter: 'counter',
	/** Registrations; one row per entry. */
	entry: 'entry',
	/** A single row whose version grows when an entry joins or is removed. */
	membership: 'membership',
	/** Moves in progress; one row per instance. */
	move: 'move',
	/** Leases of control shards; one row per shard. */
	shard: 'shard',
} as const;

/** Key of the row in tables with a single row. */
export const singleRowKey = 'view';

/** Creates a check that a row has not changed since it was read. */
export const checkVersion = (
	table: string,
	key: string,
	version: number,
): StoreCheck => ({
	kind: 'check',
	table,
	key,
	when: {kind: 'version', version},
});
