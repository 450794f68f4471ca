/** Input shared by every decision of one step. */
import type {WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/**
 * The wave's index, the facts of the fleet, and the present time in
 * milliseconds.
 */
export type WaveContext = {
	readonly progress: Progress;
	readonly facts: WaveFacts;
	readonly now: number;
};
