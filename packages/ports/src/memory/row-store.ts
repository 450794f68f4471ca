/** Row store in memory, with fault injection for tests. */
import {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '@gullstand/core';
import type {
	ChangedRow,
	RowCheck,
	RowKey,
	RowLimits,
	RowStore,
	RowStoreError,
	RowTransaction,
	StoredRow,
	TransactionResult,
} from '../ports/row-store.js';
import {createChangeSignal} from './change-signal.js';

/** Fault of one call. */
export type StoreFault =
	/** Fails without effect. */
	| 'unavailable'
	/** Refuses the call for good. */
	| 'rejected'
	/** Times out after taking effect. */
	| 'lost-after'
	/** Times out without effect. */
	| 'lost-before';

export type DecideFault = (
	call: 'transact' | 'read',
	transaction?: RowTransaction,
) => StoreFault | undefined;

/** A row store in memory with controls for tests. */
export type MemoryRowStore = RowStore & {
	/**
	 * Sets the function that chooses the fault of each call; only transactions
	 * are shown to it.
	 */
	setFault: (decide: DecideFault) => void;
	/** Discards the change history, as a store may at any time. */
	readonly dropHistory: () => void;
	readonly list: (table: string) => readonly StoredRow[];
	readonly countCalls: () => number;
};

const pageSize = 500;

const rejectedStatus = 400;

/** Limits of a store that takes values of 64 KiB and 100 entries at once. */
export const defaultRowLimits: RowLimits = {
	maxValueBytes: 65_536,
	safeValueBytes: 49_152,
	maxEntries: 100,
	maxTransactionBytes: 400_000,
};

const toId = ({table, part, key}: RowKey): string =>
	`${table}\n${part}\n${key}`;

const byKey = (one: RowKey, two: RowKey): number =>
	one.key < two.key ? -1 : 1;

/** Creates a store that refuses for good what exceeds its limits. */
export const createMemoryRowStore = (
	limits: RowLimits = defaultRowLimits,
): MemoryRowStore => {
	const rows = new Map<string, StoredRow>();
	let history: ChangedRow[] = [];
	let historyFrom = 0;
	let version = 0;
	let calls = 0;
	let decideFault: DecideFault = () => undefined;
	const signal = createChangeSignal();

	const isSatisfied = (check: RowCheck): boolean =>
		(rows.get(toId(check))?.version ?? 0) === check.version;

	const findRows = (checks: readonly RowCheck[]): readonly StoredRow[] =>
		checks.flatMap((check) => rows.get(toId(check)) ?? []);

	const isWithinLimits = ({checks, puts, removes}: RowTransaction): boolean =>
		checks.length + puts.length + removes.length <= limits.maxEntries &&
		puts.every(({value}) => Buffer.byteLength(value) <= limits.maxValueBytes);

	const apply = (
		transaction: RowTransaction,
	): Result<TransactionResult, RowStoreError> => {
		const {checks, puts, removes} = transaction;
		if (!isWithinLimits(transaction)) {
			return fail({kind: 'rejected', status: rejectedStatus});
		}

		if (!checks.every((check) => isSatisfied(check))) {
			return fail({kind: 'conflict', rows: findRows(checks)});
		}

		version += 1;
		for (const {table, part, key, value} of puts) {
			const row = {table, part, key, value, version};
			rows.set(toId(row), row);
			history.push(row);
		}

		for (const {table, part, key} of removes) {
			rows.delete(toId({table, part, key}));
			history.push({table, part, key, value: undefined, version});
		}

		signal.notify();

		return succeed({version, nowMs: performance.now()});
	};

	const runWithFault = async <Value>(
		call: 'transact' | 'read',
		action: () => Result<Value, RowStoreError>,
		transaction?: RowTransaction,
	): Promise<Result<Value, RowStoreError>> => {
		calls += 1;
		const fault = decideFault(call, transaction);
		// Answers asynchronously, as a remote store does.
		await Promise.resolve();
		if (fault === 'unavailable') {
			return fail({kind: 'unavailable'});
		}

		if (fault === 'rejected') {
			return fail({kind: 'rejected', status: rejectedStatus});
		}

		if (fault === 'lost-before') {
			return fail({kind: 'timeout'});
		}

		const result = action();
		return fault === 'lost-after' ? fail({kind: 'timeout'}) : result;
	};

	const listPart = (table: string, part: string): readonly StoredRow[] =>
		[...rows.values()]
			.filter((row) => row.table === table && row.part === part)
			.toSorted(byKey);

	const listChanges = (table: string, after: number): readonly ChangedRow[] =>
		history.filter((row) => row.table === table && row.version > after);

	return {
		limits,
		transact: async (transaction) =>
			runWithFault('transact', () => apply(transaction), transaction),
		read: async ({table, part, from = '', to, limit = pageSize}) =>
			runWithFault('read', () => {
				const maxRows = Math.min(limit, pageSize);
				const found = listPart(table, part).filter(
					({key}) => key >= from && (to === undefined || key < to),
				);
				return succeed({
					rows: found.slice(0, maxRows),
					version,
					hasMore: found.length > maxRows,
					nowMs: performance.now(),
				});
			}),
		listParts: async (table) =>
			runWithFault('read', () => {
				const parts = [...rows.values()]
					.filter((row) => row.table === table)
					.map(({part}) => part);
				return succeed([...new Set(parts)].toSorted());
			}),
		async readChanges({table, afterVersion, waitMs}) {
			// The signal also fires on changes of other tables.
			const until = performance.now() + waitMs;
			while (
				performance.now() < until &&
				listChanges(table, afterVersion).length === 0
			) {
				await signal.wait(until - performance.now());
			}

			return runWithFault('read', () =>
				afterVersion < historyFrom
					? fail({kind: 'history-lost'})
					: succeed({rows: listChanges(table, afterVersion), version}),
			);
		},
		setFault(decide) {
			decideFault = decide;
		},
		dropHistory() {
			history = [];
			historyFrom = version + 1;
		},
		list: (table) => [...rows.values()].filter((row) => row.table === table),
		countCalls: () => calls,
	};
};
