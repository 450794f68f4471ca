/**
 * The budget ledger of one service: which of its executors are held away by
 * plan, which are lost, and the terms that bind. One row a service; every
 * change is conditional on the row's version. Source: docs/design/budget.md.
 */
import type {Instance} from '../types/instance.js';
import type {CombinedTerms} from './terms.js';
import {
	createRowInsert,
	createRowPut,
	tables,
	type RowPut,
	type Versioned,
} from './row-write.js';

/** What the ledger holds of one executor. */
export type LedgerEntry =
	| {readonly kind: 'serving'}
	/** Lost without a plan, since a time in milliseconds. */
	| {readonly kind: 'lost'; readonly since: number}
	/** Held away by plan; the operation id tells whose take it is. */
	| {
			readonly kind: 'away';
			readonly since: number;
			readonly wave: string;
			readonly operationId: string;
	  };

/** The ledger of one service. */
export type Ledger = {
	readonly service: string;
	readonly terms: CombinedTerms;
	/** Every executor of the service, by id of the instance. */
	readonly entries: Readonly<Record<string, LedgerEntry>>;
};

/** Ledgers by service, as read. */
export type Ledgers = ReadonlyMap<string, Versioned<Ledger>>;

/** Names of the services that run on a pool, by pool. */
export type ServicesByPool = ReadonlyMap<string, readonly string[]>;

/**
 * Services in whose ledgers an instance stands. Workers serve no requests: no
 * contract counts them.
 */
export const listLedgerServices = (
	{kind, pool}: Pick<Instance, 'kind' | 'pool'>,
	servicesByPool: ServicesByPool,
): readonly string[] =>
	kind === 'executor' ? (servicesByPool.get(pool) ?? []) : [];

/** How a budget stands. */
export type BudgetUsage = {
	readonly total: number;
	readonly serving: number;
	/** Held away by plan. */
	readonly planned: number;
	readonly lost: number;
	/** Executors that may still be taken away now; 0 or more. */
	readonly left: number;
};

/** Makes the ledger of a service whose executors all serve. */
export const createLedger = (
	service: string,
	terms: CombinedTerms,
	instanceIds: Iterable<string>,
): Ledger => {
	const entries: Record<string, LedgerEntry> = {};
	for (const id of instanceIds) {
		entries[id] = {kind: 'serving'};
	}

	return {service, terms, entries};
};

type Counts = {
	readonly total: number;
	readonly planned: number;
	readonly lost: number;
};

/** Counts of ledgers that were counted; a ledger never changes in place. */
const counted = new WeakMap<Ledger, Counts>();

const countEntries = (ledger: Ledger): Counts => {
	const known = counted.get(ledger);
	if (known) {
		return known;
	}

	let total = 0;
	let planned = 0;
	let lost = 0;
	for (const {kind} of Object.values(ledger.entries)) {
		total += 1;
		planned += kind === 'away' ? 1 : 0;
		lost += kind === 'lost' ? 1 : 0;
	}

	const counts = {total, planned, lost};
	counted.set(ledger, counts);
	return counts;
};

/**
 * Counts a ledger. Loss counts first: what is lost is taken off the budget
 * before any plan may use it.
 */
export const getUsage = (ledger: Ledger, reserve = 0): BudgetUsage => {
	const {total, planned, lost} = countEntries(ledger);
	const serving = total - planned - lost;
	const {keepExecutors, maxAway} = ledger.terms;
	const left = Math.min(
		maxAway - planned - lost,
		serving - keepExecutors - reserve,
	);
	return {total, serving, planned, lost, left: Math.max(0, left)};
};

/** Replaces the entry of one executor. */
export const updateEntry = (
	ledger: Ledger,
	instanceId: string,
	entry: LedgerEntry,
): Ledger => ({
	...ledger,
	entries: {...ledger.entries, [instanceId]: entry},
});

/** Removes an executor that has left the service's pool. */
export const removeEntry = (ledger: Ledger, instanceId: string): Ledger => ({
	...ledger,
	entries: Object.fromEntries(
		Object.entries(ledger.entries).filter(([id]) => id !== instanceId),
	),
});

/**
 * The write that brings a ledger to new terms. A change of a contract commits
 * it in its own transaction, so that no take is judged by older terms.
 */
export const createTermsPut = (
	ledger: Versioned<Ledger>,
	terms: CombinedTerms,
): RowPut<Ledger> => createLedgerPut({...ledger.value, terms}, ledger.version);

/** The write of a changed ledger. */
export const createLedgerPut = (
	ledger: Ledger,
	version: number,
): RowPut<Ledger> =>
	createRowPut(tables.ledgers, ledger.service, ledger, version);

/** The write of a ledger that has no row yet. */
export const createLedgerInsert = (ledger: Ledger): RowPut<Ledger> =>
	createRowInsert(tables.ledgers, ledger.service, ledger);
