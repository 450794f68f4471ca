/** Jobs and the workers that they are placed on. */
import type {Placement} from './instance.js';

/** Amounts of resources of a worker or a job. */
export type Resources = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/**
 * A job as its customer declares it; the declared resources are often
 * inaccurate.
 */
export type Job = {
	readonly id: string;
	readonly customer: string;
	/** Whether it should start within the contract's `urgentStartMs`. */
	readonly urgent: boolean;
	/** Whether it may be started again after a partial run. */
	readonly repeatable: boolean;
	/** Whether it can stop at a checkpoint and continue on another worker. */
	readonly canCheckpoint: boolean;
	/** Whether it can continue with a share of its cores. */
	readonly canThrottle: boolean;
	readonly declared: Resources;
	readonly submittedAt: number;
};

/** A worker as placement sees it. */
export type Worker = Placement & {
	readonly id: string;
	readonly pool: string;
	readonly capacity: Resources;
	/** Whether it accepts new tasks. */
	readonly isOpen: boolean;
};
