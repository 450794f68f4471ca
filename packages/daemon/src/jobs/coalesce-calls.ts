/** One call for many that ask at once. */

/**
 * Shares calls of a function. Whoever asks while one is under way shares the
 * next one: what is under way may not have seen what the asker has.
 */
export const coalesceCalls = <Value>(
	call: () => Promise<Value>,
): (() => Promise<Value>) => {
	let running: Promise<Value> | undefined;
	let next: Promise<Value> | undefined;

	const start = async (): Promise<Value> => {
		next = undefined;
		running = call();
		try {
			return await running;
		} finally {
			running = undefined;
		}
	};

	const startAfter = async (before: Promise<Value>): Promise<Value> => {
		await Promise.allSettled([before]);
		return start();
	};

	return async () => {
		if (!running) {
			return start();
		}

		next ??= startAfter(running);
		return next;
	};
};
