/**
 * Notifies the layers of a call that its caller has disconnected. A set of
 * listeners is much cheaper per call than an AbortController, which took 12% of
 * the daemon's time (bench `overhead`).
 */

/** Cancellation state of a call and its listeners. */
export type Cancellation = {
	readonly isCancelled: () => boolean;
	/** Adds a listener, called at once if cancelled; returns its removal. */
	readonly onCancel: (listener: () => void) => () => void;
};

/** A cancellation that can be triggered. */
export type CancellationSource = Cancellation & {
	readonly cancel: () => void;
};

/** Creates a cancellation that has not been triggered. */
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
