/** Looks up jobs that were accepted, and compares submissions with them. */
import type {scheduler} from '@gullstand/core';
import type {RowStore, StoredRow} from '@gullstand/ports';
import {
	decodeRow,
	getCancelKey,
	getKeyAfter,
	getServiceShard,
	jobSchema,
	tables,
} from '../rows/tables.js';
import {decodeTombstone} from '../rows/tombstone.js';
import {maySeeJob, type Caller} from './caller-access.js';

/** Decodes a job's row if the job is of a queue. */
export const decodeJobOfQueue = (
	row: StoredRow,
	queue: string,
): scheduler.AcceptedJob | undefined => {
	const decoded = decodeRow(jobSchema, row.value);
	return decoded.ok && decoded.value.policy.queue === queue
		? decoded.value
		: undefined;
};

/** Whether a row is a job of the queue that the caller may see. */
export const isVisible = (
	row: StoredRow,
	queue: string,
	caller: Caller,
): boolean => {
	const job = decodeJobOfQueue(row, queue);
	return job !== undefined && maySeeJob(caller, job);
};

/**
 * Whether a submission is by the team of a stored job; a job that was accepted
 * without a team may be submitted again by any.
 */
export const isOfSameTeam = (
	stored: scheduler.AcceptedJob,
	submitted: scheduler.AcceptedJob,
): boolean => stored.team === undefined || stored.team === submitted.team;

/** Text of the requested job, with its fields in a fixed order. */
const toCanonicalText = (job: scheduler.AcceptedJob): string => {
	const decoded = decodeRow(jobSchema, JSON.stringify(job));
	const {policy, spec} = decoded.ok ? decoded.value : job;
	return JSON.stringify([policy.queue, spec]);
};

/** Whether a submission requests a stored job, regardless of the policy. */
export const isSameJob = (
	stored: scheduler.AcceptedJob,
	submitted: scheduler.AcceptedJob,
): boolean =>
	isOfSameTeam(stored, submitted) &&
	toCanonicalText(stored) === toCanonicalText(submitted);

/** Reads the rows of a job: itself and its cancellation. */
export const readJobRows = async (
	store: RowStore,
	{shard, id}: {readonly shard: string; readonly id: string},
	timeoutMs: number,
) =>
	store.read(
		{
			table: tables.job,
			part: shard,
			from: id,
			to: getKeyAfter(getCancelKey(id)),
		},
		timeoutMs,
	);

/** What the row under the id of a submitted job says of it. */
export type KnownJob =
	| {readonly kind: 'accepted'; readonly isRepeat: true}
	/** Another job has the id. */
	| {readonly kind: 'conflict'}
	/** It was cancelled before it was stored, so it is not stored any more. */
	| {readonly kind: 'cancelled'};

/** A row of a queue's job, or the tombstone of one. */
export type EarlierRow =
	| {readonly kind: 'found'; readonly row: StoredRow}
	/** Not all services could be read. */
	| {readonly kind: 'unread'};

/** Whether a row is a job of the queue, or stands for one. */
const isOfQueue = (row: StoredRow, queue: string): boolean =>
	(decodeTombstone(row.value) ?? decodeJobOfQueue(row, queue)?.policy)
		?.queue === queue;

/** Finds the row of a job in services in which its queue had its home before. */
export const findEarlierRow = async (
	store: RowStore,
	{id, queue}: {readonly id: string; readonly queue: string},
	formerServices: readonly string[],
	timeoutMs: number,
): Promise<EarlierRow | undefined> => {
	const pages = await Promise.all(
		formerServices.map(async (service) =>
			readJobRows(store, {shard: getServiceShard(service), id}, timeoutMs),
		),
	);
	const rows = pages.flatMap((page) => (page.ok ? page.value.rows : []));
	const row = rows.find((each) => each.key === id && isOfQueue(each, queue));
	if (row) {
		return {kind: 'found', row};
	}

	return pages.every(({ok}) => ok) ? undefined : {kind: 'unread'};
};

/** Compares a submission with the tombstone under its id. */
export const compareWithTombstone = (
	value: string,
	job: scheduler.AcceptedJob,
): KnownJob | undefined => {
	const tombstone = decodeTombstone(value);
	if (!tombstone) {
		return undefined;
	}

	const {queue, team} = tombstone;
	const isOfJob =
		queue === job.policy.queue && (team === undefined || team === job.team);
	return isOfJob ? {kind: 'cancelled'} : {kind: 'conflict'};
};

/** Compares a submission with a row of its queue in a former service. */
const compareWithEarlier = (
	row: StoredRow,
	job: scheduler.AcceptedJob,
): KnownJob => {
	const accepted = decodeJobOfQueue(row, job.policy.queue);
	return accepted && isOfSameTeam(accepted, job)
		? {kind: 'accepted', isRepeat: true}
		: (compareWithTombstone(row.value, job) ?? {kind: 'conflict'});
};

/** Finds a job in services in which its queue had its home before. */
export const findAcceptedBefore = async (
	store: RowStore,
	job: scheduler.AcceptedJob,
	formerServices: readonly string[],
	timeoutMs: number,
): Promise<KnownJob | {readonly kind: 'not-stored'} | undefined> => {
	const {queue} = job.policy;
	const earlier = await findEarlierRow(
		store,
		{id: job.id, queue},
		formerServices,
		timeoutMs,
	);
	if (!earlier) {
		return undefined;
	}

	return earlier.kind === 'found'
		? compareWithEarlier(earlier.row, job)
		: {kind: 'not-stored'};
};
