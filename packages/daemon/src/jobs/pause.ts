/** A wait that can be ended early. */

/** A pause for one waiter at a time. */
export type Pause = {
	/** Waits until ended, and at most `ms` milliseconds if given. */
	readonly wait: (ms?: number) => Promise<void>;
	/** Ends the current wait, if any. */
	readonly end: () => void;
};

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
