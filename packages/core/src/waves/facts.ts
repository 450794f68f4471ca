/** What a wave is told of the fleet at each step. */
import type {ReturnEvidence} from '../budget/return-instance.js';
import type {Ledger, ServicesByPool} from '../budget/ledger.js';
import type {InstanceState} from '../types/instance.js';

/** How a job can leave its worker. */
export type Movability =
	/** From a checkpoint that is taken first. */
	| 'checkpoint'
	/** From its beginning; what it has done is lost. */
	| 'restart'
	/** Not at all: it may not be repeated. */
	| 'none';

/** One job on a worker, by reported use and learned estimates. */
export type RunningJob = {
	readonly id: string;
	readonly cores: number;
	readonly memoryMb: number;
	/** Time that it has run, in milliseconds. */
	readonly elapsedMs: number;
	/** Learned estimate of the time that it still runs, in milliseconds. */
	readonly remainingMs: number;
	readonly movability: Movability;
};

/** One instance of the fleet. */
export type InstanceFacts = {
	readonly id: string;
	readonly pool: string;
	readonly state: InstanceState;
	/** Every entry has acknowledged the drain and nothing is in flight. */
	readonly isDrained: boolean;
	readonly evidence: ReturnEvidence;
	readonly cores: number;
	readonly coresFree: number;
	readonly memoryMbFree: number;
	readonly jobs: readonly RunningJob[];
};

/** Values by name, looked up one by one: a step asks only for a few. */
export type Lookup<Value> = {
	readonly get: (name: string) => Value | undefined;
};

/** All that a step looks at. */
export type WaveFacts = {
	readonly instances: Lookup<InstanceFacts>;
	readonly ledgers: Lookup<Ledger>;
	readonly servicesByPool: ServicesByPool;
	/** Executors kept in reserve, by service. */
	readonly reserves: ReadonlyMap<string, number>;
};
