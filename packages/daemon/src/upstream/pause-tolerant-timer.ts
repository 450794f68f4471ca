/**
 * A timeout that excludes pauses of this process. It runs in short slices, a
 * slice that ends late counts with its nominal length, and pending input is
 * read before the timeout expires.
 */

/** A running timeout. */
export type PauseTolerantTimer = {readonly cancel: () => void};

const sliceMs = 50;

/** Calls `expire` after `delayMs`, not counting pauses of the event loop. */
export const startPauseTolerantTimer = (
	delayMs: number,
	expire: () => void,
): PauseTolerantTimer => {
	let leftMs = delayMs;
	let timer: NodeJS.Timeout;
	let immediate: NodeJS.Immediate | undefined;

	const startSlice = () => {
		const nextMs = Math.min(leftMs, sliceMs);
		leftMs -= nextMs;
		timer = setTimeout(endSlice, Math.ceil(nextMs));
	};

	const endSlice = () => {
		if (leftMs > 0) {
			startSlice();
			return;
		}

		// An immediate runs after the event loop has polled for input.
		immediate = setImmediate(expire);
	};

	startSlice();
	return {
		cancel() {
			clearTimeout(timer);
			clearImmediate(immediate);
		},
	};
};
