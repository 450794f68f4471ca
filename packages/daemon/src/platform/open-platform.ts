/** Opens the platform that the settings name, behind the rate guard. */
import {randomUUID} from 'node:crypto';
import * as platform from '@gullstand/ports';
import type {Platform} from '../daemon.js';
import type {Settings} from '../settings/schema.js';
import {createEnvironment} from '../view/environment.js';
import {createTicker} from '../view/ticker.js';

/** An open platform and its end. */
export type OpenPlatform = {
	readonly platform: Platform;
	readonly close: () => Promise<void>;
};

/** Entries that share the fleet's rate while their number is not known. */
const entriesAtStart = 18;

const openMemoryPlatform = (now: () => number): OpenPlatform => ({
	platform: {
		table: platform.createMemoryTableService(),
		objects: platform.createMemoryObjectStore(),
		list: platform.createMemoryInstanceList(),
		workers: platform.createMemoryWorkers({workers: [], now}),
	},
	async close() {
		// Nothing outlives the process.
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

/** Tells how many entries each read of the list shows. */
export const countListed = (
	list: platform.InstanceList,
	setListed: (entries: number) => void,
): platform.InstanceList => ({
	async list() {
		const read = await list.list();
		if (read.ok) {
			setListed(read.value.filter(({role}) => role === 'entry').length);
		}

		return read;
	},
});

const sharePeriodMs = 10_000;

const silentPeriods = 3;

/** Shares the fleet's rate by demand until it is stopped. */
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
		expireAfterMs: silentPeriods * sharePeriodMs,
	});
	const ticker = createTicker(sharer.exchange, sharePeriodMs, env.random);
	void ticker.start(() => {
		// An exchange reports its failures as values.
	});
	return {
		setListed: sharer.setListedEntryCount,
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
			list: countListed(
				platform.createHttpInstanceList(connection),
				sharing.setListed,
			),
			workers: platform.createHttpWorkers(connection),
		},
		async close() {
			await sharing.stop();
			await connection.close();
		},
	};
};

/** Opens the platform; its first call is made later. */
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
