/**
 * Splits entries over rows by the bits of a hash of their ids, each row until
 * it is small enough. A change of a few entries changes only their rows, and an
 * entry moves only between rows of different keys: if a row is in two such
 * splits, it holds all their common entries of its bits in both.
 */
import {getValueBytes} from './transaction-size.js';

/** An entry of a JSON array. */
export type SplitEntry = {
	readonly id: string;
	/** The entry as JSON. */
	readonly text: string;
};

export type SplitRow = {
	/** First bits of the hashes of its ids; empty if there is one row only. */
	readonly bits: string;
	/** JSON array of its entries. */
	readonly value: string;
	readonly ids: readonly string[];
};

type HashedEntry = SplitEntry & {
	readonly hash: number;
	readonly bytes: number;
};

const hashBits = 32;

const hashFactor = 65_599;

const hashModulus = 4_294_967_291;

/** Similar ids differ in the lowest bits. */
const hashId = (id: string): number => {
	let hash = 0;
	for (const character of id) {
		hash = (hash * hashFactor + character.codePointAt(0)!) % hashModulus;
	}

	return hash;
};

/** Whether the bit of a hash at an index, counted from the lowest, is set. */
const hasBit = (hash: number, index: number): boolean =>
	Math.floor(hash / 2 ** index) % 2 === 1;

const bracketBytes = 2;

/** Bytes of a row; each entry has a separator. */
const getRowBytes = (entries: ReadonlyArray<{bytes: number}>): number =>
	entries.reduce((sum, {bytes}) => sum + bytes + 1, bracketBytes);

/** Whether a row can hold an entry. */
export const isStorable = ({text}: SplitEntry, maxBytes: number): boolean =>
	getRowBytes([{bytes: getValueBytes(text)}]) <= maxBytes;

const split = (
	entries: readonly HashedEntry[],
	bits: string,
	maxBytes: number,
): readonly SplitRow[] => {
	if (getRowBytes(entries) <= maxBytes || bits.length === hashBits) {
		const value = `[${entries.map(({text}) => text).join(',')}]`;
		return [{bits, value, ids: entries.map(({id}) => id)}];
	}

	const index = bits.length;
	return ['0', '1'].flatMap((bit) => {
		const half = entries.filter(
			({hash}) => hasBit(hash, index) === (bit === '1'),
		);
		return half.length > 0 ? split(half, `${bits}${bit}`, maxBytes) : [];
	});
};

/**
 * Splits entries over rows with values of at most `maxBytes` bytes. Entries that
 * no row can hold are left out, as are rows of ids whose hashes are all equal
 * and that are too large together.
 */
export const splitEntries = (
	entries: readonly SplitEntry[],
	maxBytes: number,
): readonly SplitRow[] => {
	const hashed = entries
		.filter((entry) => isStorable(entry, maxBytes))
		.map((entry) => ({
			...entry,
			hash: hashId(entry.id),
			bytes: getValueBytes(entry.text),
		}));
	return split(hashed, '', maxBytes).filter(
		({value}) => getValueBytes(value) <= maxBytes,
	);
};
