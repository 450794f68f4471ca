/** Real daemons as entries that are started, stopped and killed. */
import {PassThrough} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import * as core from '@gullstand/core';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import {Agent} from 'undici';
import {now} from './recorder.js';
import type {StoreLink, TestEnvironment} from './test-environment.js';

const createInterruptibleTable = (
	inner: platform.TableService,
	storeLink: Readonly<StoreLink>,
): platform.TableService => {
	const call = async <Value>(action: () => Promise<Value>) => {
		const heldMs = storeLink.heldUntil - now();
		await (heldMs > 0 ? wait(heldMs) : undefined);
		return storeLink.isCut
			? core.fail({kind: 'unavailable'} as const)
			: action();
	};

	return {
		get: async (table, key) => call(async () => inner.get(table, key)),
		range: async (query) => call(async () => inner.range(query)),
		commit: async (writes, id) => call(async () => inner.commit(writes, id)),
	};
};

const createGuardedTable = (inner: platform.TableService, entries: number) => {
	const {defaultFleetRate, defaultGuardConfig} = platform.client;
	const share = {
		readsPerSecond: defaultFleetRate.readsPerSecond / entries,
		writesPerSecond: defaultFleetRate.writesPerSecond / entries,
	};
	const guard = platform.client.createGuard(
		{...defaultGuardConfig, share},
		daemon.createEnvironment(),
	);
	return platform.client.createGuardedTableService(inner, guard);
};

const usualEntries = 3;

/** Starts an entry in a slot and lists it. */
export const startEntry = async (
	environment: TestEnvironment,
	slot: number,
	id: string,
): Promise<void> => {
	const base = daemon.createEmbeddedSettings(0, 0, 'error');
	const settings: daemon.Settings = {
		...base,
		entry: {...base.entry, id},
		peers: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
	};
	const storeLink: StoreLink = {isCut: false, heldUntil: 0};
	const created = daemon.createDaemon({
		settings,
		platform: {
			table: createGuardedTable(
				createInterruptibleTable(environment.table, storeLink),
				usualEntries,
			),
			objects: environment.objects,
			list: environment.list,
			workers: environment.workers,
		},
		logger: daemon.createLogger(settings.log, id, new PassThrough().resume()),
		now: () => now() + environment.clock.aheadMs,
	});
	const entry = {id, daemon: created, agent: new Agent(), storeLink};
	environment.started.push(entry);
	await created.start((err) => {
		throw err;
	});
	environment.list.set({
		id,
		role: 'entry',
		address: created.agreement.peers.getAddress(),
		availabilityZone: 'zone-1',
		state: 'live',
		incarnation: created.agreement.self.incarnation,
	});
	environment.slots[slot] = entry;
};

/** Stops an entry gracefully and removes it from the list. */
export const stopEntry = async (
	environment: TestEnvironment,
	slot: number,
): Promise<void> => {
	const entry = environment.slots[slot];
	if (entry) {
		environment.slots[slot] = undefined;
		await entry.daemon.stop();
		environment.list.remove(entry.id);
		environment.started.splice(environment.started.indexOf(entry), 1);
		await entry.agent.destroy();
	}
};

/**
 * Cuts an entry off from the store, its peers, the list and its callers. The
 * requests that it has sent to executors continue.
 */
export const killEntry = async (
	environment: TestEnvironment,
	slot: number,
): Promise<void> => {
	const entry = environment.slots[slot];
	if (entry) {
		environment.slots[slot] = undefined;
		entry.storeLink.isCut = true;
		environment.list.remove(entry.id);
		await entry.agent.destroy();
		await entry.daemon.agreement.peers.stop(now());
	}
};
