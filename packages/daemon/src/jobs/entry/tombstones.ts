/**
 * Cancels jobs that are not stored: leaves a tombstone in the home of the queue,
 * so that a submission that is still under way has no effect. Like a submission,
 * it goes through the gate of the queue; whoever stores the job later, in this
 * service or another, finds the tombstone. Source: docs/design/queue-homes.md.
 */
import {tokenBucket, type queueHome} from '@gullstand/core';
import type {RowStore, RowStoreError, StoredRow} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {describeStoreError} from '../rows/store-error.js';
import {getServiceShard, tables} from '../rows/tables.js';
import {decodeTombstone, encodeTombstone} from '../rows/tombstone.js';
import {findEarlierRow} from './accepted-job.js';
import {
	getGateCheck,
	isGateChanged,
	type OpenGate,
	type QueueGates,
} from './queue-gates.js';

/** A job to cancel that no service seems to have. */
export type UnstoredJob = {
	readonly id: string;
	readonly queue: string;
	/** Team of the caller; absent without teams. */
	readonly team: string | undefined;
	/** The service of the queue by the configuration of this daemon. */
	readonly claim: queueHome.HomeClaim;
};

export type TombstoneOutcome =
	/** The job is not stored and will not be. */
	| {readonly kind: 'buried'}
	/** A job is stored under the id, in this queue or another. */
	| {readonly kind: 'found'; readonly row: StoredRow}
	/** The queue moves faster than it can be followed, or the time is over. */
	| {readonly kind: 'moved'}
	/** The store cannot be used; nothing was stored. */
	| {readonly kind: 'unavailable'}
	/** The store never takes the tombstone. */
	| {readonly kind: 'not-storable'}
	/** The store did not answer; the tombstone may be stored. */
	| {readonly kind: 'unknown'}
	/** Too many unknown jobs of the queue are being cancelled. */
	| {readonly kind: 'limited'; readonly retryAfterMs: number};

export type Tombstones = {
	/** Resolves by the deadline, in milliseconds of the monotonic clock. */
	readonly put: (
		job: UnstoredJob,
		deadline: number,
	) => Promise<TombstoneOutcome>;
};

export type TombstonesDeps = {
	readonly gates: QueueGates;
	readonly store: RowStore;
	/** Whether the store is unresponsive, so that nothing should be sent to it. */
	readonly isStoreUnresponsive: () => boolean;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with a stored row, to notify the owner of it. */
	readonly onStored: (shard: string, rows: readonly StoredRow[]) => void;
};

/** Attempts, each through the gate as it is then. */
const maxTries = 5;

/**
 * Tombstones of a queue that one daemon writes per second, and at once. Owners
 * remove them faster than all daemons together write them for long.
 */
const rate = {perSecond: 2, burst: 100} as const;

const msPerSecond = 1000;

/** One attempt, through the gate as it was read. */
type Attempt = UnstoredJob & {
	readonly shard: string;
	readonly gate: OpenGate;
	readonly timeoutMs: number;
};

/** Why an attempt has no outcome yet. */
type Unsettled =
	/** The queue's home is another one now. */
	| {readonly kind: 'elsewhere'; readonly claim: queueHome.HomeClaim}
	/** The gate has changed since it was read. */
	| {readonly kind: 'gate-changed'}
	/** The store did not answer. */
	| {readonly kind: 'unanswered'};

const toOutcome = (row: StoredRow): TombstoneOutcome =>
	decodeTombstone(row.value) === undefined
		? {kind: 'found', row}
		: {kind: 'buried'};

