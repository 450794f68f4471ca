/**
 * Rows of an owner's roster. A roster that is larger than a row may be is split
 * by executor, so that a change rewrites only the rows that it touches.
 */
import {Buffer} from 'node:buffer';
import type {RowKey, RowPut} from '@gullstand/ports';
import {singleKeys, tables, type RosterRow} from '../rows/tables.js';

/** Bytes of a row's value: the store takes 65,536, encoded in base64. */
const maxRowBytes = 40_000;

/**
 * Most rows of a roster, which bounds the entries of a flush: some 2,500
 * executors.
 */
export const maxRosterRows = 16;

const partPrefix = `${singleKeys.roster}/`;

/** Whether the key of an owner's row is one of the roster. */
export const isRosterKey = (key: string): boolean =>
	key === singleKeys.roster || key.startsWith(partPrefix);

/** The first row has the key of rosters that are not split. */
const getKey = (number: number): string =>
	number === 0 ? singleKeys.roster : `${partPrefix}${number}`;

const hashFactor = 31;

const hashModulus = 65_521;

const getRowNumber = (id: string, rows: number): number => {
	let hash = 0;
	for (const character of id) {
		hash = (hash * hashFactor + character.codePointAt(0)!) % hashModulus;
	}

	return hash % rows;
};

/** Encodes a roster as the values of its rows by key. */
export const encodeRoster = (
	roster: readonly RosterRow[],
): ReadonlyMap<string, string> => {
	const bytes = Buffer.byteLength(JSON.stringify(roster));
	// Rows are filled unevenly, so they are planned half full.
	const count =
		bytes <= maxRowBytes
			? 1
			: Math.min(maxRosterRows, Math.ceil((2 * bytes) / maxRowBytes));
	const rows = Array.from({length: count}, (): RosterRow[] => []);
	for (const each of roster) {
		rows[getRowNumber(each.id, count)]!.push(each);
	}

	return new Map(
		rows.map((row, number) => [getKey(number), JSON.stringify(row)]),
	);
};

/** Writes that change the stored rows of a roster. */
export type RosterWrites = {
	readonly puts: readonly RowPut[];
	readonly removes: readonly RowKey[];
};

/**
 * Compares the rows of a roster with the stored ones; `undefined` values are
 * of rows that are stored with a value that is not known.
 */
export const planRosterWrites = (
	part: string,
	stored: ReadonlyMap<string, string | undefined>,
	rows: ReadonlyMap<string, string>,
): RosterWrites => ({
	puts: [...rows].flatMap(([key, value]) =>
		stored.get(key) === value ? [] : [{table: tables.owner, part, key, value}],
	),
	removes: [...stored.keys()].flatMap((key) =>
		rows.has(key) ? [] : [{table: tables.owner, part, key}],
	),
});
