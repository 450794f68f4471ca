/**
 * Accepts jobs: a job is accepted once its row is in the store. Jobs submitted
 * while a transaction is under way are batched into the next one. Each
 * transaction checks the lease row, so that the right owner is notified, and the
 * gates of its queues, so that no job is accepted in two services.
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
import {describeStoreError} from '../rows/store-error.js';
import {decodeTombstone} from '../rows/tombstone.js';
import type {Rejection} from '../owner/admission-gate.js';
import type {LeaseCache} from '../shards/lease-cache.js';
import {getValueBytes} from '../rows/transaction-size.js';
import {
	compareWithTombstone,
	isSameJob,
	type KnownJob,
} from './accepted-job.js';
import {
	listGateChecks,
	type Gatekeeper,
	type MovedQueue,
} from './gatekeeper.js';
import {createBatch} from './submission-batch.js';
import {createUnansweredTries} from './unanswered-tries.js';

export type SubmitOutcome =
	/** The job is stored, by this request or by an earlier one. */
	| {readonly kind: 'accepted'; readonly isRepeat: boolean}
	| KnownJob
	/** The job is certainly not stored and will not be later. */
	| {readonly kind: 'not-stored'}
	/** The store never takes the job; it is not stored and will not be later. */
	| {readonly kind: 'not-storable'}
	/** The job may be stored already or may still be. */
	| {readonly kind: 'unknown'}
	/** The owner does not accept the job; it is not stored. */
	| Rejection
	| MovedQueue;

export type SubmissionsDeps = {
	readonly store: RowStore;
	readonly book: LeaseCache;
	readonly gatekeeper: Gatekeeper;
	/** Whether the store is unresponsive, so that nothing should be sent to it. */
	readonly isStoreUnresponsive: () => boolean;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with stored rows, to notify the owner of them. */
	readonly onStored: (shard: string, rows: readonly StoredRow[]) => void;
};

export type Submissions = {
	/**
	 * Resolves by the deadline, in milliseconds of the monotonic clock.
	 * `configuration` is the version of the one that names the shard's service; 0
	 * if no configuration does now.
	 */
	readonly submit: (
		shard: string,
		job: scheduler.AcceptedJob,
		deadline: number,
		configuration: number,
	) => Promise<SubmitOutcome>;
	/** Whether a commit of a job is under way here or had no answer. */
	readonly mayBeStoring: (shard: string, id: string) => boolean;
};

/**
 * Bound on a commit, in milliseconds; shorter than for other calls, since the
 * caller waits and can try another entry. The store's slowest answers take
 * 300 ms.
 */
const commitTimeoutMs = 800;

/** Pause between reads of a job whose commit had no answer, in milliseconds. */
const readBackPauseMs = 100;

/** Time for which such a job is read, in milliseconds; the caller then retries. */
const maxReadBackMs = 500;

/** Commits of a job, not counting those whose conflict resolved another job. */
const maxTries = 4;

/**
 * Stored jobs whose text is cached to recognize repeats, which callers send
 * within seconds; 5 s of the fastest rises, and about 1 MB at 1 KB per job.
 */
const maxRecent = 1000;

type Waiting = {
	readonly job: scheduler.AcceptedJob;
	readonly text: string;
	readonly deadline: number;
	readonly configuration: number;
	/** Version of its queue's gate, once that is known. */
	gateVersion: number;
	tries: number;
	/** Whether an earlier commit of it had no answer. */
	mayBeStored: boolean;
	readonly resolve: (outcome: SubmitOutcome) => void;
};

/** Why a row is never stored: its answer, or the limit that it exceeds. */
type RefusalCause =
	{readonly status: number} | {readonly maxValueBytes: number};

type Queue = {
	waiting: Waiting[];
	isBusy: boolean;
};

const getRecentKey = (shard: string, id: string): string => `${shard}\n${id}`;

