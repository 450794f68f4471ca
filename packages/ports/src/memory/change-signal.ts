/** Lets readers in memory wait for a change, for a time at most. */

/** The signal. */
export type ChangeSignal = {
	/** Resolves at the next change, or after so many milliseconds. */
	readonly wait: (ms: number) => Promise<void>;
	readonly notify: () => void;
};

/** Creates a signal. */
export const createChangeSignal = (): ChangeSignal => {
	const waiting = new Set<() => void>();
	return {
		wait: async (ms) =>
			new Promise((resolve) => {
				const end = () => {
					clearTimeout(timer);
					waiting.delete(end);
					resolve();
				};

				const timer = setTimeout(end, ms);
				waiting.add(end);
			}),
		notify() {
			for (const wake of waiting) {
				wake();
			}
		},
	};
};
