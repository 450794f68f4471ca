/** What every decision of one step shares. */
import type {WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/** The wave's index, the fleet's facts, and the present time in ms. */
export type WaveContext = {
	readonly progress: Progress;
	readonly facts: WaveFacts;
	readonly now: number;
};
