/** Reads tables whole and follows them, as a feed of rows. */
import {fail, succeed, type Result} from '@gullstand/core';
import type {
	ChangedRow,
	Feed,
	FeedBatch,
	RowRange,
	RowStore,
	RowStoreError,
	StoredRow,
} from '@gullstand/ports';
import {getKeyAfter, sharedPart} from './tables.js';

/** Rows of a range as they were read. */
export type RangeSnapshot = {
	readonly rows: readonly StoredRow[];
	/** Version of the first page. */
	readonly version: number;
	/** The store's clock at the last page. */
	readonly nowMs: number;
};

/** All rows of a range, page by page. */
export const readRange = async (
	store: RowStore,
	range: RowRange,
	timeoutMs: number,
): Promise<Result<RangeSnapshot, RowStoreError>> => {
	const rows: StoredRow[] = [];
	let version: number | undefined;
	let from = range.from ?? '';
	for (;;) {
		const page = await store.read({...range, from}, timeoutMs);
		if (!page.ok) {
			return page;
		}

		version ??= page.value.version;
		rows.push(...page.value.rows);
		const last = page.value.rows.at(-1);
		if (!page.value.hasMore || !last) {
			return succeed({rows, version, nowMs: page.value.nowMs});
		}

		from = getKeyAfter(last.key);
	}
};

const toEntry = (row: ChangedRow) => ({
	key: `${row.part}\n${row.key}`,
	value: row,
});

/** Which partitions of a table to follow. */
export type FollowedParts =
	| {readonly kind: 'one'; readonly part: string}
	/** Those that hold rows, as the store lists them. */
	| {readonly kind: 'all'};

const listParts = async (
	store: RowStore,
	table: string,
	parts: FollowedParts,
	timeoutMs: number,
): Promise<Result<readonly string[], RowStoreError>> =>
	parts.kind === 'one'
		? succeed([parts.part])
		: store.listParts(table, timeoutMs);

const readParts = async (
	store: RowStore,
	table: string,
	parts: readonly string[],
	timeoutMs: number,
): Promise<Result<FeedBatch<ChangedRow>, RowStoreError>> => {
	const pages = await Promise.all(
		parts.map(async (part) => readRange(store, {table, part}, timeoutMs)),
	);
	const rows: ChangedRow[] = [];
	let version = Number.POSITIVE_INFINITY;
	for (const page of pages) {
		if (!page.ok) {
			return page;
		}

		rows.push(...page.value.rows);
		version = Math.min(version, page.value.version);
	}

	return Number.isFinite(version)
		? succeed({entries: rows.map((row) => toEntry(row)), version})
		: fail({kind: 'history-lost'});
};

/** A feed of the rows of a table. */
export const createTableFeed = (
	store: RowStore,
	table: string,
	parts: FollowedParts,
): Feed<ChangedRow> => ({
	async readAll(timeoutMs) {
		const listed = await listParts(store, table, parts, timeoutMs);
		if (!listed.ok) {
			return listed;
		}

		// With no partition yet, the version comes from the shared one.
		const names = listed.value.length > 0 ? listed.value : [''];
		return readParts(store, table, names, timeoutMs);
	},
	async readChanges(afterVersion, waitMs, timeoutMs) {
		const changes = await store.readChanges(
			{table, afterVersion, waitMs},
			timeoutMs,
		);
		if (!changes.ok) {
			return changes;
		}

		const rows = changes.value.rows.filter(
			({part}) => parts.kind === 'all' || part === parts.part,
		);
		return succeed({
			entries: rows.map((row) => toEntry(row)),
			version: changes.value.version,
		});
	},
});

/**
 * A feed of the rows that change from now on, for a table of which only what
 * is written again and again counts. Reading it whole gives no rows; the
 * version comes from one partition, so that the cost does not grow with the
 * table.
 */
export const createChangesOnlyFeed = (
	store: RowStore,
	table: string,
): Feed<ChangedRow> => ({
	async readAll(timeoutMs) {
		const page = await store.read(
			{table, part: sharedPart, limit: 1},
			timeoutMs,
		);
		return page.ok ? succeed({entries: [], version: page.value.version}) : page;
	},
	readChanges: createTableFeed(store, table, {kind: 'all'}).readChanges,
});
