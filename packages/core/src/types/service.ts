/** Services: named upstreams that callers ask for by name. */

/** How an upstream says that it did not run a request. */
export type Refusal = {
	/** Statuses which mean "refused, not run". */
	readonly statuses: readonly number[];
	/** Header that must also be present, in lower case. */
	readonly header?: string;
};

/** One service and the limits of each of its executors. */
export type Service = {
	readonly name: string;
	/** Pool whose instances serve it. */
	readonly pool: string;
	/** Requests in flight on one executor, over all entries, at most. */
	readonly slotsPerExecutor: number;
	/** Open connections to one executor, over all entries, at most. */
	readonly connectionsPerExecutor: number;
	/** True if a request may be sent again after an unknown outcome. */
	readonly idempotent: boolean;
	/** Path prefixes that may not be repeated although the service may. */
	readonly nonRepeatableRoutes: readonly string[];
	readonly refusal: Refusal;
};
