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
	/** Its current executor; every move and every maintenance replaces it. */
	readonly executorId: string | undefined;
	/**
	 * Why its entry could not be read in full, if so; it then counts as down,
	 * since nothing is known of it but its id.
	 */
	readonly problem?: string;
};

/** Sender of a command; the platform rejects holders that were replaced. */
export type CommandAuthority = {
	readonly holder: string;
	readonly fencingToken: number;
};

/** Answer to a command, which may have taken effect after `no-answer`. */
export type MachineAnswer =
	| 'done'
	| 'fenced'
	| 'busy'
	| 'not-in-wave'
	| 'invalid'
	| 'unavailable'
	| 'no-answer';

/** Calls to the platform. Each ends within `timeoutMs` milliseconds. */
export type Machines = {
	readonly list: (
		timeoutMs: number,
	) => Promise<
		Result<readonly Machine[], {readonly kind: 'unavailable' | 'timeout'}>
	>;
	readonly move: (
		command: CommandAuthority & {
			readonly machine: string;
			readonly pool: string;
		},
		timeoutMs: number,
	) => Promise<MachineAnswer>;
	/** Restarts a machine for maintenance, which ends all runs on it. */
	readonly maintain: (
		command: CommandAuthority & {
			readonly machine: string;
			readonly wave: string;
		},
		timeoutMs: number,
	) => Promise<MachineAnswer>;
};
