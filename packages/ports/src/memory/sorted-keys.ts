/** Arrays of keys sorted by UTF-16 code unit, for range reads. */

/** A range of keys. */
export type KeyQuery = {
	readonly prefix: string;
	readonly after?: string;
	readonly limit: number;
};

/** Returns the index of the first key not less than the given one. */
const findIndex = (keys: readonly string[], key: string): number => {
	let low = 0;
	let high = keys.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (keys[middle]! < key) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

/** Inserts a key that is not present. */
export const insertKey = (keys: string[], key: string): void => {
	keys.splice(findIndex(keys, key), 0, key);
};

/** Removes a key that is present. */
export const removeKey = (keys: string[], key: string): void => {
	keys.splice(findIndex(keys, key), 1);
};

/** Returns up to `limit` keys with the prefix and after `after`, in order. */
export const findKeys = (
	keys: readonly string[],
	{prefix, after, limit}: KeyQuery,
): string[] => {
	const start = after !== undefined && after > prefix ? after : prefix;
	const found: string[] = [];
	for (let index = findIndex(keys, start); index < keys.length; index++) {
		const key = keys[index]!;
		if (found.length >= limit || !key.startsWith(prefix)) {
			break;
		}

		if (after === undefined || key > after) {
			found.push(key);
		}
	}

	return found;
};
