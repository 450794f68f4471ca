/** Limits the bytes that all requests of a listener buffer at once. */

/** Bytes that one request has reserved of a budget. */
export type Reservation = {
	/** Reserves bytes; false, without reserving any, if the budget is exhausted. */
	readonly add: (bytes: number) => boolean;
	/** Releases all reserved bytes; later calls do nothing. */
	readonly release: () => void;
};

/** A budget shared by many reservations. */
export type ByteBudget = {
	readonly open: () => Reservation;
	readonly getUsed: () => number;
};

/** Creates a budget of `maxBytes`. */
export const createByteBudget = (maxBytes: number): ByteBudget => {
	let used = 0;
	return {
		getUsed: () => used,
		open() {
			let reserved = 0;
			return {
				add(bytes) {
					if (used + bytes > maxBytes) {
						return false;
					}

					used += bytes;
					reserved += bytes;
					return true;
				},
				release() {
					used -= reserved;
					reserved = 0;
				},
			};
		},
	};
};
