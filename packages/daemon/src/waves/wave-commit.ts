/**
 * Commits of a wave: all rows that an action touches in one transaction,
 * conditional on what was read, and what was committed noted at once.
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

/** What actions are carried out with. */
export type ActionDeps = {
	readonly table: TableService;
	readonly workers: Workers;
	readonly jobs: WaveJobs;
	readonly ledgerCache: LedgerCache;
	readonly getFollowed: () => followedView.FollowedView;
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Conditions under which this entry may act, such as its shard's lease. */
	readonly getGuards: () => readonly Write[];
	/** Present time in milliseconds of the wall clock, as rows keep it. */
	readonly now: () => number;
	readonly env?: client.Environment;
};

/** One action on one wave. */
export type ActionContext = {
	readonly loaded: LoadedWave;
	readonly facts: waves.WaveFacts;
	readonly listed: ListedInstances;
	/** Conditions of a drain's end: the entries are still the same. */
	readonly drainGuards: readonly Write[];
};

/** A put of any row. */
export type Put = budget.RowPut<unknown>;

const toWrite = (put: Put): Write => ({...put, value: toJson(put.value)});

/** Notes what was committed; without a version the rows are read anew. */
const notePuts = (
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
	command: ActionContext,
	puts: readonly Put[],
): Promise<boolean> => {
	const committed = await deps.table.commit(
		[...puts.map((put) => toWrite(put)), ...deps.getGuards()],
		randomUUID(),
	);
	if (committed.ok) {
		notePuts(deps, command, puts, committed.value.versions);
	}

	return committed.ok;
};

/** Commits instances with the rows that go with them. */
export const commitInstances = async (
	deps: ActionDeps,
	command: ActionContext,
	operation: {
		readonly id: string;
		readonly instances: ReadonlyArray<budget.RowPut<Instance>>;
		readonly also: readonly Put[];
		readonly guards?: readonly Write[];
		/** Commits only if nothing has changed since this view. */
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
			author: `wave ${command.loaded.progress.wave.id}`,
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
	const own = versions.slice(operation.instances.length);
	notePuts(deps, command, operation.also, own);
	await deps.onCommitted(delta);
	return true;
};

/** Reads an instance row; undefined if there is none or no answer. */
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

/** True for the put of an instance. */
export const isInstancePut = (put: Put): put is budget.RowPut<Instance> =>
	put.table === budget.tables.instances;
