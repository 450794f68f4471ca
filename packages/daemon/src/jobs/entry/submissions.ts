/**
 * Accepts jobs: a job is accepted once its row is in the store. Jobs that come
 * while a transaction is under way go together in the next one. Each checks
 * the lease row, so that a job belongs to the owner that is told of it.
 */
import {type scheduler} from '@gullstand/core';
import type {RowPut, RowStore, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {delay} from '../clock.js';
import {
	decodeRow,
	getKeyAfter,
	getLeaseCheck,
	jobSchema,
	tables,
} from '../rows/tables.js';
import type {LeaseBook} from '../shards/lease-book.js';
import {createHistoryRow} from './queue-history.js';
import {createBatch, listUnrecordedQueues} from './submission-batch.js';

/** What became of a submission. */
export type SubmitOutcome =
	/** It is stored, now or by an earlier request. */
	| {readonly kind: 'accepted'; readonly isRepeat: boolean}
	/** Another job lies under this id. */
	| {readonly kind: 'conflict'}
	/** Certainly not stored, and never will be. */
	| {readonly kind: 'not-stored'}
	/** It may be stored, or may be yet. */
	| {readonly kind: 'unknown'};

/** What the submissions need. */
export type SubmissionsDeps = {
	readonly store: RowStore;
	readonly book: LeaseBook;
	/** The store does not answer: nothing is sent to it. */
	readonly isStoreUnresponsive: () => boolean;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Rows that were stored, to be told to the owner. */
	readonly onStored: (shard: string, rows: readonly StoredRow[]) => void;
};

/** Accepts jobs. */
export type Submissions = {
	/** Resolves by the deadline, in milliseconds of the steady clock. */
	readonly submit: (
		shard: string,
		job: scheduler.AcceptedJob,
		deadline: number,
	) => Promise<SubmitOutcome>;
};

/**
 * Bound on a commit: shorter than other calls, since a caller waits and can
 * try another entry; the store's slowest answers take 300 ms.
 */
const commitTimeoutMs = 800;

/** Pause before a commit whose answer was lost is asked about again ... */
const readBackMs = 100;

/** ... and how long it is asked about; the caller then tries again. */
const maxReadBackMs = 500;

/** Commits that may be tried anew after a conflict that settles no job. */
const maxTries = 4;

/**
 * Jobs whose text is kept after they were stored. A caller that repeats one
 * does so within seconds; 1,000 are 5 s of the fastest rises seen and, at some
 * 1 KB each, 1 MB.
 */
const maxRecent = 1000;

type Waiting = {
	readonly job: scheduler.AcceptedJob;
	readonly text: string;
	readonly deadline: number;
	tries: number;
	/** An earlier commit of it had no answer. */
	mayBeStored: boolean;
	readonly settle: (outcome: SubmitOutcome) => void;
};

type Queue = {
	waiting: Waiting[];
	isBusy: boolean;
	/** Queues whose jobs in this shard are told in the store. */
	readonly told: Set<string>;
};

const getRecentKey = (shard: string, id: string): string => `${shard}\n${id}`;

/** The text of what is asked for, with the fields in one order. */
const toCanonicalText = (job: scheduler.AcceptedJob): string => {
	const decoded = decodeRow(jobSchema, JSON.stringify(job));
	const {policy, spec} = decoded.ok ? decoded.value : job;
	return JSON.stringify([policy.queue, spec]);
};

/** Whether two submissions ask for the same job, whatever the policy now. */
export const isSameJob = (
	one: scheduler.AcceptedJob,
	two: scheduler.AcceptedJob,
): boolean => toCanonicalText(one) === toCanonicalText(two);

/** Creates the submissions of an entry. */
export const createSubmissions = (deps: SubmissionsDeps): Submissions => {
	const {store, book, now, logger} = deps;
	const queues = new Map<string, Queue>();
	/** Texts of jobs stored lately, by shard and id, the oldest in front. */
	const recent = new Map<string, string>();

	const remember = (shard: string, id: string, text: string) => {
		recent.set(getRecentKey(shard, id), text);
		if (recent.size > maxRecent) {
			const [oldest = ''] = recent.keys();
			recent.delete(oldest);
		}
	};

	const settleByText = (waiting: Waiting, text: string) => {
		const decoded = decodeRow(jobSchema, text);
		const isSame = decoded.ok && isSameJob(decoded.value, waiting.job);
		waiting.settle(
			isSame ? {kind: 'accepted', isRepeat: true} : {kind: 'conflict'},
		);
	};

	const keyOf = (shard: string, {job}: Waiting) => ({
		table: tables.job,
		part: shard,
		key: job.id,
	});

	/** Settles those that lie in the store already; answers the others. */
	const takeConflict = (
		shard: string,
		batch: readonly Waiting[],
		rows: readonly StoredRow[],
	): readonly Waiting[] => {
		const stored = new Map<string, StoredRow>();
		for (const row of rows) {
			if (row.table === tables.lease) {
				book.note(row);
			} else if (row.version > 0) {
				stored.set(row.key, row);
			}
		}

		return batch.filter((waiting) => {
			const row = stored.get(waiting.job.id);
			if (row) {
				deps.onStored(shard, [row]);
				remember(shard, row.key, row.value);
				settleByText(waiting, row.value);
			}

			return !row;
		});
	};

	const readBack = async (
		shard: string,
		waiting: Waiting,
	): Promise<boolean> => {
		const {id} = waiting.job;
		const page = await store.read(
			{table: tables.job, part: shard, from: id, to: getKeyAfter(id)},
			maxReadBackMs,
		);
		const row = page.ok ? page.value.rows[0] : undefined;
		if (!row) {
			return false;
		}

		deps.onStored(shard, [row]);
		waiting.settle({kind: 'accepted', isRepeat: true});
		return true;
	};

	/** After a lost answer: it may be stored seconds later, so no refusal. */
	const settleLost = async (shard: string, waiting: Waiting) => {
		const until = Math.min(waiting.deadline, now() + maxReadBackMs);
		while (now() + readBackMs < until) {
			if (await readBack(shard, waiting)) {
				return;
			}

			await delay(readBackMs);
		}

		waiting.settle({kind: 'unknown'});
	};

	const refuse = (waiting: Waiting) => {
		waiting.settle({
			kind: waiting.mayBeStored ? 'unknown' : 'not-stored',
		});
	};

	const refuseAll = async (batch: readonly Waiting[]) => {
		logger.info('jobs not sent to the store', {
			jobs: batch.map(({job}) => job.id),
			reason: 'it does not answer',
		});
		for (const waiting of batch) {
			refuse(waiting);
		}
	};

	/** Those of a batch that may be sent once more; the others are refused. */
	const listNextTry = (batch: readonly Waiting[]): readonly Waiting[] =>
		batch.filter((waiting) => {
			waiting.tries += 1;
			const mayTry = waiting.tries < maxTries;
			if (!mayTry) {
				refuse(waiting);
			}

			return mayTry;
		});

	/**
	 * Jobs of a batch that are left after a conflict. One repeat fails a whole
	 * transaction, so a conflict that settled some is not held against the
	 * others: under load each batch has a repeat, and they were refused.
	 */
	const listLeft = (
		shard: string,
		batch: readonly Waiting[],
		rows: readonly StoredRow[],
	): readonly Waiting[] => {
		const left = takeConflict(shard, batch, rows);
		return left.length < batch.length ? left : listNextTry(left);
	};

	/** Sends a batch; answers the jobs that are to be sent once more. */
	const commit = async (
		shard: string,
		batch: readonly Waiting[],
	): Promise<readonly Waiting[]> => {
		const puts: RowPut[] = batch.map((waiting) => ({
			...keyOf(shard, waiting),
			value: waiting.text,
		}));
		const {told} = getQueue(shard);
		const untold = listUnrecordedQueues(batch, told);
		const result = await store.transact(
			{
				checks: [
					getLeaseCheck({shard, version: book.getVersion(shard)}),
					...puts.map(({table, part, key}) => ({
						table,
						part,
						key,
						version: 0,
					})),
				],
				puts: [
					...puts,
					...untold.map((queue) => createHistoryRow(shard, queue)),
				],
				removes: [],
			},
			commitTimeoutMs,
		);
		if (result.ok) {
			const {version} = result.value;
			for (const queue of untold) {
				told.add(queue);
			}

			deps.onStored(
				shard,
				puts.map((put) => ({...put, version})),
			);
			for (const {job, text, settle} of batch) {
				remember(shard, job.id, text);
				settle({kind: 'accepted', isRepeat: false});
			}

			return [];
		}

		logger.warn('jobs not stored', {
			shard,
			jobs: batch.map(({job}) => job.id),
			reason: result.error.kind,
		});
		if (result.error.kind === 'conflict') {
			return listLeft(shard, batch, result.error.rows);
		}

		for (const waiting of batch) {
			if (result.error.kind === 'timeout') {
				waiting.mayBeStored = true;
				void settleLost(shard, waiting);
			} else {
				refuse(waiting);
			}
		}

		return [];
	};

	/** Settles what needs no transaction; false if the job must be sent. */
	const settleUnsent = (shard: string, waiting: Waiting): boolean => {
		const text = recent.get(getRecentKey(shard, waiting.job.id));
		if (text !== undefined) {
			settleByText(waiting, text);
			return true;
		}

		// Its entry has sent it by itself since: here it would be a repeat.
		const isLate = now() >= waiting.deadline;
		if (isLate) {
			refuse(waiting);
		}

		return isLate;
	};

	/** Takes jobs to send; one that waits twice comes when the first is done. */
	const takeBatch = (shard: string, queue: Queue): readonly Waiting[] => {
		const batch = createBatch<Waiting>(queue.told);
		const later: Waiting[] = [];
		for (const waiting of queue.waiting) {
			if (!batch.hasRoomFor(waiting)) {
				later.push(waiting);
			} else if (!settleUnsent(shard, waiting)) {
				batch.add(waiting);
			}
		}

		queue.waiting = later;
		return batch.list();
	};

	/** Nothing joins what is sent again: it may bring the next repeat. */
	const sendBatch = async (shard: string, batch: readonly Waiting[]) => {
		let left = batch;
		while (left.length > 0) {
			if (deps.isStoreUnresponsive()) {
				await refuseAll(left);
				return;
			}

			const next = await commit(shard, left);
			left = next.filter((waiting) => !settleUnsent(shard, waiting));
		}
	};

	const run = async (shard: string, queue: Queue) => {
		queue.isBusy = true;
		while (queue.waiting.length > 0) {
			await sendBatch(shard, takeBatch(shard, queue));
		}

		queue.isBusy = false;
	};

	const getQueue = (shard: string): Queue => {
		const known = queues.get(shard) ?? {
			waiting: [],
			isBusy: false,
			told: new Set(),
		};
		queues.set(shard, known);
		return known;
	};

	return {
		submit: async (shard, job, deadline) =>
			new Promise((resolve) => {
				const queue = getQueue(shard);
				queue.waiting.push({
					job,
					text: JSON.stringify(job),
					deadline,
					tries: 0,
					mayBeStored: false,
					settle: resolve,
				});
				if (!queue.isBusy) {
					void run(shard, queue);
				}
			}),
	};
};
