/** What the shell of at-most-once requests is given from outside. */
import type * as core from '@gullstand/core';

/** Clocks and timers, so that tests and benches drive the same code. */
export type Clock = {
	readonly getTime: () => core.idempotency.Time;
	/** Calls back once at a moment of `now`; returns how to cancel it. */
	readonly callAt: (at: number, callback: () => void) => () => void;
};

/** Sources of randomness. */
export type Randomness = {
	/** An id that no other process makes. */
	readonly createId: () => string;
	/** A number from 0 to 1. */
	readonly draw: () => number;
};
