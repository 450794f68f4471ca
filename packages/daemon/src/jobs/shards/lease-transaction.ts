/** Writes of a lease row. */
import type {RowTransaction} from '@gullstand/ports';
import {getLeaseKey, type LeaseRow} from '../rows/tables.js';

/** Writes a lease row unless it has another version by now. */
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
