/** Actions that one step of a wave asks its runner to carry out. */
import type {RunningJob} from './facts.js';
import type {SkipReason} from './wave.js';

/** One action. The runner commits the rows, then updates `Progress`. */
export type WaveAction =
	/** Stop placing new jobs on these instances. */
	| {
			readonly kind: 'evacuate';
			readonly domain: string;
			readonly instances: readonly string[];
	  }
	/** Allow new jobs on these instances again; they become pending. */
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
			/**
			 * Target worker; undefined holds the job until a maintained worker has
			 * room.
			 */
			readonly to: string | undefined;
	  }
	/**
	 * Withdraw these instances in their ledgers and start their drain, in one
	 * transaction.
	 */
	| {
			readonly kind: 'take';
			readonly domain: string;
			readonly instances: readonly string[];
	  }
	/**
	 * The drain is complete: mark the instance away and start its maintenance.
	 */
	| {readonly kind: 'stop'; readonly instance: string}
	/**
	 * Listed as live after its maintenance: mark the instance returning and probe
	 * it.
	 */
	| {readonly kind: 'return'; readonly instance: string}
	/** Return the instance to service and to its budgets. */
	| {readonly kind: 'give-back'; readonly instance: string}
	/** Exclude these instances from the wave. */
	| {
			readonly kind: 'skip';
			readonly domain: string;
			readonly instances: readonly string[];
			readonly reason: SkipReason;
	  }
	/** The instance did not return in time: count it as lost. */
	| {readonly kind: 'give-up'; readonly instance: string}
	| {readonly kind: 'finish'};
