/**
 * Rewrites the gates of queues as they are. Each submission checks the version
 * of its queue's gate, so those that were sent before have no effect; whoever
 * sent them reads the gate, and what is stored by then, again. Source:
 * docs/design/queue-homes.md.
 */
import type {
	RowCheck,
	RowKey,
	RowPut,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import {periods} from '../periods.js';
import {
	decodeRow,
	getGateKey,
	getHomeKey,
	getKeyAfter,
	getServiceShard,
	queueHomeSchema,
} from '../rows/tables.js';

/** Parts of a transaction that rewrites gates. */
export type GateRewrites = {
	readonly checks: readonly RowCheck[];
	readonly puts: readonly RowPut[];
};

type ReadRow = {readonly isRead: boolean; readonly row?: StoredRow | undefined};

const readRow = async (
	store: RowStore,
	{table, part, key}: RowKey,
): Promise<ReadRow> => {
	const page = await store.read(
		{table, part, from: key, to: getKeyAfter(key)},
		periods.storeTimeoutMs,
	);
	return page.ok ? {isRead: true, row: page.value.rows[0]} : {isRead: false};
};

/** Reads the gate of a queue in the service that is its home. */
const readHomeGate = async (
	store: RowStore,
	queue: string,
): Promise<ReadRow> => {
	const home = await readRow(store, getHomeKey(queue));
	const decoded = home.row && decodeRow(queueHomeSchema, home.row.value);
	return decoded?.ok
		? readRow(store, getGateKey(getServiceShard(decoded.value.service), queue))
		: {isRead: home.isRead};
};

/**
 * Reads the open gates of queues, which are in the services that are their homes
 * now; absent if the store does not answer.
 */
export const readGateRewrites = async (
	store: RowStore,
	queues: readonly string[],
): Promise<GateRewrites | undefined> => {
	const gates = await Promise.all(
		queues.map(async (queue) => readHomeGate(store, queue)),
	);
	if (!gates.every(({isRead}) => isRead)) {
		return undefined;
	}

	const rows = gates.flatMap(({row}) => row ?? []);
	return {
		checks: rows.map(({table, part, key, version}) => ({
			table,
			part,
			key,
			version,
		})),
		puts: rows.map(({table, part, key, value}) => ({table, part, key, value})),
	};
};
