/** Sorted arrays of keys (by UTF-16 code unit), for range reads. */

/** Which keys are sought. */
export type KeyQuery = {
	readonly prefix: string;
	readonly after?: string;
	readonly limit: number;
};

/** Index of the first key that is not below the one given. */
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

/** Adds a key that is not there. */
export const insertKey = (keys: string[], key: string): void => {
	keys.splice(findIndex(keys, key), 0, key);
};

/** Takes out a key that is there. */
export const removeKey = (keys: string[], key: string): void => {
	keys.splice(findIndex(keys, key), 1);
};

/** Keys with the prefix and above `after`, in order, at most `limit`. */
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
