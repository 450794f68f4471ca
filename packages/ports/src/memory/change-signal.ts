/** Lets in-memory readers wait for a change with a timeout. */

/** Wakes waiting readers on a change. */
export type ChangeSignal = {
	/** Resolves at the next change, or after `ms` milliseconds. */
	readonly wait: (ms: number) => Promise<void>;
	readonly notify: () => void;
};

export const createChangeSignal = (): ChangeSignal => {
	const waiting = new Set<() => void>();
	return {
		wait: async (ms) =>
			new Promise((resolve) => {
				const finish = () => {
					clearTimeout(timer);
					waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, ms);
				waiting.add(finish);
			}),
		notify() {
			for (const wake of waiting) {
				wake();
			}
		},
	};
};
