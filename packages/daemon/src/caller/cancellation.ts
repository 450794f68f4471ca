/**
 * Tells the layers of a call that its caller went away. An AbortController a
 * call cost 12% of the daemon's time (bench overhead), a set of listeners
 * nothing that shows.
 */

/** Whether a caller has gone, and who wants to know. */
export type Cancellation = {
	readonly isCancelled: () => boolean;
	/** Calls back at once if already cancelled; returns the removal. */
	readonly onCancel: (listener: () => void) => () => void;
};

/** A cancellation and the way to cause it. */
export type CancellationSource = Cancellation & {
	readonly cancel: () => void;
};

/** Creates a cancellation that has not happened. */
export const createCancellation = (): CancellationSource => {
	let isCancelled = false;
	let listeners: Set<() => void> | undefined;
	return {
		isCancelled: () => isCancelled,
		onCancel(listener) {
			if (isCancelled) {
				listener();
				return () => undefined;
			}

			listeners ??= new Set();
			listeners.add(listener);
			return () => {
				listeners?.delete(listener);
			};
		},
		cancel() {
			if (isCancelled) {
				return;
			}

			isCancelled = true;
			for (const listener of listeners ?? []) {
				listener();
			}

			listeners = undefined;
		},
	};
};
