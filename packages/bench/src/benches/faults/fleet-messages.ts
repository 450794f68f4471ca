/** Messages between the bench and its executor thread. */

/** Settings of the executors. */
export type FleetSettings = {
	readonly seed: number;
	readonly executors: number;
	readonly availabilityZones: number;
	readonly slots: number;
	readonly medianServiceMs: number;
	readonly serviceSigma: number;
};

/** A command; each is answered once, in order. */
export type FleetCommand =
	| {readonly kind: 'apply'; readonly phase: string}
	| {readonly kind: 'heal'}
	| {readonly kind: 'report'}
	| {readonly kind: 'stop'};

/** Address and log of one executor. */
export type ExecutorReport = {
	readonly id: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly runs: readonly string[];
	readonly swallowed: readonly string[];
};

/** Answer to a command; has reports only for `report` and at the start. */
export type FleetAnswer = {readonly executors: readonly ExecutorReport[]};
