/**
 * Table service in memory, for the embedded daemon, tests and benches. It runs
 * one transaction at a time, commits all writes or none, and never reuses a
 * version. Source: docs/design/platform-port.md.
 */
import {Buffer} from 'node:buffer';
import * as core from '@gullstand/core';
import type {
	JsonValue,
	Precondition,
	Row,
	StoreError,
	TableService,
	Write,
} from '../ports/table-service.js';
import * as sortedKeys from './sorted-keys.js';

/** Limits of one call. */
export type TableLimits = {
	readonly maxValueBytes: number;
	readonly maxWritesPerCommit: number;
	readonly maxRowsPerRange: number;
};

/** Default limits. */
export const defaultTableLimits: TableLimits = {
	maxValueBytes: 64 * 1024,
	maxWritesPerCommit: 100,
	maxRowsPerRange: 1000,
};

/** A table service in memory whose rows can be dumped and restored. */
export type MemoryTableService = TableService & {
	/** Returns all rows, as `restore` accepts them. */
	readonly dump: () => readonly Row[];
	/**
	 * Replaces all rows by older ones, as a restore from a backup does, so that
	 * later reads may be older than earlier ones. Versions keep increasing.
	 */
	readonly restore: (rows: readonly Row[]) => void;
};

type Table = {
	readonly rows: Map<string, Row>;
	keys: string[];
};

type State = {
	readonly tables: Map<string, Table>;
	lastVersion: number;
};

const getTable = (state: State, name: string): Table => {
	const known = state.tables.get(name);
	if (known) {
		return known;
	}

	const table: Table = {rows: new Map(), keys: []};
	state.tables.set(name, table);
	return table;
};

const getRow = (state: State, table: string, key: string): Row | undefined =>
	state.tables.get(table)?.rows.get(key);

const isSatisfied = (when: Precondition, row: Row | undefined): boolean => {
	switch (when.kind) {
		case 'any': {
			return true;
		}

		case 'absent': {
			return row === undefined;
		}

		case 'version': {
			return row?.version === when.version;
		}
	}
};

const getBytes = (value: JsonValue): number =>
	Buffer.byteLength(JSON.stringify(value));

const isTooLarge = (writes: readonly Write[], limits: TableLimits): boolean =>
	writes.length > limits.maxWritesPerCommit ||
	writes.some(
		(write) =>
			write.kind === 'put' && getBytes(write.value) > limits.maxValueBytes,
	);

const findConflict = (
	state: State,
	writes: readonly Write[],
): StoreError | undefined => {
	for (const {table, key, when} of writes) {
		const current = getRow(state, table, key);
		if (!isSatisfied(when, current)) {
			return {kind: 'conflict', table, key, current};
		}
	}

	return undefined;
};

const putRow = (state: State, row: Row): void => {
	const table = getTable(state, row.table);
	if (!table.rows.has(row.key)) {
		sortedKeys.insertKey(table.keys, row.key);
	}

	table.rows.set(row.key, row);
};

const deleteRow = (state: State, name: string, key: string): void => {
	const table = getTable(state, name);
	if (table.rows.delete(key)) {
		sortedKeys.removeKey(table.keys, key);
	}
};

const checkDistinctRows = (writes: readonly Write[]): void => {
	const seen = new Set(
		writes.map((write) => JSON.stringify([write.table, write.key])),
	);
	if (seen.size !== writes.length) {
		throw new TypeError('A transaction may name each row only once');
	}
};

const applyWrites = (
	state: State,
	writes: readonly Write[],
	operationId: string,
): number[] => {
	const versions: number[] = [];
	for (const write of writes) {
		if (write.kind === 'put') {
			state.lastVersion += 1;
			versions.push(state.lastVersion);
			putRow(state, {
				table: write.table,
				key: write.key,
				version: state.lastVersion,
				value: structuredClone(write.value),
				operationId,
			});
		}

		if (write.kind === 'delete') {
			deleteRow(state, write.table, write.key);
		}
	}

	return versions;
};

const restoreRows = (state: State, rows: readonly Row[]): void => {
	state.tables.clear();
	for (const row of rows) {
		putRow(state, row);
		state.lastVersion = Math.max(state.lastVersion, row.version);
	}
};

/**
 * Creates an empty table service. A transaction that names a row twice throws
 * `TypeError`.
 */
export const createMemoryTableService = (
	limits: TableLimits = defaultTableLimits,
): MemoryTableService => {
	const state: State = {tables: new Map(), lastVersion: 0};
	return {
		get: async (table, key) => core.succeed(getRow(state, table, key)),
		async range({table, prefix, after, limit}) {
			const {rows, keys} = getTable(state, table);
			const found = sortedKeys.findKeys(keys, {
				prefix,
				...(after !== undefined && {after}),
				limit: Math.min(limit, limits.maxRowsPerRange),
			});
			return core.succeed(found.map((key) => rows.get(key)!));
		},
		async commit(writes, operationId) {
			checkDistinctRows(writes);
			if (isTooLarge(writes, limits)) {
				return core.fail({kind: 'too-large'});
			}

			const conflict = findConflict(state, writes);
			return conflict
				? core.fail(conflict)
				: core.succeed({versions: applyWrites(state, writes, operationId)});
		},
		dump: () =>
			[...state.tables.values()].flatMap((table) => [...table.rows.values()]),
		restore(rows) {
			restoreRows(state, rows);
		},
	};
};
