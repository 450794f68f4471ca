/**
 * Services that each queue had before. A job stays with the service under
 * which it was accepted, so a queue that moves has jobs in several shards.
 * What one daemon has seen is kept in the store for those that start later.
 */
import type {Configuration, RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {decodeRows} from '../rows/decode-rows.js';
import {readWhole} from '../rows/table-feed.js';
import {sharedPart} from '../rows/tables.js';

/** The history. */
export type QueueHistory = {
	/** Reads what other daemons have seen; false without an answer. */
	readonly load: () => Promise<boolean>;
	/** Takes in a change of the configuration. */
	readonly note: (
		before: Configuration | undefined,
		after: Configuration,
	) => Promise<void>;
	/** Services of a queue, the present one in front. */
	readonly listServices: (queue: string, present: string) => readonly string[];
};

/** What the history needs. */
export type QueueHistoryDeps = {
	readonly store: RowStore;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

const historyTable = 'queue-history';

const servicesSchema = z.array(z.string());

type Moved = {readonly queue: string; readonly from: string};

/** Queues whose service differs between two configurations. */
export const findMoved = (
	before: Configuration | undefined,
	after: Configuration,
): readonly Moved[] => {
	const present = new Map(
		after.routes.map(({name, service}) => [name, service]),
	);
	return (before?.routes ?? []).flatMap(({name, service}) => {
		const now = present.get(name);
		return now === undefined || now === service
			? []
			: [{queue: name, from: service}];
	});
};

/** Creates a history that knows nothing. */
export const createQueueHistory = ({
	store,
	logger,
}: QueueHistoryDeps): QueueHistory => {
	const known = new Map<string, Set<string>>();

	const add = (queue: string, services: readonly string[]) => {
		known.set(queue, new Set([...(known.get(queue) ?? []), ...services]));
	};

	const storeQueue = async (queue: string) => {
		const row = {table: historyTable, part: sharedPart, key: queue};
		const value = JSON.stringify([...(known.get(queue) ?? [])]);
		// All daemons see the same change; any one of them keeps it.
		const result = await store.transact(
			{checks: [], puts: [{...row, value}], removes: []},
			periods.storeTimeoutMs,
		);
		logger.info('queue has moved', {
			queue,
			services: [...(known.get(queue) ?? [])],
			outcome: result.ok ? 'stored' : result.error.kind,
		});
	};

	return {
		async load() {
			const rows = await readWhole(
				store,
				{table: historyTable, part: sharedPart},
				periods.storeTimeoutMs,
			);
			const stored = rows.ok ? rows.value.rows : [];
			for (const {row, value} of decodeRows(stored, servicesSchema, logger)) {
				add(row.key, value);
			}

			return rows.ok;
		},
		async note(before, after) {
			const moved = findMoved(before, after);
			for (const {queue, from} of moved) {
				add(queue, [from]);
			}

			await Promise.all(moved.map(async ({queue}) => storeQueue(queue)));
		},
		listServices: (queue, present) => [
			present,
			...[...(known.get(queue) ?? [])].filter((each) => each !== present),
		],
	};
};
