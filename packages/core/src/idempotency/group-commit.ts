/**
 * Group commit: writes of several keys share one transaction, since the store
 * limits the rate of transactions. A conflict of one key must not fail the
 * others.
 * Source: docs/design/at-most-once.md.
 */

/** Limits of one transaction. */
export type GroupLimits = {
	readonly maxRows: number;
	readonly maxBytes: number;
};

/** A write that waits for a transaction. */
export type GroupEntry = {
	readonly key: string;
	readonly bytes: number;
};

/** Writes of the next transaction, and those left for later ones. */
export type Group<Entry> = {
	readonly selected: readonly Entry[];
	readonly remaining: readonly Entry[];
};

/**
 * Selects writes in order up to the limits. A transaction has at most one
 * write per key; further ones wait. The first write is always selected.
 */
export const selectGroup = <Entry extends GroupEntry>(
	entries: readonly Entry[],
	limits: GroupLimits,
): Group<Entry> => {
	const selected: Entry[] = [];
	const remaining: Entry[] = [];
	const keys = new Set<string>();
	let bytes = 0;
	for (const entry of entries) {
		const isGroupFull =
			selected.length > 0 &&
			(selected.length >= limits.maxRows ||
				bytes + entry.bytes > limits.maxBytes);
		if (isGroupFull || keys.has(entry.key)) {
			remaining.push(entry);
			continue;
		}

		selected.push(entry);
		keys.add(entry.key);
		bytes += entry.bytes;
	}

	return {selected, remaining};
};

const halve = <Entry>(entries: readonly Entry[]): Array<readonly Entry[]> => {
	const middle = Math.ceil(entries.length / 2);
	return [entries.slice(0, middle), entries.slice(middle)].filter(
		(half) => half.length > 0,
	);
};

/**
 * Returns the transactions to commit after one failed by the conflict of one
 * key: the other writes together after the first conflict, and in halves after
 * each later one. With n rows, a row waits for at most 2 + log2(n) commits, and
 * c conflicts cost at most 2c + 1 commits.
 */
export const regroupAfterConflict = <Entry extends GroupEntry>(
	selected: readonly Entry[],
	conflictKey: string,
	conflictsBefore: number,
): Array<readonly Entry[]> => {
	const rest = selected.filter((entry) => entry.key !== conflictKey);
	if (rest.length === 0) {
		return [];
	}

	return conflictsBefore === 0 ? [rest] : halve(rest);
};

/** Returns the transactions to commit after one was too large. */
export const regroupAfterTooLarge = <Entry extends GroupEntry>(
	selected: readonly Entry[],
): Array<readonly Entry[]> => (selected.length > 1 ? halve(selected) : []);
