/**
 * Rows of an owner's roster. A roster that is larger than a row may be is split,
 * so that a change rewrites only the rows that it touches.
 */
import type {RowKey, RowPut, StoredRow} from '@gullstand/ports';
import {singleKeys, tables, type RosterRow} from '../rows/tables.js';
import {isStorable, splitEntries, type SplitEntry} from '../rows/split-rows.js';
import {getValueBytes} from '../rows/transaction-size.js';

const partPrefix = `${singleKeys.roster}/`;

/** Distinguishes the keys of these rows from the numbers of the older format. */
const bitsPrefix = `${partPrefix}b`;

/** Whether the key of an owner's row is one of the roster. */
export const isRosterKey = (key: string): boolean =>
	key === singleKeys.roster || key.startsWith(partPrefix);

/**
 * Returns the rows of the roster in the order in which to apply them: while a
 * roster is stored in several transactions, an older row may still contain an
 * executor that a newer one contains too.
 */
export const listRosterRows = (
	rows: readonly StoredRow[],
): readonly StoredRow[] =>
	rows
		.filter(({key}) => isRosterKey(key))
		.toSorted((one, two) => one.version - two.version);

const getKey = (bits: string): string =>
	bits === '' ? singleKeys.roster : `${bitsPrefix}${bits}`;

/** One row of a roster, and the executors that it contains. */
export type EncodedRosterRow = {
	readonly value: string;
	readonly ids: readonly string[];
};

/** The rows of a roster by key. */
export type EncodedRoster = {
	readonly rows: ReadonlyMap<string, EncodedRosterRow>;
	/** Executors that no row can hold. */
	readonly leftOut: readonly string[];
};

/** Leaves out the labels of an entry that is too large; the registry has them. */
const toEntry = (row: RosterRow, maxBytes: number): SplitEntry => {
	const entry = {id: row.id, text: JSON.stringify(row)};
	return isStorable(entry, maxBytes)
		? entry
		: {...entry, text: JSON.stringify({...row, labels: []})};
};

/** Encodes a roster as rows whose values have `maxBytes` bytes at most. */
export const encodeRoster = (
	roster: readonly RosterRow[],
	maxBytes: number,
): EncodedRoster => {
	const entries = roster.map((row) => toEntry(row, maxBytes));
	const rows = splitEntries(entries, maxBytes);
	const kept = new Set(rows.flatMap(({ids}) => ids));
	return {
		rows: new Map(
			rows.map(({bits, value, ids}) => [getKey(bits), {value, ids}]),
		),
		leftOut: roster.flatMap(({id}) => (kept.has(id) ? [] : [id])),
	};
};

/** Entries and bytes that a transaction has left for the roster. */
export type RosterRoom = {
	readonly entries: number;
	readonly bytes: number;
};

/** Writes that change the stored rows of a roster. */
export type RosterWrites = {
	readonly puts: readonly RowPut[];
	readonly removes: readonly RowKey[];
	/** Whether the whole roster is stored with them. */
	readonly isComplete: boolean;
};

/** Takes puts while there is room; the first one always has room. */
const takePuts = (
	puts: readonly RowPut[],
	{entries, bytes}: RosterRoom,
): readonly RowPut[] => {
	let left = bytes;
	const taken = puts.slice(0, entries).findIndex(({value}, index) => {
		left -= getValueBytes(value);
		return left < 0 && index > 0;
	});
	return puts.slice(0, taken === -1 ? entries : taken);
};

/**
 * Compares the rows of a roster with the stored ones; `undefined` values are
 * of rows that are stored with a value that is not known. Rows are removed only
 * once all others are stored, as their executors may be in any of those.
 */
export const planRosterWrites = (
	part: string,
	stored: ReadonlyMap<string, string | undefined>,
	{rows}: EncodedRoster,
	room: RosterRoom,
): RosterWrites => {
	const due = [...rows].flatMap(([key, {value}]) =>
		stored.get(key) === value ? [] : [{table: tables.owner, part, key, value}],
	);
	const puts = takePuts(due, room);
	const old = [...stored.keys()].flatMap((key) =>
		rows.has(key) ? [] : [{table: tables.owner, part, key}],
	);
	const removes =
		puts.length === due.length ? old.slice(0, room.entries - puts.length) : [];
	return {
		puts,
		removes,
		isComplete: puts.length === due.length && removes.length === old.length,
	};
};
