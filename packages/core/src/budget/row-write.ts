/**
 * Conditional writes as data: what a decision asks the table service to
 * commit. The shape is that of the platform's port, so that a daemon passes
 * the list on as it is.
 */

/** A value and the version of its row when it was read. */
export type Versioned<Value> = {
	readonly value: Value;
	readonly version: number;
};

/** What must hold of a row for the transaction to commit. */
export type RowPrecondition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** Puts a whole row if its precondition holds. */
export type RowPut<Value> = {
	readonly kind: 'put';
	readonly table: string;
	readonly key: string;
	readonly value: Value;
	readonly when: RowPrecondition;
};

/** Tables that the decisions of this folder and of `waves` write. */
export const tables = {
	instances: 'instances',
	ledgers: 'ledgers',
	waves: 'waves',
	waveDomains: 'wave-domains',
} as const;

/** Asks for a row to be replaced if it is still as it was read. */
export const createRowPut = <Value>(
	table: string,
	key: string,
	value: Value,
	version: number,
): RowPut<Value> => ({
	kind: 'put',
	table,
	key,
	value,
	when: {kind: 'version', version},
});

/** Asks for a row to be created if there is none. */
export const createRowInsert = <Value>(
	table: string,
	key: string,
	value: Value,
): RowPut<Value> => ({kind: 'put', table, key, value, when: {kind: 'absent'}});
