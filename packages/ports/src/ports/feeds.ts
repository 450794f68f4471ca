/** Ports to the entries that operators and executors write. */
import type {Result, scheduler, teams} from '@gullstand/core';
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
	/** Longest time that a call on the route may take, in milliseconds. */
	readonly timeoutMs: number;
	/** If set, only executors named by the advice service run its tasks. */
	readonly advice: AdviceTerms | undefined;
	/** Whether calls need no key; of no effect in a deployment without teams. */
	readonly isPublic?: boolean;
};

/** Costs and validity of placement advice for a queue. */
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
	/** Its machines are switched off and cost nothing. */
	readonly isStandby: boolean;
};

/** A complete configuration; a later one has a higher version. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly QueueRoute[];
	readonly services: readonly ServiceEntry[];
	readonly maxBodyBytes: number;
	/** Absent if the deployment has no teams: then no call needs a key. */
	readonly teams?: readonly teams.Team[] | undefined;
};

/** A maintenance wave that an operator requests. */
export type WaveRequest = {
	readonly id: string;
	readonly machines: readonly string[];
	readonly durationMs: number;
	/** Maximum number of machines away at once. */
	readonly maxAway: number;
};

/** An entry written by an operator. */
export type OperatorEntry =
	| {readonly kind: 'configuration'; readonly value: Configuration}
	| {readonly kind: 'wave'; readonly value: WaveRequest}
	| {
			readonly kind: 'unreadable';
			readonly problem: string;
			/** Whether it is the configuration, so that a newer one exists. */
			readonly isConfiguration: boolean;
	  };

/** One entry of a feed. */
export type FeedEntry<Value> = {
	readonly key: string;
	/** Undefined if the entry was removed or cannot be read. */
	readonly value: Value | undefined;
	/** Why an existing entry cannot be read; its value is then undefined. */
	readonly problem?: string;
};

/** Entries and the version after which to read the next changes. */
export type FeedBatch<Value> = {
	readonly entries: ReadonlyArray<FeedEntry<Value>>;
	readonly version: number;
};

/**
 * A set of entries that can be read completely and then followed. As writers
 * determine its size, a read times out only if no data arrives for `timeoutMs`.
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

/** Executors, as they register themselves. */
export type ExecutorFeed = Feed<scheduler.ListedExecutor>;
