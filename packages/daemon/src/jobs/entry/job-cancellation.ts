/**
 * Cancels jobs: a stored one by a row beside it, any other by a tombstone in its
 * place.
 */
import {fail, succeed} from '@gullstand/core';
import type {QueueRoute, RowStore, StoredRow} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {periods} from '../periods.js';
import {describeStoreError} from '../rows/store-error.js';
import {getCancelKey} from '../rows/tables.js';
import {isVisible, readJobRows} from './accepted-job.js';
import type {Caller} from './caller-access.js';
import type {CancelOutcome} from './cancel-outcome.js';
import {
	askShards,
	isUnknown,
	unknownJob,
	type JobResult,
} from './job-result.js';
import type {OwnerChannel} from './owner-channel.js';
import {getHomeClaim, type Routes} from './routes.js';
import type {Tombstones, TombstoneOutcome} from './tombstones.js';

export type JobCancellationDeps = {
	readonly routes: Pick<Routes, 'get' | 'getByName'>;
	readonly owners: Pick<OwnerChannel, 'sendRows'>;
	readonly tombstones: Tombstones;
	readonly store: RowStore;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'warn'>;
	/** Lists the shards that may hold jobs of a queue, the present one first. */
	readonly listShards: (route: QueueRoute) => readonly string[];
	/** Cancels a job through another entry; absent if none answers. */
	readonly cancelThroughPeer: (
		queue: string,
		id: string,
		timeoutMs: number,
		caller: Caller,
	) => Promise<CancelOutcome | undefined>;
};

/** Cancels a job by a deadline in milliseconds of the monotonic clock. */
export type CancelJob = (
	route: QueueRoute,
	id: string,
	deadline: number,
	caller: Caller,
) => Promise<JobResult<void>>;

export type JobCancellation = {
	/** Cancels through the local connection to the store. */
	readonly cancelHere: CancelJob;
	/** Cancels through the store, or through another entry if that fails. */
	readonly cancelAnywhere: CancelJob;
};

/** The answer to a cancellation of a job that no service has. */
const toResult = (
	outcome: Exclude<TombstoneOutcome, {readonly kind: 'found'}>,
): JobResult<never> =>
	match(outcome)
		.returnType<JobResult<never>>()
		.with({kind: 'buried'}, () => unknownJob)
		.with({kind: 'moved'}, () => fail('queue-moved'))
		.with({kind: 'unavailable'}, () => fail('store-unavailable'))
		.with({kind: 'not-storable'}, () => fail('not-storable'))
		.with({kind: 'unknown'}, () => fail('store-unknown'))
		.with({kind: 'limited'}, ({retryAfterMs}) => ({
			...fail('overloaded'),
			retryAfterMs,
		}))
		.exhaustive();

/**
 * The job was removed, so that another one may be stored under its id. Compared
 * by identity: it is the answer only if that happens twice.
 */
const removedMeanwhile: JobResult<never> = fail('store-unavailable');

/** Results that another entry cannot improve. */
const isFinal = (result: JobResult<void>): boolean =>
	result.ok ||
	result.error === 'unknown-job' ||
	result.error === 'not-storable' ||
	result.error === 'overloaded';

export const createJobCancellation = (
	deps: JobCancellationDeps,
): JobCancellation => {
	const {routes, owners, store, clock, logger} = deps;

	/** Cancels a job; undefined if its row is not there any more. */
	const storeCancel = async (
		{table, key: id, part: shard, version}: StoredRow,
		deadline: number,
	): Promise<JobResult<void> | undefined> => {
		const put = {
			table,
			part: shard,
			key: getCancelKey(id),
			value: JSON.stringify({at: clock.epochNow()}),
		};
		// Idempotent, and without effect once the job has been removed.
		const checks = [{table, part: shard, key: id, version}];
		while (clock.now() < deadline) {
			const stored = await store.transact(
				{checks, puts: [put], removes: []},
				Math.min(periods.storeTimeoutMs, Math.max(1, deadline - clock.now())),
			);
			if (stored.ok) {
				const rows = [{...put, version: stored.value.version}];
				void owners.sendRows(shard, rows);
				return succeed(undefined);
			}

			if (stored.error.kind === 'conflict') {
				return undefined;
			}

			if (stored.error.kind === 'unavailable') {
				return fail('store-unavailable');
			}

			if (stored.error.kind === 'rejected') {
				logger.warn('cancellation not storable', {
					shard,
					job: id,
					...describeStoreError(stored.error),
				});
				return fail('not-storable');
			}
		}

		return fail('store-unknown');
	};

	const cancelOnce: CancelJob = async (route, id, deadline, caller) => {
		const cancelIfVisible = async (
			row: StoredRow | undefined,
		): Promise<JobResult<void>> =>
			row && isVisible(row, route.name, caller)
				? ((await storeCancel(row, deadline)) ?? removedMeanwhile)
				: unknownJob;
		const result = await askShards(deps.listShards(route), async (shard) => {
			const rows = await readJobRows(
				store,
				{shard, id},
				periods.storeTimeoutMs,
			);
			return rows.ok
				? cancelIfVisible(rows.value.rows.find(({key}) => key === id))
				: fail('store-unavailable');
		});
		if (!isUnknown(result)) {
			return result;
		}

		// A submission that the search cannot see may still be stored.
		const outcome = await deps.tombstones.put(
			{
				id,
				queue: route.name,
				team: caller.kind === 'team' ? caller.team : undefined,
				claim: getHomeClaim(routes, route),
			},
			deadline,
		);
		return outcome.kind === 'found'
			? cancelIfVisible(outcome.row)
			: toResult(outcome);
	};

	const cancelHere: CancelJob = async (...args) => {
		const first = await cancelOnce(...args);
		return first === removedMeanwhile ? cancelOnce(...args) : first;
	};

	return {
		cancelHere,
		async cancelAnywhere(route, id, deadline, caller) {
			const local = await cancelHere(route, id, deadline, caller);
			if (isFinal(local) || clock.now() >= deadline) {
				return local;
			}

			const remote = await deps.cancelThroughPeer(
				route.name,
				id,
				Math.min(periods.storeTimeoutMs, deadline - clock.now()),
				caller,
			);
			if (remote === undefined) {
				return local;
			}

			return remote === 'cancelled' ? succeed(undefined) : fail(remote);
		},
	};
};
