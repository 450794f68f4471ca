/** Port to the platform's machines, which move between pools. */
import type {Result, scheduler} from '@gullstand/core';

/** States of a machine. */
export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine as the platform lists it. */
export type Machine = {
	readonly id: string;
	/** The service whose executor it runs. */
	readonly pool: string;
	readonly state: MachineState;
	readonly availabilityZone: string;
	readonly labels: readonly string[];
	readonly capacity: scheduler.Resources;
	/** Its executor now; each move and each maintenance gives it another. */
	readonly executorId: string | undefined;
};

/** Who orders, for the platform to refuse deposed holders. */
export type CommandAuthority = {
	readonly holder: string;
	readonly fencingToken: number;
};

/** Answer to an order. After `no-answer` it may have been carried out. */
export type MachineAnswer =
	| 'done'
	| 'fenced'
	| 'busy'
	| 'not-in-wave'
	| 'invalid'
	| 'unavailable'
	| 'no-answer';

/** Calls to the platform. Each ends within the given time, in milliseconds. */
export type Machines = {
	readonly list: (
		timeoutMs: number,
	) => Promise<
		Result<readonly Machine[], {readonly kind: 'unavailable' | 'timeout'}>
	>;
	readonly move: (
		order: CommandAuthority & {readonly machine: string; readonly pool: string},
		timeoutMs: number,
	) => Promise<MachineAnswer>;
	/** Restarts a machine for maintenance; ends all that runs on it. */
	readonly maintain: (
		order: CommandAuthority & {readonly machine: string; readonly wave: string},
		timeoutMs: number,
	) => Promise<MachineAnswer>;
};
