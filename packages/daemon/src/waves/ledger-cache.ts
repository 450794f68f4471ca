/**
 * Caches the ledgers as this entry last read or wrote them. Updates them after
 * changes of the view (terms, members) and the instance list (lost and
 * recovered capacity). A write that conflicts with another entry's is dropped,
 * and the ledgers are reloaded.
 */
import {randomUUID} from 'node:crypto';
import {
	budget,
	viewIndex,
	type Instance,
	type View,
	type waves,
} from '@gullstand/core';
import type {ListedInstance, TableService} from '@gullstand/ports';
import {readTable, toJson} from '../view/tables.js';

/** The instance list by id. */
export type ListedInstances = ReadonlyMap<string, ListedInstance>;

/** Cached ledgers. */
export type LedgerCache = {
	readonly getLedgers: () => budget.Ledgers;
	readonly values: waves.Lookup<budget.Ledger>;
	/** Stores a committed ledger; reloads all if its version is undefined. */
	readonly update: (ledger: budget.Ledger, version: number | undefined) => void;
	/**
	 * True if the ledgers of the services agree with this view and list. The view
	 * may have changed since the last `synchronize`.
	 */
	readonly isUpToDate: (
		services: readonly string[],
		view: View,
		listed: ListedInstances,
	) => boolean;
	/** Makes the next `synchronize` reload the rows. */
	readonly invalidate: () => void;
	/**
	 * Updates the ledgers; false if some could not be read or written, so that no
	 * instance may be withdrawn.
	 */
	readonly synchronize: (
		view: View,
		listed: ListedInstances,
		now: number,
	) => Promise<boolean>;
};

/** Wave id of an absence that no wave requested, such as a move. */
const noWave = '';

/** Names of the services of each pool. */
export const getServicesByPool = (view: View): budget.ServicesByPool => {
	const byPool = new Map<string, string[]>();
	for (const {name, pool} of view.services.values()) {
		const names = byPool.get(pool) ?? [];
		names.push(name);
		byPool.set(pool, names);
	}

	return byPool;
};

/** Returns the ledger entry that an instance should have now. */
const getEntry = (
	instance: Instance,
	known: budget.LedgerEntry | undefined,
	listed: ListedInstances,
	now: number,
): budget.LedgerEntry => {
	if (known?.kind === 'away' && known.wave !== noWave) {
		return known;
	}

	if (instance.state !== 'serving') {
		return known?.kind === 'away' || known?.kind === 'lost'
			? known
			: {kind: 'away', since: now, wave: noWave, operationId: ''};
	}

	if (listed.get(instance.id)?.state === 'live') {
		return {kind: 'serving'};
	}

	return known?.kind === 'lost' ? known : {kind: 'lost', since: now};
};

const isEqualEntry = (
	one: budget.LedgerEntry | undefined,
	other: budget.LedgerEntry,
) =>
	one?.kind === other.kind &&
	(one.kind !== 'away' ||
		(other.kind === 'away' && one.operationId === other.operationId));

const isEqualLedger = (one: budget.Ledger, other: budget.Ledger): boolean => {
	const ids = Object.keys(other.entries);
	return (
		ids.length === Object.keys(one.entries).length &&
		ids.every((id) => isEqualEntry(one.entries[id], other.entries[id]!)) &&
		JSON.stringify(one.terms) === JSON.stringify(other.terms)
	);
};

const createExpected = (
	service: string,
	members: readonly Instance[],
	known: budget.Ledger | undefined,
	facts: {
		readonly view: View;
		readonly listed: ListedInstances;
		readonly now: number;
	},
): budget.Ledger => {
	const {view, listed, now} = facts;
	const terms = budget.combineTerms(view.contracts.values(), service);
	const entries: Record<string, budget.LedgerEntry> = {};
	for (const instance of members.filter(({kind}) => kind === 'executor')) {
		const knownEntry = known?.entries[instance.id];
		entries[instance.id] = getEntry(instance, knownEntry, listed, now);
	}

	return {service, terms, entries};
};

/** Builds ledgers from the view and list alone, to evaluate a plan. */
export const createViewLedgers = (
	view: View,
	listed: ListedInstances,
	now: number,
): ReadonlyMap<string, budget.Ledger> => {
	const byPool = viewIndex.groupByPool(view.instances.values());
	const facts = {view, listed, now};
	return new Map(
		[...view.services.values()].map(({name, pool}) => [
			name,
			createExpected(name, byPool.get(pool) ?? [], undefined, facts),
		]),
	);
};

/** Creates a cache; it reads nothing before the first `synchronize`. */
export const createLedgerCache = (table: TableService): LedgerCache => {
	let ledgers = new Map<string, budget.Versioned<budget.Ledger>>();
	let isFresh = false;

	const load = async () => {
		const rows = await readTable(table, budget.tables.ledgers);
		if (rows.ok) {
			ledgers = new Map(
				rows.value.map(({key, value, version}) => [
					key,
					{value: value as unknown as budget.Ledger, version},
				]),
			);
			isFresh = true;
		}

		return rows.ok;
	};

	const update = (ledger: budget.Ledger, version: number | undefined) => {
		if (version === undefined) {
			isFresh = false;
		} else {
			ledgers.set(ledger.service, {value: ledger, version});
		}
	};

	const write = async (expected: budget.Ledger): Promise<boolean> => {
		const known = ledgers.get(expected.service);
		if (known && isEqualLedger(known.value, expected)) {
			return true;
		}

		const put = known
			? budget.createLedgerPut(expected, known.version)
			: budget.createLedgerInsert(expected);
		const committed = await table.commit(
			[{...put, value: toJson(put.value)}],
			randomUUID(),
		);
		update(expected, committed.ok ? committed.value.versions[0] : undefined);
		return committed.ok;
	};

	return {
		getLedgers: () => ledgers,
		values: {get: (name) => ledgers.get(name)?.value},
		update,
		isUpToDate(services, view, listed) {
			const byPool = viewIndex.groupByPool(view.instances.values());
			return services.every((name) => {
				const known = ledgers.get(name)?.value;
				const pool = view.services.get(name)?.pool ?? '';
				const members = byPool.get(pool) ?? [];
				const facts = {view, listed, now: 0};
				return (
					known !== undefined &&
					isEqualLedger(known, createExpected(name, members, known, facts))
				);
			});
		},
		invalidate() {
			isFresh = false;
		},
		async synchronize(view, listed, now) {
			if (!isFresh && !(await load())) {
				return false;
			}

			const byPool = viewIndex.groupByPool(view.instances.values());
			const facts = {view, listed, now};
			for (const {name, pool} of view.services.values()) {
				const known = ledgers.get(name)?.value;
				const members = byPool.get(pool) ?? [];
				if (!(await write(createExpected(name, members, known, facts)))) {
					return false;
				}
			}

			return true;
		},
	};
};
