/** Bound on the bytes that all requests of a listener hold at once. */

/** What one holder has reserved of a budget. */
export type Reservation = {
	/** False if the budget is spent; nothing is reserved then. */
	readonly add: (bytes: number) => boolean;
	/** Gives everything back; safe to call twice. */
	readonly release: () => void;
};

/** A budget shared by many holders. */
export type ByteBudget = {
	readonly open: () => Reservation;
	readonly getUsed: () => number;
};

/** Creates a budget of so many bytes. */
export const createByteBudget = (maxBytes: number): ByteBudget => {
	let used = 0;
	return {
		getUsed: () => used,
		open() {
			let held = 0;
			return {
				add(bytes) {
					if (used + bytes > maxBytes) {
						return false;
					}

					used += bytes;
					held += bytes;
					return true;
				},
				release() {
					used -= held;
					held = 0;
				},
			};
		},
	};
};
