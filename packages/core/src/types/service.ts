/** Services: upstreams that callers ask for by name. */

/** How an upstream signals that it did not run a request. */
export type Refusal = {
	/** Status codes that mean "refused, not run". */
	readonly statuses: readonly number[];
	/** Header that must also be present, in lower case. */
	readonly header?: string;
};

/** A service and the limits of each of its executors. */
export type Service = {
	readonly name: string;
	/** Pool whose instances serve it. */
	readonly pool: string;
	/**
	 * Maximum number of requests in flight on one executor, over all entries.
	 */
	readonly slotsPerExecutor: number;
	/** Maximum number of open connections to one executor, over all entries. */
	readonly connectionsPerExecutor: number;
	/** Whether a request may be sent again after an unknown outcome. */
	readonly idempotent: boolean;
	/** Path prefixes that are not idempotent although the service is. */
	readonly nonRepeatableRoutes: readonly string[];
	readonly refusal: Refusal;
};
