/**
 * Group commit: writes of several keys share one transaction. The store's
 * rate counts transactions, and one key's conflict must not fail the others.
 * Source: docs/design/at-most-once.md.
 */

/** Bounds of one transaction. */
export type GroupLimits = {
	readonly maxRows: number;
	readonly maxBytes: number;
};

/** A write that waits for a transaction. */
export type GroupEntry = {
	readonly key: string;
	readonly bytes: number;
};

/** The next transaction and what is left for later ones. */
export type Group<Entry> = {
	readonly selected: readonly Entry[];
	readonly remaining: readonly Entry[];
};

/**
 * Takes writes in order up to the limits. A key stands in a transaction
 * once; a second write of it waits. The first write is always taken.
 */
export const selectGroup = <Entry extends GroupEntry>(
	entries: readonly Entry[],
	limits: GroupLimits,
): Group<Entry> => {
	const taken: Entry[] = [];
	const left: Entry[] = [];
	const keys = new Set<string>();
	let bytes = 0;
	for (const entry of entries) {
		const isFull =
			taken.length > 0 &&
			(taken.length >= limits.maxRows || bytes + entry.bytes > limits.maxBytes);
		if (isFull || keys.has(entry.key)) {
			left.push(entry);
			continue;
		}

		taken.push(entry);
		keys.add(entry.key);
		bytes += entry.bytes;
	}

	return {selected: taken, remaining: left};
};

const halve = <Entry>(entries: readonly Entry[]): Array<readonly Entry[]> => {
	const middle = Math.ceil(entries.length / 2);
	return [entries.slice(0, middle), entries.slice(middle)].filter(
		(half) => half.length > 0,
	);
};

/**
 * What to commit after a transaction failed by the conflict of one key. The
 * rest goes whole after the first conflict, and in halves after each later
 * one: with n rows, a row waits for at most 2 + log2(n) commits, and c
 * conflicts cost at most 2c + 1 commits.
 */
export const regroupAfterConflict = <Entry extends GroupEntry>(
	taken: readonly Entry[],
	conflictKey: string,
	conflictsBefore: number,
): Array<readonly Entry[]> => {
	const rest = taken.filter((entry) => entry.key !== conflictKey);
	if (rest.length === 0) {
		return [];
	}

	return conflictsBefore === 0 ? [rest] : halve(rest);
};

/** What to commit after a transaction was too large for the store. */
export const regroupAfterTooLarge = <Entry extends GroupEntry>(
	taken: readonly Entry[],
): Array<readonly Entry[]> => (taken.length > 1 ? halve(taken) : []);
