/** Instances: machines of a pool; an executor serves, a worker runs tasks. */

/** Life of an instance within its pool. */
export const instanceStates = [
	'serving',
	'draining',
	'away',
	'returning',
] as const;

/** State of an instance. */
export type InstanceState = (typeof instanceStates)[number];

/** What an instance does. */
export type InstanceKind = 'worker' | 'executor';

/** The place of an instance in failure domains. */
export type Placement = {
	readonly region: string;
	readonly availabilityZone: string;
	readonly rack: string;
};

/** One instance; its row in the table service is the only truth. */
export type Instance = Placement & {
	readonly id: string;
	readonly kind: InstanceKind;
	/** IP number and port, such as `127.0.0.1:8080`. */
	readonly address: string;
	/** The one pool that it belongs to. */
	readonly pool: string;
	/** Grows by one with every change of state or pool. */
	readonly epoch: number;
	readonly state: InstanceState;
};
