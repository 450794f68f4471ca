/** Coalesces concurrent calls. */

/**
 * Returns a function that coalesces calls of `call`. Callers that come while a
 * call is under way share the next one, since the present one may miss changes
 * that precede their request.
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

	const startAfter = async (current: Promise<Value>): Promise<Value> => {
		await Promise.allSettled([current]);
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
