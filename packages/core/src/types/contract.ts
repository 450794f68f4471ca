/**
 * Contracts with customers. Every limit of the system (fair share, budgets,
 * quotas) follows from the set of contracts.
 */

/** Priority classes of requests, most urgent first. */
export const requestClasses = ['interactive', 'standard', 'batch'] as const;

/** Priority class of one request. */
export type RequestClass = (typeof requestClasses)[number];

/** Terms of one customer for one service. */
export type ServiceTerms = {
	readonly service: string;
	/** Minimum number of executors that keep serving. */
	readonly keepExecutors: number;
	/**
	 * Maximum number of executors that planned maintenance may take out of
	 * service at once.
	 */
	readonly maxAway: number;
	/** Maximum time until a request is answered, in milliseconds. */
	readonly answerWithinMs: number;
	/** Request rate that is guaranteed regardless of other customers. */
	readonly requestsPerSecond: number;
};

/** Quota of one customer for jobs on workers. */
export type JobTerms = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
	/** Maximum time until an urgent job starts, in milliseconds. */
	readonly urgentStartMs: number;
};

/** The contract of one customer. */
export type Contract = {
	readonly customer: string;
	/** Fair-share weight relative to other customers; above 0. */
	readonly weight: number;
	/**
	 * SHA-256 of each caller token, in hexadecimal; the tokens themselves are
	 * not stored.
	 */
	readonly tokenHashes: readonly string[];
	readonly services: readonly ServiceTerms[];
	readonly jobs: JobTerms;
};
