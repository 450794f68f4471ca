/** The store of rows in memory, with faults that a test sets. */
import {fail, succeed, type Result} from '@gullstand/core';
import type {
	ChangedRow,
	RowCheck,
	RowKey,
	RowStore,
	RowStoreError,
	RowTransaction,
	StoredRow,
} from '../ports/row-store.js';
import {createChangeSignal} from './change-signal.js';

/** What happens to a call. */
export type StoreFault =
	/** Nothing is done. */
	| 'unavailable'
	/** Done, and the answer is lost. */
	| 'lost-after'
	/** Not done, and no answer comes. */
	| 'lost-before';

/** A store in memory and what tests do with it. */
export type MemoryRowStore = RowStore & {
	/** Decides for each call whether it meets a fault. */
	setFault: (
		decide: (call: 'transact' | 'read') => StoreFault | undefined,
	) => void;
	/** Drops the history, as a store may at any time. */
	readonly dropHistory: () => void;
	readonly list: (table: string) => readonly StoredRow[];
	readonly countCalls: () => number;
};

const pageSize = 500;

const toId = ({table, part, key}: RowKey): string =>
	`${table}\n${part}\n${key}`;

const byKey = (one: RowKey, two: RowKey): number =>
	one.key < two.key ? -1 : 1;

/** Creates an empty store. */
export const createMemoryRowStore = (): MemoryRowStore => {
	const rows = new Map<string, StoredRow>();
	let history: ChangedRow[] = [];
	let historyFrom = 0;
	let version = 0;
	let calls = 0;
	let decideFault: (call: 'transact' | 'read') => StoreFault | undefined = () =>
		undefined;
	const signal = createChangeSignal();

	const holds = (check: RowCheck): boolean =>
		(rows.get(toId(check))?.version ?? 0) === check.version;

	const findRows = (checks: readonly RowCheck[]): readonly StoredRow[] =>
		checks.flatMap((check) => rows.get(toId(check)) ?? []);

	const apply = ({checks, puts, removes}: RowTransaction) => {
		if (!checks.every((check) => holds(check))) {
			return fail({kind: 'conflict', rows: findRows(checks)} as const);
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

	const guard = async <Value>(
		call: 'transact' | 'read',
		action: () => Result<Value, RowStoreError>,
	): Promise<Result<Value, RowStoreError>> => {
		calls += 1;
		const fault = decideFault(call);
		// An answer never comes within the call itself.
		await Promise.resolve();
		if (fault === 'unavailable') {
			return fail({kind: 'unavailable'});
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
		transact: async (transaction) =>
			guard('transact', () => apply(transaction)),
		read: async ({table, part, from = '', to, limit = pageSize}) =>
			guard('read', () => {
				const most = Math.min(limit, pageSize);
				const found = listPart(table, part).filter(
					({key}) => key >= from && (to === undefined || key < to),
				);
				return succeed({
					rows: found.slice(0, most),
					version,
					hasMore: found.length > most,
					nowMs: performance.now(),
				});
			}),
		listParts: async (table) =>
			guard('read', () => {
				const parts = [...rows.values()]
					.filter((row) => row.table === table)
					.map(({part}) => part);
				return succeed([...new Set(parts)].toSorted());
			}),
		async readChanges({table, afterVersion, waitMs}) {
			// Other tables change meanwhile.
			const until = performance.now() + waitMs;
			while (
				performance.now() < until &&
				listChanges(table, afterVersion).length === 0
			) {
				await signal.wait(until - performance.now());
			}

			return guard('read', () =>
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
