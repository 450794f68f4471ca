/**
 * Logs and counts each unreadable row once, however often it is read, so that a
 * faulty writer cannot flood the log.
 */
import type {Logger} from '../../log/logger.js';
import type {JobMetrics} from '../job-metrics.js';

/** Row that cannot be decoded, and why. */
export type UnreadableRow = {
	readonly table: string;
	readonly key: string;
	readonly problem: string;
};

export type RowFaults = {
	/** Logs and counts a row, unless it was reported with the same problem. */
	readonly report: (row: UnreadableRow) => void;
	/**
	 * Forgets a row that was removed or is readable; its next fault is reported.
	 */
	readonly clear: (table: string, key: string) => void;
	/** Forgets all rows of a table except those with the given keys. */
	readonly keepOnly: (table: string, keys: ReadonlySet<string>) => void;
};

export type RowFaultsDeps = {
	readonly logger: Pick<Logger, 'warn'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
};

/**
 * Maximum number of remembered faults, which take less than 1 MB with problems
 * of 300 characters. Further faults are counted at each read and not logged.
 */
const maxFaults = 1000;

/** Counter of rows that could not be read, by table. */
const counterName = 'rows_unreadable';

export const createRowFaults = ({
	logger,
	metrics,
}: RowFaultsDeps): RowFaults => {
	const faults = new Map<string, UnreadableRow>();
	const getId = (table: string, key: string): string => `${table}\n${key}`;

	return {
		report(row) {
			const id = getId(row.table, row.key);
			if (faults.get(id)?.problem === row.problem) {
				return;
			}

			metrics.count(counterName, row.table);
			if (faults.has(id) || faults.size < maxFaults) {
				faults.set(id, row);
				logger.warn('row skipped', row);
			}
		},
		clear(table, key) {
			faults.delete(getId(table, key));
		},
		keepOnly(table, keys) {
			for (const [id, row] of faults) {
				if (row.table === table && !keys.has(row.key)) {
					faults.delete(id);
				}
			}
		},
	};
};
