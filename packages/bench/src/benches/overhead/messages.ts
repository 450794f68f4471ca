/** Messages of the threads of `bench overhead`. */

/** Kind of a gateway under test. */
export type GatewayKind = 'plain' | 'gullstand';

/** Worker data of a gateway thread. */
export type GatewayData = {
	readonly kind: GatewayKind;
	readonly upstreamPorts: readonly number[];
	/** File for a CPU profile; no profile if undefined. */
	readonly profileFile: string | undefined;
};

/** Sent by a thread once its servers listen. */
export type Ready = {readonly ports: readonly number[]};

/** Active time of the event loop since the start, and the current heap. */
export type Usage = {
	readonly cpuMs: number;
	readonly heapBytes: number;
};

/** Commands to a gateway thread. */
export type GatewayCommand = 'usage' | 'stop';
