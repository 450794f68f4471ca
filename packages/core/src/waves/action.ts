/** What a wave asks its runner to do. */
import type {RunningJob} from './facts.js';
import type {SkipReason} from './wave.js';

/** One action. The runner commits the rows named, then tells the index. */
export type WaveAction =
	/** Give these no new jobs. */
	| {
			readonly kind: 'evacuate';
			readonly domain: string;
			readonly instances: readonly string[];
	  }
	/** Give these new jobs again; their turn comes later. */
	| {
			readonly kind: 'release';
			readonly domain: string;
			readonly instances: readonly string[];
	  }
	/** Checkpoint the job and start it on another worker, or hold it. */
	| {
			readonly kind: 'move';
			readonly job: RunningJob;
			readonly from: string;
			/** Undefined: hold the job until a worker that is done has room. */
			readonly to: string | undefined;
	  }
	/** Book these in their ledgers and begin to drain them, as one. */
	| {
			readonly kind: 'take';
			readonly domain: string;
			readonly instances: readonly string[];
	  }
	/** Drained: mark it away and do the maintenance. */
	| {readonly kind: 'stop'; readonly instance: string}
	/** Listed in its new life: mark it returning and probe it. */
	| {readonly kind: 'return'; readonly instance: string}
	| {readonly kind: 'give-back'; readonly instance: string}
	/** Leave these out, with the reason. */
	| {
			readonly kind: 'skip';
			readonly domain: string;
			readonly instances: readonly string[];
			readonly reason: SkipReason;
	  }
	/** It did not come back in time: from now on it counts as lost. */
	| {readonly kind: 'give-up'; readonly instance: string}
	| {readonly kind: 'finish'};