export const createTombstones = (deps: TombstonesDeps): Tombstones => {
	const {gates, store, now, logger} = deps;
	const buckets = new Map<string, tokenBucket.TokenBucket>();

	/** Takes a token of the queue; returns for how long there is none. */
	const getExcessMs = (queue: string): number => {
		const tokensPerMs = rate.perSecond / msPerSecond;
		const bucket =
			buckets.get(queue) ??
			tokenBucket.createTokenBucket(rate.burst, tokensPerMs, now());
		buckets.set(queue, bucket);
		const missing = 1 - tokenBucket.refillTokens(bucket, now());
		if (missing > 0) {
			return Math.ceil(missing / tokensPerMs);
		}

		bucket.tokens -= 1;
		return 0;
	};

	const resolveConflict = (
		{shard, queue, id, gate}: Attempt,
		rows: readonly StoredRow[],
	): TombstoneOutcome | Unsettled => {
		const stored = rows.find(
			({table, key, version}) =>
				table === tables.job && key === id && version > 0,
		);
		if (stored) {
			return toOutcome(stored);
		}

		if (isGateChanged(getGateCheck(shard, queue, gate.version), rows)) {
			gates.forget(shard, queue, gate.version);
		}

		return {kind: 'gate-changed'};
	};

	const resolveError = (
		attempt: Attempt,
		err: RowStoreError,
	): TombstoneOutcome | Unsettled =>
		match(err)
			.returnType<TombstoneOutcome | Unsettled>()
			.with({kind: 'conflict'}, ({rows}) => resolveConflict(attempt, rows))
			.with({kind: 'timeout'}, () => ({kind: 'unanswered'}))
			.with({kind: 'rejected'}, () => ({kind: 'not-storable'}))
			.with({kind: 'unavailable'}, {kind: 'history-lost'}, () => ({
				kind: 'unavailable',
			}))
			.exhaustive();

	/** Stores the tombstone unless the id is taken or the gate has changed. */
	const commit = async (
		attempt: Attempt,
	): Promise<TombstoneOutcome | Unsettled> => {
		const {shard, queue, id, team, gate, timeoutMs} = attempt;
		const key = {table: tables.job, part: shard, key: id};
		const put = {...key, value: encodeTombstone({queue, team})};
		const result = await store.transact(
			{
				checks: [
					getGateCheck(shard, queue, gate.version),
					{...key, version: 0},
				],
				puts: [put],
				removes: [],
			},
			timeoutMs,
		);
		if (!result.ok) {
			const described = describeStoreError(result.error);
			logger.warn('tombstone not stored', {shard, job: id, ...described});
			return resolveError(attempt, result.error);
		}

		logger.info('job cancelled before it was stored', {shard, queue, job: id});
		deps.onStored(shard, [{...put, version: result.value.version}]);
		return {kind: 'buried'};
	};

	const attempt = async (
		job: UnstoredJob,
		deadline: number,
		limit: () => TombstoneOutcome | undefined,
	): Promise<TombstoneOutcome | Unsettled> => {
		const {id, queue, claim} = job;
		const {service} = claim;
		const gate = await gates.open({queue, ...claim}, deadline);
		if (gate.kind !== 'open') {
			return gate.kind === 'moved'
				? {kind: 'elsewhere', claim: gate}
				: {kind: 'unavailable'};
		}

		const getTimeoutMs = () =>
			Math.max(1, Math.min(periods.storeTimeoutMs, deadline - now()));
		// Read after the gate: what is stored elsewhere later fails.
		const earlier = await findEarlierRow(
			store,
			{id, queue},
			[service, ...gate.formerServices],
			getTimeoutMs(),
		);
		if (earlier) {
			return earlier.kind === 'found'
				? toOutcome(earlier.row)
				: {kind: 'unavailable'};
		}

		const shard = getServiceShard(service);
		return limit() ?? commit({...job, shard, gate, timeoutMs: getTimeoutMs()});
	};

	return {
		async put(job, deadline) {
			let {claim} = job;
			let wasSent = false;
			let isUnanswered = false;
			const limit = (): TombstoneOutcome | undefined => {
				const excessMs = wasSent ? 0 : getExcessMs(job.queue);
				wasSent ||= excessMs === 0;
				return excessMs > 0
					? {kind: 'limited', retryAfterMs: excessMs}
					: undefined;
			};

			let outcome: TombstoneOutcome = {kind: 'moved'};
			for (let tries = 0; tries < maxTries && now() < deadline; tries += 1) {
				const result: TombstoneOutcome | Unsettled = deps.isStoreUnresponsive()
					? {kind: 'unavailable'}
					: await attempt({...job, claim}, deadline, limit);
				if (result.kind === 'elsewhere') {
					({claim} = result);
				} else if (result.kind === 'unanswered') {
					isUnanswered = true;
				} else if (result.kind !== 'gate-changed') {
					outcome = result;
					break;
				}
			}

			const isOpen = outcome.kind === 'moved' || outcome.kind === 'unavailable';
			return isUnanswered && isOpen ? {kind: 'unknown'} : outcome;
		},
	};
};
