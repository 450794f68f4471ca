/** Ports to what operators and executors write for gullstand to follow. */
import type {Result, scheduler} from '@gullstand/core';
import type {RowStoreError} from './row-store.js';

/** A queue of jobs and how callers reach it. */
export type QueueRoute = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: string;
	readonly priority: number;
	readonly maxAttempts: number;
	readonly stretch: number;
	readonly targetLatencyMs: number;
	/** Longest time that a call on the route may take. */
	readonly timeoutMs: number;
	/** Only executors named by the advice service may run its tasks. */
	readonly advice: AdviceTerms | undefined;
};

/** Costs and validity of advice on a queue. */
export type AdviceTerms = {
	readonly decisionMs: number;
	readonly eachMs: number;
	readonly validMs: number;
};

/** A service and its pool of machines. */
export type ServiceEntry = {
	readonly name: string;
	/** Its executors refuse what does not fit. */
	readonly rejectsOverload: boolean;
	/** Its machines are off and cost nothing. */
	readonly isStandby: boolean;
};

/** A whole configuration. Versions grow. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly QueueRoute[];
	readonly services: readonly ServiceEntry[];
	readonly maxBodyBytes: number;
};

/** Maintenance that an operator has asked for. */
export type WaveRequest = {
	readonly id: string;
	readonly machines: readonly string[];
	readonly durationMs: number;
	/** Most machines that may be away at once. */
	readonly maxAway: number;
};

/** What an operator has written. */
export type OperatorEntry =
	| {readonly kind: 'configuration'; readonly value: Configuration}
	| {readonly kind: 'wave'; readonly value: WaveRequest}
	| {readonly kind: 'unreadable'; readonly problem: string};

/** One entry of a feed. */
export type FeedEntry<Value> = {
	readonly key: string;
	/** Absent once the entry is removed, and while it cannot be read. */
	readonly value: Value | undefined;
	/** Why an entry that is there cannot be read; such a one names nothing. */
	readonly problem?: string;
};

/** Entries and the version from which to go on. */
export type FeedBatch<Value> = {
	readonly entries: ReadonlyArray<FeedEntry<Value>>;
	readonly version: number;
};

/**
 * A set of entries that can be read whole and followed. A read ends once
 * nothing has come for the time given: its size is up to those who write.
 */
export type Feed<Value> = {
	readonly readAll: (
		timeoutMs: number,
	) => Promise<Result<FeedBatch<Value>, RowStoreError>>;
	readonly readChanges: (
		afterVersion: number,
		waitMs: number,
		timeoutMs: number,
	) => Promise<Result<FeedBatch<Value>, RowStoreError>>;
};

/** Configurations and waves. */
export type OperatorFeed = Feed<OperatorEntry>;

/** Executors, as they list themselves. */
export type ExecutorFeed = Feed<scheduler.ListedExecutor>;
