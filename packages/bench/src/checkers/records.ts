/**
 * What judges read: records made outside the product, by executors, callers
 * and the platform. Times are milliseconds of one clock. Nothing here is the
 * product's own word about itself.
 */
import type {Contract, Instance, Outcome, Service} from '@gullstand/core';

/** An executor's log of one request that it ran. */
export type RunRecord = {
	readonly executor: string;
	readonly requestId: string;
	/** Pool that the caller's service belongs to. */
	readonly pool: string;
	/** Key of a request that may not be repeated. */
	readonly key?: string;
	readonly startedAt: number;
	/** Absent if the executor was stopped before it ended. */
	readonly endedAt?: number;
};

/** What one caller was told. */
export type AnswerRecord = {
	readonly requestId: string;
	readonly outcome: Outcome;
	/** Body that an executor must give to this request, and to no other. */
	readonly expectedBody: string;
	readonly body: string;
	/** Whether an executor's answer, rather than an error, was received. */
	readonly isExecutorAnswer: boolean;
};

/** One committed row of the platform's table service. */
export type StoreRecord = {readonly at: number} & (
	| {readonly kind: 'instance'; readonly value: Instance}
	| {readonly kind: 'contract'; readonly value: Contract}
	| {readonly kind: 'service'; readonly value: Service}
);

/** The platform was asked to reboot an instance. */
export type RebootRecord = {
	readonly at: number;
	readonly instance: string;
};

/** An instance was lost without a plan, or came back. */
export type LossRecord = {
	readonly at: number;
	readonly instance: string;
	readonly isLost: boolean;
};

/** A caller's probe of which change of a contract one entry follows. */
export type ProbeRecord = {
	readonly at: number;
	readonly entry: string;
	/** Number of the change that the entry answered by. */
	readonly change: number;
};

/** An operator was told that a change is accepted. */
export type AcceptanceRecord = {
	readonly at: number;
	readonly change: number;
};

/** All records of one run. */
export type Records = {
	readonly runs: readonly RunRecord[];
	readonly answers: readonly AnswerRecord[];
	/** In the order of their commits. */
	readonly store: readonly StoreRecord[];
	readonly reboots: readonly RebootRecord[];
	readonly losses: readonly LossRecord[];
	readonly probes: readonly ProbeRecord[];
	readonly acceptances: readonly AcceptanceRecord[];
};

/** No records. */
export const emptyRecords: Records = {
	runs: [],
	answers: [],
	store: [],
	reboots: [],
	losses: [],
	probes: [],
	acceptances: [],
};

/** What a judge found. */
export type Verdict = {
	/** Events that were held against the property. */
	readonly checked: number;
	readonly violations: readonly string[];
};

/** Holds records against one property. */
export type Checker = (records: Records) => Verdict;
