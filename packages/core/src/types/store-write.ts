/**
 * Writes to the table service as data, so that a decision states what must
 * hold for it to commit. The shape is that of the platform's port.
 */

/** What must hold of a row for the transaction to commit. */
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

/** Commits only if the precondition holds; changes nothing. */
export type StoreCheck = {
	readonly kind: 'check';
	readonly table: string;
	readonly key: string;
	readonly when: StorePrecondition;
};

/** Tables of agreement among entries. */
export const agreementTables = {
	/** The revision counter of the view, one row. */
	counter: 'counter',
	/** Registrations, one row an entry. */
	entry: 'entry',
	/** One row whose version grows when an entry joins or is removed. */
	membership: 'membership',
	/** Moves that are under way, one row an instance. */
	move: 'move',
	/** Leases of control shards, one row a shard. */
	shard: 'shard',
} as const;

/** Key of the one row of the tables that have a single row. */
export const singleRowKey = 'view';

/** Requires that a row is still as it was read. */
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
