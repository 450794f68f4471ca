/** What the threads of `bench overhead` are told and say. */

/** A gateway under test. */
export type GatewayKind = 'plain' | 'gullstand';

/** What a gateway thread is started with. */
export type GatewayData = {
	readonly kind: GatewayKind;
	readonly upstreamPorts: readonly number[];
	/** File to write a CPU profile to, if one is wanted. */
	readonly profileFile: string | undefined;
};

/** A gateway says that it serves. */
export type Ready = {readonly ports: readonly number[]};

/** A gateway's own cost since it was last asked. */
export type Usage = {
	readonly cpuMs: number;
	readonly heapBytes: number;
};

/** Questions to a gateway thread. */
export type GatewayCommand = 'usage' | 'stop';
