/** Opens the platform that the settings name, behind the rate guard. */
import * as platform from '@gullstand/platform';
import type {Platform} from '../daemon.js';
import type {Settings} from '../settings/schema.js';
import {createEnvironment} from '../view/environment.js';

/** An open platform and its end. */
export type OpenPlatform = {
	readonly platform: Platform;
	readonly close: () => Promise<void>;
};

/** Entries that share the fleet's rate: nine, and one being replaced. */
const entriesSharingRate = 10;

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

const getShare = (): platform.client.RateShare => {
	const {readsPerSecond, writesPerSecond} = platform.client.defaultFleetRate;
	return {
		readsPerSecond: readsPerSecond / entriesSharingRate,
		writesPerSecond: writesPerSecond / entriesSharingRate,
	};
};

const openHttpPlatform = (url: string, timeoutMs: number): OpenPlatform => {
	const connection = platform.createHttpConnection({
		...platform.defaultHttpOptions,
		origin: new URL(url).origin,
		timeoutMs,
	});
	const guard = platform.client.createGuard(
		{...platform.client.defaultGuardConfig, share: getShare()},
		createEnvironment(),
	);
	const {createGuardedObjectStore, createGuardedTableService} = platform.client;
	return {
		platform: {
			table: createGuardedTableService(
				platform.createHttpTableService(connection),
				guard,
			),
			objects: createGuardedObjectStore(
				platform.createHttpObjectStore(connection),
				guard,
			),
			list: platform.createHttpInstanceList(connection),
			workers: platform.createHttpWorkers(connection),
		},
		close: async () => connection.close(),
	};
};

/** Opens the platform; nothing is called yet. */
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
