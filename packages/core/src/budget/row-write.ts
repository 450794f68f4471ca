/**
 * Conditional writes as data: what a decision asks the table service to
 * commit. The shape is that of the platform's port, so that a daemon passes
 * the list on as it is.
 */

import type {ReadRow} from '../instances/move.js';
import type {StoreWrite} from '../types/store-write.js';

/** A value and the version of its row when it was read. */
export type Versioned<Value> = ReadRow<Value>;

/** Puts a whole row if its precondition holds. */
export type RowPut<Value> = Extract<StoreWrite<Value>, {kind: 'put'}>;

/** Tables that the decisions of this folder and of `waves` write. */
export const tables = {
	instances: 'instance',
	ledgers: 'ledger',
	waves: 'wave',
	waveDomains: 'wave-domain',
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
