/**
 * Commits all rows that an action changes in one transaction, conditional on
 * the versions read, and updates the loaded rows after the commit.
 */
import {randomUUID} from 'node:crypto';
import {
	budget,
	type followedView,
	type Instance,
	type viewChange,
	type waves,
} from '@gullstand/core';
import type {client, TableService, Workers, Write} from '@gullstand/ports';
import {commitChange} from '../view/commit-change.js';
import {toJson} from '../view/tables.js';
import type {LedgerCache, ListedInstances} from './ledger-cache.js';
import type {WaveJobs} from './wave-facts.js';
import type {LoadedWave} from './wave-rows.js';

/** Dependencies of actions. */
export type ActionDeps = {
	readonly table: TableService;
	readonly workers: Workers;
	readonly jobs: WaveJobs;
	readonly ledgerCache: LedgerCache;
	readonly getFollowed: () => followedView.FollowedView;
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Conditions of each commit, such as this entry's shard lease. */
	readonly getGuards: () => readonly Write[];
	/** Wall clock in milliseconds, as stored in rows. */
	readonly now: () => number;
	readonly env?: client.Environment;
};

/** What an action on a wave reads and updates. */
export type ActionContext = {
	readonly loaded: LoadedWave;
	readonly facts: waves.WaveFacts;
	readonly listed: ListedInstances;
	/** Conditions of finishing a drain: the set of entries is unchanged. */
	readonly drainGuards: readonly Write[];
};

/** A put of a row of any type. */
export type Put = budget.RowPut<unknown>;

const toWrite = (put: Put): Write => ({...put, value: toJson(put.value)});

/** Stores committed rows; one without a version causes a reload. */
const updateLoaded = (
	deps: ActionDeps,
	{loaded}: ActionContext,
	puts: readonly Put[],
	versions: ReadonlyArray<number | undefined>,
) => {
	for (const [index, {table, key, value}] of puts.entries()) {
		const version = versions[index];
		switch (table) {
			case budget.tables.ledgers: {
				deps.ledgerCache.update(value as budget.Ledger, version);

				break;
			}

			case budget.tables.waveDomains: {
				const row = value as waves.WaveDomain;
				loaded.rows.set(row.domain, {value: row, version: version ?? 0});

				break;
			}

			case budget.tables.waves: {
				const wave = value as waves.Wave;
				loaded.header = {value: wave, version: version ?? 0};
				loaded.progress.wave = wave;

				break;
			}

			default: {
				throw new Error(`unexpected table ${table} for ${key}`);
			}
		}
	}
};

/** Commits rows outside the view. */
export const commitRows = async (
	deps: ActionDeps,
	context: ActionContext,
	puts: readonly Put[],
): Promise<boolean> => {
	const committed = await deps.table.commit(
		[...puts.map((put) => toWrite(put)), ...deps.getGuards()],
		randomUUID(),
	);
	if (committed.ok) {
		updateLoaded(deps, context, puts, committed.value.versions);
	}

	return committed.ok;
};

/** Commits instances together with their related rows. */
export const commitInstances = async (
	deps: ActionDeps,
	context: ActionContext,
	operation: {
		readonly id: string;
		readonly instances: ReadonlyArray<budget.RowPut<Instance>>;
		readonly also: readonly Put[];
		readonly guards?: readonly Write[];
		/** If set, commits only if nothing has changed since this view. */
		readonly newest?: followedView.FollowedView;
	},
): Promise<boolean> => {
	const committed = await commitChange(
		deps.table,
		operation.instances.map(({key, value, when}) => ({
			table: 'instance',
			key,
			value: toJson(value),
			when,
		})),
		operation.id,
		{
			author: `wave ${context.loaded.progress.wave.id}`,
			extraWrites: [
				...operation.also.map((put) => toWrite(put)),
				...(operation.guards ?? []),
				...deps.getGuards(),
			],
			known: operation.newest ?? deps.getFollowed(),
			mustBeNewest: operation.newest !== undefined,
			...(deps.env && {env: deps.env}),
		},
	);
	if (!committed.ok) {
		return false;
	}

	const {versions, delta} = committed.value;
	const rowVersions = versions.slice(operation.instances.length);
	updateLoaded(deps, context, operation.also, rowVersions);
	await deps.onCommitted(delta);
	return true;
};

/** Reads an instance row; undefined if it is absent or the read fails. */
export const readInstance = async (
	{table}: ActionDeps,
	id: string,
): Promise<budget.Versioned<Instance> | undefined> => {
	const row = await table.get(budget.tables.instances, id);
	return row.ok && row.value
		? {
				value: row.value.value as unknown as Instance,
				version: row.value.version,
			}
		: undefined;
};

/** Reads instance rows; undefined unless all were read. */
export const readInstances = async (
	deps: ActionDeps,
	ids: readonly string[],
): Promise<ReadonlyArray<budget.Versioned<Instance>> | undefined> => {
	const read = await Promise.all(ids.map(async (id) => readInstance(deps, id)));
	const found = read.filter((each) => each !== undefined);
	return found.length === ids.length ? found : undefined;
};

/** True if the row is an instance. */
export const isInstancePut = (put: Put): put is budget.RowPut<Instance> =>
	put.table === budget.tables.instances;
