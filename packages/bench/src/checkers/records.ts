/**
 * Records that the checkers read. They are made outside the system under test,
 * by executors, callers and the platform. Times are milliseconds of one clock.
 */
import type {Contract, Instance, Outcome, Service} from '@gullstand/core';

/** An executor's log of one request that it ran. */
export type RunRecord = {
	readonly executor: string;
	readonly requestId: string;
	/** Pool that the caller's service belongs to. */
	readonly pool: string;
	/** Idempotency key of a non-repeatable request. */
	readonly key?: string;
	readonly startedAt: number;
	/** Absent if the executor was stopped before it ended. */
	readonly endedAt?: number;
};

/** What one caller received. */
export type AnswerRecord = {
	readonly requestId: string;
	readonly outcome: Outcome;
	/** Body that only the answer to this request has. */
	readonly expectedBody: string;
	readonly body: string;
	/** True if the answer is an executor's and not an error. */
	readonly isExecutorAnswer: boolean;
};

/** One row that was committed to the platform's table service. */
export type StoreRecord = {readonly at: number} & (
	| {readonly kind: 'instance'; readonly value: Instance}
	| {readonly kind: 'contract'; readonly value: Contract}
	| {readonly kind: 'service'; readonly value: Service}
);

/** A request to the platform to reboot an instance. */
export type RebootRecord = {
	readonly at: number;
	readonly instance: string;
};

/** An unplanned loss of an instance, or its return. */
export type LossRecord = {
	readonly at: number;
	readonly instance: string;
	readonly isLost: boolean;
};

/** A probe of the contract change that one entry follows. */
export type ProbeRecord = {
	readonly at: number;
	readonly entry: string;
	/** Number of the change that the entry applied. */
	readonly change: number;
};

/** The acceptance of a change, as an operator received it. */
export type AcceptanceRecord = {
	readonly at: number;
	readonly change: number;
};

/** All records of one run. */
export type Records = {
	readonly runs: readonly RunRecord[];
	readonly answers: readonly AnswerRecord[];
	/** In commit order. */
	readonly store: readonly StoreRecord[];
	readonly reboots: readonly RebootRecord[];
	readonly losses: readonly LossRecord[];
	readonly probes: readonly ProbeRecord[];
	readonly acceptances: readonly AcceptanceRecord[];
};

export const emptyRecords: Records = {
	runs: [],
	answers: [],
	store: [],
	reboots: [],
	losses: [],
	probes: [],
	acceptances: [],
};

/** Result of a check. */
export type Verdict = {
	/** Number of events that were checked. */
	readonly checked: number;
	readonly violations: readonly string[];
};

/** Checks records against one property. */
export type Checker = (records: Records) => Verdict;
