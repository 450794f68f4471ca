/** Builds transactions that write a lease row. */
import type {RowTransaction} from '@gullstand/ports';
import {getLeaseKey, type LeaseRow} from '../rows/tables.js';

/**
 * Creates a write of a lease row that conflicts unless the stored row has
 * `version`.
 */
export const createLeaseTransaction = (
	row: LeaseRow,
	version: number,
): RowTransaction => {
	const key = getLeaseKey(row.shard);
	return {
		checks: [{...key, version}],
		puts: [{...key, value: JSON.stringify(row)}],
		removes: [],
	};
};
