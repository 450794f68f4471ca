/**
 * A timeout that does not blame others for this process's own pauses. It
 * runs in short slices, and a slice that ends late counts no more than its
 * length; at the end, what has come in meanwhile is read first.
 */

/** A running timeout. */
export type PauseTolerantTimer = {readonly cancel: () => void};

const sliceMs = 50;

/** Calls `expire` after `delayMs` in which this process could read. */
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

		// An immediate runs after the loop has polled for input.
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
