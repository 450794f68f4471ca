/** Decodes rows and skips unreadable ones. */
import type {StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {decodeRow} from './tables.js';

/** Yields the rows that can be decoded; logs and skips the others. */
export function* decodeRows<Value>(
	rows: readonly StoredRow[],
	schema: Parameters<typeof decodeRow<Value>>[0],
	logger: Pick<Logger, 'warn'>,
): Generator<{readonly row: StoredRow; readonly value: Value}> {
	for (const row of rows) {
		const decoded = decodeRow(schema, row.value);
		if (decoded.ok) {
			yield {row, value: decoded.value};
		} else {
			const {table, part, key} = row;
			logger.warn('row skipped', {table, part, key, ...decoded.error});
		}
	}
}
