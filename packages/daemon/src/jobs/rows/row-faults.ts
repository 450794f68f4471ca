/**
 * Rows that cannot be read: each is told once and counted, however often it is
 * read, so that a broken writer cannot fill the log.
 */
import type {Logger} from '../../log/logger.js';
import type {JobMetrics} from '../job-metrics.js';

/** A row that cannot be used, and why. */
export type UnreadableRow = {
	readonly table: string;
	readonly key: string;
	readonly problem: string;
};

/** The faults that stand. */
export type RowFaults = {
	/** Tells and counts a row, unless it stands with the same problem. */
	readonly report: (row: UnreadableRow) => void;
	/** The row is gone or can be read: the next fault is a new one. */
	readonly clear: (table: string, key: string) => void;
	/** The table was read whole: rows of other keys are gone. */
	readonly keepOnly: (table: string, keys: ReadonlySet<string>) => void;
};

/** What the faults are told with. */
export type RowFaultsDeps = {
	readonly logger: Pick<Logger, 'warn'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
};

/**
 * Faults remembered. Further ones are counted at each read and not told; with
 * problems of 300 characters, 1,000 take less than 1 MB.
 */
const maxFaults = 1000;

/** Counter of rows that could not be read, by table. */
const counterName = 'rows_unreadable';

/** Creates an empty set of faults. */
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
