/**
 * The services that each queue has ever had. A job stays with the service under
 * which it was accepted, so a queue that moved has jobs in several shards. The
 * row of its gate in each shard names the queue; it is stored before the first of
 * its jobs, so that no entry has to observe the move itself.
 */
import type {
	Configuration,
	RowRange,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {coalesceCalls} from '../coalesce-calls.js';
import {
	decodeRow,
	getKeyAfter,
	parseServiceShard,
	queueHomeSchema,
	sharedPart,
	tables,
} from '../rows/tables.js';
import {readRange} from '../rows/table-feed.js';

export type QueueHistory = {
	/** Reads what all daemons have stored; resolves to false on failure. */
	readonly load: () => Promise<boolean>;
	/** Adds the services of a new configuration. */
	readonly addConfiguration: (configuration: Configuration) => void;
	/** Lists the services of a queue, the present one first. */
	readonly listServices: (queue: string, present: string) => readonly string[];
	/**
	 * Reads the services in which the queues have had their homes, unless that
	 * was done lately. Resolves to false if this fails although a configuration
	 * has come since: another daemon may have moved a queue meanwhile.
	 */
	readonly refresh: () => Promise<boolean>;
	/**
	 * Reads which services may have jobs of a queue by the store; resolves to
	 * `undefined` on failure.
	 */
	readonly listRecorded: (
		queue: string,
	) => Promise<readonly string[] | undefined>;
};

export type QueueHistoryDeps = {
	readonly store: RowStore;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

/** Age from which the homes are read again for a count, in milliseconds. */
const maxHomesAgeMs = 1000;

/** Older form: one row per queue in the shared partition lists all services. */
const servicesSchema = z.array(z.string());

type ServicesByQueue = Map<string, Set<string>>;

const add = (
	services: ServicesByQueue,
	queue: string,
	added: readonly string[],
) => {
	services.set(queue, new Set([...(services.get(queue) ?? []), ...added]));
};

export const createQueueHistory = ({
	store,
	now,
	logger,
}: QueueHistoryDeps): QueueHistory => {
	const recorded: ServicesByQueue = new Map();
	const configured: ServicesByQueue = new Map();
	let homesReadAt = Number.NEGATIVE_INFINITY;
	let configuredAt = Number.NEGATIVE_INFINITY;

	const applyRow = ({part, key, value, table}: StoredRow) => {
		const service = parseServiceShard(part);
		if (service !== undefined) {
			add(recorded, key, [service]);
			return;
		}

		const decoded = decodeRow(servicesSchema, value);
		if (decoded.ok) {
			add(recorded, key, decoded.value);
		} else {
			logger.warn('row skipped', {table, key, ...decoded.error});
		}
	};

	const readPart = async (
		part: string,
		keys: Pick<RowRange, 'from' | 'to'>,
	): Promise<boolean> => {
		const rows = await readRange(
			store,
			{table: tables.queueGate, part, ...keys},
			periods.storeTimeoutMs,
		);
		for (const row of rows.ok ? rows.value.rows : []) {
			applyRow(row);
		}

		return rows.ok;
	};

	const readParts = async (
		keys: Pick<RowRange, 'from' | 'to'>,
	): Promise<boolean> => {
		const parts = await store.listParts(
			tables.queueGate,
			periods.storeTimeoutMs,
		);
		if (!parts.ok) {
			return false;
		}

		const all = [...new Set([sharedPart, ...parts.value])];
		const areRead = await Promise.all(
			all.map(async (part) => readPart(part, keys)),
		);
		return areRead.every(Boolean);
	};

	const readHomes = async (): Promise<boolean> => {
		const sentAt = now();
		const homes = await readRange(
			store,
			{table: tables.queueHome, part: sharedPart},
			periods.storeTimeoutMs,
		);
		if (!homes.ok) {
			return false;
		}

		for (const {key, value} of homes.value.rows) {
			const home = decodeRow(queueHomeSchema, value);
			add(recorded, key, home.ok ? home.value.services : []);
		}

		homesReadAt = sentAt;
		return true;
	};

	const load = coalesceCalls(async () => readParts({}));
	const loadHomes = coalesceCalls(readHomes);

	const listServices = (queue: string, present: string): readonly string[] => [
		...new Set([
			present,
			...(configured.get(queue) ?? []),
			...(recorded.get(queue) ?? []),
		]),
	];

	return {
		load,
		listServices,
		refresh: async () =>
			now() - homesReadAt < maxHomesAgeMs ||
			(await loadHomes()) ||
			configuredAt < homesReadAt,
		async listRecorded(queue) {
			return (await readParts({from: queue, to: getKeyAfter(queue)}))
				? [...(recorded.get(queue) ?? [])]
				: undefined;
		},
		addConfiguration({routes}) {
			configuredAt = now();
			for (const {name, service} of routes) {
				add(configured, name, [service]);
			}
		},
	};
};
