/**
 * Instances: machines of a pool. An executor serves requests; a worker runs
 * tasks.
 */

/** States of an instance within its pool. */
export const instanceStates = [
	'serving',
	'draining',
	'away',
	'returning',
] as const;

export type InstanceState = (typeof instanceStates)[number];

/** Role of an instance. */
export type InstanceKind = 'worker' | 'executor';

/** Failure domains of an instance. */
export type Placement = {
	readonly region: string;
	readonly availabilityZone: string;
	readonly rack: string;
};

/** An instance; its row in the table service is the authoritative record. */
export type Instance = Placement & {
	readonly id: string;
	readonly kind: InstanceKind;
	/** IP number and port, such as `127.0.0.1:8080`. */
	readonly address: string;
	/** Pool that it belongs to. */
	readonly pool: string;
	/** Incremented by every change of state or pool. */
	readonly epoch: number;
	readonly state: InstanceState;
};
