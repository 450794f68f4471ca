/** A wait that something else may end early. */

/** A pause; it is taken by one waiter at a time. */
export type Pause = {
	/** Waits for so many milliseconds, or until ended; without a time, for that. */
	readonly wait: (ms?: number) => Promise<void>;
	/** Ends the wait under way; without one it does nothing. */
	readonly end: () => void;
};

/** Creates a pause that nobody takes. */
export const createPause = (): Pause => {
	let endWait: () => void = () => undefined;
	return {
		wait: async (ms) =>
			new Promise((resolve) => {
				const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
				endWait = () => {
					clearTimeout(timer);
					resolve();
				};
			}),
		end() {
			endWait();
		},
	};
};
