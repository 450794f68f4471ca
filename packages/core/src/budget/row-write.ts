/**
 * Conditional writes as data, to be committed by the table service. They have
 * the shape of the table service port, so that the daemon can pass them on
 * unchanged.
 */

import type {ReadRow} from '../instances/move.js';
import type {StoreWrite} from '../types/store-write.js';

/** A value and the version of its row when it was read. */
export type Versioned<Value> = ReadRow<Value>;

/** Write that replaces a whole row if its precondition holds. */
export type RowPut<Value> = Extract<StoreWrite<Value>, {kind: 'put'}>;

/** Tables that the functions of `budget` and `waves` write. */
export const tables = {
	instances: 'instance',
	ledgers: 'ledger',
	waves: 'wave',
	waveDomains: 'wave-domain',
} as const;

/** Creates a write that replaces a row if it is still at `version`. */
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

/** Creates a write that inserts a row if none exists. */
export const createRowInsert = <Value>(
	table: string,
	key: string,
	value: Value,
): RowPut<Value> => ({kind: 'put', table, key, value, when: {kind: 'absent'}});
