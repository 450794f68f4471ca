/** State of the fleet that a step of a wave reads. */
import type {ReturnEvidence} from '../budget/return-instance.js';
import type {Ledger, ServicesByPool} from '../budget/ledger.js';
import type {InstanceState} from '../types/instance.js';

/** How a job can leave its worker. */
export type Movability =
	/** Resumes from a checkpoint that is taken before the move. */
	| 'checkpoint'
	/** Restarts from the beginning; its progress is lost. */
	| 'restart'
	/** Cannot move: the job must not run twice. */
	| 'none';

/** One job on a worker, from reported usage and learned estimates. */
export type RunningJob = {
	readonly id: string;
	readonly cores: number;
	readonly memoryMb: number;
	/** Run time of the job so far, in milliseconds. */
	readonly elapsedMs: number;
	/** Learned estimate of the remaining run time, in milliseconds. */
	readonly remainingMs: number;
	readonly movability: Movability;
};

/** One instance of the fleet. */
export type InstanceFacts = {
	readonly id: string;
	readonly pool: string;
	readonly state: InstanceState;
	/**
	 * Whether every entry has acknowledged the drain and no request is in flight.
	 */
	readonly isDrained: boolean;
	readonly evidence: ReturnEvidence;
	readonly cores: number;
	readonly coresFree: number;
	readonly memoryMbFree: number;
	readonly jobs: readonly RunningJob[];
};

/** Read-only lookup by name; a step reads only a few values. */
export type Lookup<Value> = {
	readonly get: (name: string) => Value | undefined;
};

/** Everything that a step of a wave reads. */
export type WaveFacts = {
	readonly instances: Lookup<InstanceFacts>;
	readonly ledgers: Lookup<Ledger>;
	readonly servicesByPool: ServicesByPool;
	/** Executors kept in reserve, by service; absent means none. */
	readonly reserves: ReadonlyMap<string, number>;
};
