/**
 * Contracts: what an operator promises one customer. Every limit of the
 * system (fair share, budgets, quotas) follows from the set of contracts.
 */

/** Priority classes of requests, most urgent first. */
export const requestClasses = ['interactive', 'standard', 'batch'] as const;

/** Priority class of one request. */
export type RequestClass = (typeof requestClasses)[number];

/** What one customer is promised of one service. */
export type ServiceTerms = {
	readonly service: string;
	/** Executors that stay serving, at least. */
	readonly keepExecutors: number;
	/** Executors that planned maintenance may hold away at once, at most. */
	readonly maxAway: number;
	/** Time within which a request is answered, in milliseconds. */
	readonly answerWithinMs: number;
	/** Rate that is served as if the customer were alone. */
	readonly requestsPerSecond: number;
};

/** What one customer may use for jobs on workers. */
export type JobTerms = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
	/** Time within which urgent jobs start, in milliseconds. */
	readonly urgentStartMs: number;
};

/** The contract of one customer. */
export type Contract = {
	readonly customer: string;
	/** Fair-share weight against other customers; above 0. */
	readonly weight: number;
	/** SHA-256 of each caller token, in hexadecimal; tokens are not stored. */
	readonly tokenHashes: readonly string[];
	readonly services: readonly ServiceTerms[];
	readonly jobs: JobTerms;
};
