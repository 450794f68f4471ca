/**
 * The services that each queue has ever had. A job stays with the service under
 * which it was accepted, so a queue that moved has jobs in several shards. A row
 * in each shard names the queue; it is stored in one transaction with the first
 * of its jobs, so that no entry has to observe the move itself.
 */
import type {
	Configuration,
	RowPut,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {coalesceCalls} from '../coalesce-calls.js';
import {decodeRow, parseServiceShard, sharedPart} from '../rows/tables.js';
import {readRange} from '../rows/table-feed.js';

export type QueueHistory = {
	/** Reads what all daemons have stored; resolves to false on failure. */
	readonly load: () => Promise<boolean>;
	/** Adds the services of a new configuration. */
	readonly addConfiguration: (configuration: Configuration) => void;
	/** Lists the services of a queue, the present one first. */
	readonly listServices: (queue: string, present: string) => readonly string[];
};

export type QueueHistoryDeps = {
	readonly store: RowStore;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

const historyTable = 'queue-history';

/** Creates the row that records that a queue has jobs in a shard. */
export const createHistoryRow = (shard: string, queue: string): RowPut => ({
	table: historyTable,
	part: shard,
	key: queue,
	value: '{}',
});

/** Older form: one row per queue in the shared partition lists all services. */
const servicesSchema = z.array(z.string());

export const createQueueHistory = ({
	store,
	logger,
}: QueueHistoryDeps): QueueHistory => {
	const known = new Map<string, Set<string>>();

	const add = (queue: string, services: readonly string[]) => {
		known.set(queue, new Set([...(known.get(queue) ?? []), ...services]));
	};

	const applyRow = ({part, key, value, table}: StoredRow) => {
		const service = parseServiceShard(part);
		if (service !== undefined) {
			add(key, [service]);
			return;
		}

		const decoded = decodeRow(servicesSchema, value);
		if (decoded.ok) {
			add(key, decoded.value);
		} else {
			logger.warn('row skipped', {table, key, ...decoded.error});
		}
	};

	const readPart = async (part: string): Promise<boolean> => {
		const rows = await readRange(
			store,
			{table: historyTable, part},
			periods.storeTimeoutMs,
		);
		for (const row of rows.ok ? rows.value.rows : []) {
			applyRow(row);
		}

		return rows.ok;
	};

	const readAll = async (): Promise<boolean> => {
		const parts = await store.listParts(historyTable, periods.storeTimeoutMs);
		if (!parts.ok) {
			return false;
		}

		const all = [...new Set([sharedPart, ...parts.value])];
		const areRead = await Promise.all(all.map(async (part) => readPart(part)));
		return areRead.every(Boolean);
	};

	return {
		load: coalesceCalls(readAll),
		addConfiguration({routes}) {
			for (const {name, service} of routes) {
				add(name, [service]);
			}
		},
		listServices: (queue, present) => [
			present,
			...[...(known.get(queue) ?? [])].filter((each) => each !== present),
		],
	};
};
