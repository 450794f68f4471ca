/** Jobs and the workers that they are placed on. */
import type {Placement} from './instance.js';

/** Amounts of what a worker has and a job uses. */
export type Resources = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A job as its customer declares it; declared sizes are often wrong. */
export type Job = {
	readonly id: string;
	readonly customer: string;
	/** Starts within the contract's `urgentStartMs`, if capacity allows. */
	readonly urgent: boolean;
	/** May be started again after it ran in part. */
	readonly repeatable: boolean;
	/** Whether it can stop at a checkpoint and go on elsewhere. */
	readonly canCheckpoint: boolean;
	/** Whether it can run on with a share of its cores. */
	readonly canThrottle: boolean;
	readonly declared: Resources;
	readonly submittedAt: number;
};

/** A worker as placement sees it. */
export type Worker = Placement & {
	readonly id: string;
	readonly pool: string;
	readonly capacity: Resources;
	/** Whether it may get new tasks. */
	readonly isOpen: boolean;
};
