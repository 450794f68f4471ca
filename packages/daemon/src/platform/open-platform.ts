/** Opens the platform of the settings; HTTP calls pass the rate guard. */
import {randomUUID} from 'node:crypto';
import * as platform from '@gullstand/ports';
import type {Platform} from '../daemon.js';
import type {Settings} from '../settings/schema.js';
import {createEnvironment} from '../view/environment.js';
import {createTicker} from '../view/ticker.js';

/** An open platform with its close function. */
export type OpenPlatform = {
	readonly platform: Platform;
	readonly close: () => Promise<void>;
};

/** Assumed number of entries that share the fleet's rate until it is known. */
const entriesAtStart = 18;

const openMemoryPlatform = (now: () => number): OpenPlatform => ({
	platform: {
		table: platform.createMemoryTableService(),
		objects: platform.createMemoryObjectStore(),
		list: platform.createMemoryInstanceList(),
		workers: platform.createMemoryWorkers({workers: [], now}),
	},
	async close() {
		// There is nothing to close.
	},
});

const getShare = (entries: number): platform.client.RateShare => {
	const {readsPerSecond, writesPerSecond} = platform.client.defaultFleetRate;
	const sharers = Math.max(1, entries);
	return {
		readsPerSecond: readsPerSecond / sharers,
		writesPerSecond: writesPerSecond / sharers,
	};
};

/** Reports the number of entries after each successful read of the list. */
export const reportEntryCount = (
	list: platform.InstanceList,
	setEntryCount: (entries: number) => void,
): platform.InstanceList => ({
	async list() {
		const read = await list.list();
		if (read.ok) {
			setEntryCount(read.value.filter(({role}) => role === 'entry').length);
		}

		return read;
	},
});

const sharePeriodMs = 10_000;

const unresponsivePeriods = 3;

/** Starts to share the fleet's request rate between entries by demand. */
const startSharing = (
	tables: platform.TableService,
	guard: platform.client.Guard,
	env: platform.client.Environment,
) => {
	const sharer = platform.client.createRateSharer({
		tables,
		guard,
		env,
		id: randomUUID(),
		fleetRate: platform.client.defaultFleetRate,
		expireAfterMs: unresponsivePeriods * sharePeriodMs,
	});
	const ticker = createTicker(sharer.exchange, sharePeriodMs, env.random);
	void ticker.start(() => {
		// An exchange returns its failures as values.
	});
	return {
		setEntryCount: sharer.setListedEntryCount,
		async stop() {
			await ticker.stop();
			await sharer.leave();
		},
	};
};

const openHttpPlatform = (url: string, timeoutMs: number): OpenPlatform => {
	const connection = platform.createHttpConnection({
		...platform.defaultHttpOptions,
		origin: new URL(url).origin,
		timeoutMs,
	});
	const env = createEnvironment();
	const guard = platform.client.createGuard(
		{...platform.client.defaultGuardConfig, share: getShare(entriesAtStart)},
		env,
	);
	const {createGuardedObjectStore, createGuardedTableService} = platform.client;
	const table = createGuardedTableService(
		platform.createHttpTableService(connection),
		guard,
	);
	const sharing = startSharing(table, guard, env);
	return {
		platform: {
			table,
			objects: createGuardedObjectStore(
				platform.createHttpObjectStore(connection),
				guard,
			),
			list: reportEntryCount(
				platform.createHttpInstanceList(connection),
				sharing.setEntryCount,
			),
			workers: platform.createHttpWorkers(connection),
		},
		async close() {
			await sharing.stop();
			await connection.close();
		},
	};
};

/** Opens the platform without calling it yet. */
export const openPlatform = (
	settings: Settings['platform'],
	now: () => number,
): OpenPlatform => {
	switch (settings.kind) {
		case 'memory': {
			return openMemoryPlatform(now);
		}

		case 'http': {
			return openHttpPlatform(settings.url, settings.timeoutMs);
		}
	}
};