export const createSubmissions = (deps: SubmissionsDeps): Submissions => {
	const {store, book, now, logger} = deps;
	const queues = new Map<string, Queue>();
	/** Texts of recently stored jobs by shard and id, the oldest first. */
	const recent = new Map<string, string>();
	const tries = createUnansweredTries(now);

	const cacheText = (shard: string, id: string, text: string) => {
		recent.set(getRecentKey(shard, id), text);
		if (recent.size > maxRecent) {
			const [oldest = ''] = recent.keys();
			recent.delete(oldest);
		}
	};

	const resolveByText = (waiting: Waiting, text: string) => {
		const cancelled = compareWithTombstone(text, waiting.job);
		if (cancelled) {
			waiting.resolve(cancelled);
			return;
		}

		const decoded = decodeRow(jobSchema, text);
		const isSame = decoded.ok && isSameJob(decoded.value, waiting.job);
		waiting.resolve(
			isSame ? {kind: 'accepted', isRepeat: true} : {kind: 'conflict'},
		);
	};

	const keyOf = (shard: string, {job}: Waiting) => ({
		table: tables.job,
		part: shard,
		key: job.id,
	});

	/** Applies the rows of a conflict; resolves stored jobs, returns the others. */
	const resolveStored = (
		shard: string,
		batch: readonly Waiting[],
		rows: readonly StoredRow[],
	): readonly Waiting[] => {
		const stored = new Map<string, StoredRow>();
		for (const row of rows) {
			if (row.table === tables.lease) {
				book.applyRow(row);
			} else if (row.table === tables.job && row.version > 0) {
				stored.set(row.key, row);
			}
		}

		return batch.filter((waiting) => {
			const row = stored.get(waiting.job.id);
			if (row) {
				deps.onStored(shard, [row]);
				resolveByText(waiting, row.value);
				if (decodeTombstone(row.value) === undefined) {
					cacheText(shard, row.key, row.value);
				}
			}

			return !row;
		});
	};

	/** Reads the row of a job; resolves the job if it is stored. */
	const readBack = async (
		shard: string,
		waiting: Waiting,
	): Promise<'stored' | 'not-stored' | 'unread'> => {
		const {id} = waiting.job;
		const page = await store.read(
			{table: tables.job, part: shard, from: id, to: getKeyAfter(id)},
			maxReadBackMs,
		);
		if (!page.ok) {
			return 'unread';
		}

		const [row] = page.value.rows;
		if (!row) {
			return 'not-stored';
		}

		deps.onStored(shard, [row]);
		resolveByText(waiting, row.value);
		return 'stored';
	};

	/**
	 * Resolves a job whose row the store refuses for good. Its id may be that of
	 * a job that was stored before.
	 */
	const resolveRefused = async (
		shard: string,
		waiting: Waiting,
		cause: RefusalCause,
	) => {
		const state = await readBack(shard, waiting);
		logger.warn('job not storable', {
			shard,
			job: waiting.job.id,
			queue: waiting.job.policy.queue,
			bytes: getValueBytes(waiting.text),
			state,
			...cause,
		});
		if (state !== 'stored') {
			waiting.resolve({
				kind:
					state === 'unread' || waiting.mayBeStored
						? 'unknown'
						: 'not-storable',
			});
		}
	};

	/** After a lost answer: the job may still be stored later, so `unknown`. */
	const resolveLost = async (shard: string, waiting: Waiting) => {
		const until = Math.min(waiting.deadline, now() + maxReadBackMs);
		while (now() + readBackPauseMs < until) {
			if ((await readBack(shard, waiting)) === 'stored') {
				return;
			}

			await delay(readBackPauseMs);
		}

		waiting.resolve({kind: 'unknown'});
	};

	/** Resolves a job that will not be sent again. */
	const refuse = (waiting: Waiting) => {
		waiting.resolve({
			kind: waiting.mayBeStored ? 'unknown' : 'not-stored',
		});
	};

	const refuseAll = async (batch: readonly Waiting[]) => {
		logger.info('jobs not sent to the store', {
			jobs: batch.map(({job}) => job.id),
			reason: 'the store is unresponsive',
		});
		for (const waiting of batch) {
			refuse(waiting);
		}
	};

	/** Returns the jobs of a batch that may be sent again; refuses the others. */
	const listRetries = (batch: readonly Waiting[]): readonly Waiting[] =>
		batch.filter((waiting) => {
			waiting.tries += 1;
			const mayRetry = waiting.tries < maxTries;
			if (!mayRetry) {
				refuse(waiting);
			}

			return mayRetry;
		});

	/**
	 * Returns the jobs of a batch to send again after a conflict. One repeated
	 * job fails the whole transaction, so a conflict that resolved a job does not
	 * count as a try of the others. Under load each batch has a repeat, and the
	 * others would be refused.
	 */
	const listUnresolved = (
		shard: string,
		batch: readonly Waiting[],
		rows: readonly StoredRow[],
	): readonly Waiting[] => {
		const unresolved = readmit(shard, resolveStored(shard, batch, rows), rows);
		return unresolved.length < batch.length
			? unresolved
			: listRetries(unresolved);
	};

	/**
	 * Sends the halves of a batch that the store refuses for good, so that it
	 * takes all jobs but those that it refuses alone.
	 */
	const commitHalves = async (
		shard: string,
		batch: readonly Waiting[],
	): Promise<readonly Waiting[]> => {
		const middle = Math.ceil(batch.length / 2);
		const retries = await Promise.all(
			[batch.slice(0, middle), batch.slice(middle)].map(async (half) => {
				const due = half.filter((waiting) => !resolveUnsent(shard, waiting));
				return due.length > 0 ? commit(shard, due) : [];
			}),
		);
		return retries.flat();
	};

	/**
	 * Sends the jobs whose gate has changed through it again; returns the others.
	 */
	const readmit = (
		shard: string,
		batch: readonly Waiting[],
		rows: readonly StoredRow[],
	): readonly Waiting[] => {
		const checks = listGateChecks(shard, batch);
		const changed = deps.gatekeeper.listChanged(checks, rows);
		const left = batch.filter(({job}) => changed.has(job.policy.queue));
		for (const waiting of listRetries(left)) {
			void admit(shard, waiting);
		}

		return batch.filter((waiting) => !left.includes(waiting));
	};

	/** Queues a job for the next transaction if its queue's gate lets it pass. */
	const admit = async (shard: string, waiting: Waiting) => {
		if (resolveUnsent(shard, waiting)) {
			return;
		}

		if (deps.isStoreUnresponsive()) {
			await refuseAll([waiting]);
			return;
		}

		const {job, configuration, deadline} = waiting;
		const pass = await deps.gatekeeper.admit({
			shard,
			job,
			configuration,
			deadline,
		});
		if (pass.kind !== 'passed') {
			waiting.resolve(pass);
			return;
		}

		waiting.gateVersion = pass.version;
		const queue = getQueue(shard);
		queue.waiting.push(waiting);
		if (!queue.isBusy) {
			void run(shard, queue);
		}
	};

	/** Sends a batch; returns the jobs to send again. */
	const commit = async (
		shard: string,
		batch: readonly Waiting[],
	): Promise<readonly Waiting[]> => {
		const puts: RowPut[] = batch.map((waiting) => ({
			...keyOf(shard, waiting),
			value: waiting.text,
		}));
		const result = await store.transact(
			{
				checks: [
					getLeaseCheck({shard, version: book.getVersion(shard)}),
					...listGateChecks(shard, batch),
					...puts.map(({table, part, key}) => ({
						table,
						part,
						key,
						version: 0,
					})),
				],
				puts,
				removes: [],
			},
			commitTimeoutMs,
		);
		if (result.ok) {
			const {version} = result.value;
			deps.onStored(
				shard,
				puts.map((put) => ({...put, version})),
			);
			for (const {job, text, resolve} of batch) {
				cacheText(shard, job.id, text);
				resolve({kind: 'accepted', isRepeat: false});
			}

			return [];
		}

		logger.warn('jobs not stored', {
			shard,
			jobs: batch.map(({job}) => job.id),
			...describeStoreError(result.error),
		});
		if (result.error.kind === 'conflict') {
			return listUnresolved(shard, batch, result.error.rows);
		}

		if (result.error.kind === 'rejected') {
			const [first, ...others] = batch;
			if (first && others.length === 0) {
				const {status} = result.error;
				void resolveRefused(shard, first, {status});
				return [];
			}

			return commitHalves(shard, batch);
		}

		for (const waiting of batch) {
			if (result.error.kind === 'timeout') {
				waiting.mayBeStored = true;
				void resolveLost(shard, waiting);
			} else {
				refuse(waiting);
			}
		}

		return [];
	};

	/** Resolves a job without a transaction; returns false if it must be sent. */
	const resolveUnsent = (shard: string, waiting: Waiting): boolean => {
		const text = recent.get(getRecentKey(shard, waiting.job.id));
		if (text !== undefined) {
			resolveByText(waiting, text);
			return true;
		}

		const {maxValueBytes} = store.limits;
		if (getValueBytes(waiting.text) > maxValueBytes) {
			void resolveRefused(shard, waiting, {maxValueBytes});
			return true;
		}

		// By its deadline, the calling entry has sent the job by another route.
		const isLate = now() >= waiting.deadline;
		if (isLate) {
			refuse(waiting);
		}

		return isLate;
	};

	/** Removes the next batch from the queue; a repeated id waits for a later one. */
	const takeBatch = (shard: string, queue: Queue): readonly Waiting[] => {
		const batch = createBatch<Waiting>(store.limits);
		const later: Waiting[] = [];
		for (const waiting of queue.waiting) {
			if (!batch.hasRoomFor(waiting)) {
				later.push(waiting);
			} else if (!resolveUnsent(shard, waiting)) {
				batch.add(waiting);
			}
		}

		queue.waiting = later;
		return batch.list();
	};

	/** Sends a batch until all are resolved; adds no jobs, which may be repeats. */
	const sendBatch = async (shard: string, batch: readonly Waiting[]) => {
		let unresolved = batch;
		while (unresolved.length > 0) {
			if (deps.isStoreUnresponsive()) {
				await refuseAll(unresolved);
				return;
			}

			const retries = await commit(shard, unresolved);
			unresolved = retries.filter((waiting) => !resolveUnsent(shard, waiting));
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
		};
		queues.set(shard, known);
		return known;
	};

	return {
		mayBeStoring: (shard, id) => tries.has(getRecentKey(shard, id)),
		submit: async (shard, job, deadline, configuration) =>
			new Promise((resolve) => {
				const key = getRecentKey(shard, job.id);
				tries.begin(key);
				void admit(shard, {
					job,
					text: JSON.stringify(job),
					deadline,
					configuration,
					gateVersion: 0,
					tries: 0,
					mayBeStored: false,
					resolve(outcome) {
						tries.end(key, outcome.kind !== 'unknown');
						resolve(outcome);
					},
				});
			}),
	};
};
