/** Clock and randomness that at-most-once requests depend on. */
import type * as core from '@gullstand/core';

/** Clocks and timers; tests and benches replace them. */
export type Clock = {
	readonly getTime: () => core.idempotency.Time;
	/** Calls back once at a time by `now`; returns the cancel function. */
	readonly callAt: (at: number, callback: () => void) => () => void;
};

/** Sources of randomness. */
export type Randomness = {
	/** Returns a globally unique id. */
	readonly createId: () => string;
	/** Returns a number in [0, 1). */
	readonly draw: () => number;
};
