/**
 * The budget ledger of one service: which of its executors are withdrawn, which
 * are lost, and the contract terms that apply. One row per service; every
 * change is conditional on the version of the row.
 * Source: docs/design/budget.md.
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

/** State of one executor in the ledger. */
export type LedgerEntry =
	| {readonly kind: 'serving'}
	/** Unavailable without a plan, since a time in milliseconds. */
	| {readonly kind: 'lost'; readonly since: number}
	/** Withdrawn by a plan; `operationId` identifies the withdrawal. */
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
	/** All executors of the service, by instance id. */
	readonly entries: Readonly<Record<string, LedgerEntry>>;
};

/** Ledger rows as read, by service. */
export type Ledgers = ReadonlyMap<string, Versioned<Ledger>>;

/** Names of the services that run on a pool, by pool. */
export type ServicesByPool = ReadonlyMap<string, readonly string[]>;

/**
 * Services whose ledgers include an instance. Workers serve no requests and are
 * in no ledger.
 */
export const listLedgerServices = (
	{kind, pool}: Pick<Instance, 'kind' | 'pool'>,
	servicesByPool: ServicesByPool,
): readonly string[] =>
	kind === 'executor' ? (servicesByPool.get(pool) ?? []) : [];

/** Usage of a budget, in executors. */
export type BudgetUsage = {
	readonly total: number;
	readonly serving: number;
	/** Withdrawn by plans. */
	readonly planned: number;
	readonly lost: number;
	/** Executors that may still be withdrawn now; 0 or more. */
	readonly left: number;
};

/** Creates the ledger of a service with all executors serving. */
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

/** Cached counts; ledgers are immutable. */
const countsByLedger = new WeakMap<Ledger, Counts>();

const countEntries = (ledger: Ledger): Counts => {
	const cached = countsByLedger.get(ledger);
	if (cached) {
		return cached;
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
	countsByLedger.set(ledger, counts);
	return counts;
};

/**
 * Counts the entries of a ledger. Lost executors reduce the budget that is
 * available to plans.
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

/** Removes an executor that has left the pool of the service. */
export const removeEntry = (ledger: Ledger, instanceId: string): Ledger => ({
	...ledger,
	entries: Object.fromEntries(
		Object.entries(ledger.entries).filter(([id]) => id !== instanceId),
	),
});

/**
 * Write that changes the terms of a ledger. A contract change commits it in its
 * own transaction, so that no withdrawal is checked against outdated terms.
 */
export const createTermsPut = (
	ledger: Versioned<Ledger>,
	terms: CombinedTerms,
): RowPut<Ledger> => createLedgerPut({...ledger.value, terms}, ledger.version);

/** Write that updates a ledger. */
export const createLedgerPut = (
	ledger: Ledger,
	version: number,
): RowPut<Ledger> =>
	createRowPut(tables.ledgers, ledger.service, ledger, version);

/** Write that creates the row of a ledger. */
export const createLedgerInsert = (ledger: Ledger): RowPut<Ledger> =>
	createRowInsert(tables.ledgers, ledger.service, ledger);
