/**
 * The calls that callers make to an entry: submit a job, read its state, cancel
 * it, and count pending jobs. Any entry serves them.
 */
import {
	fail,
	teams,
	type scheduler,
	succeed,
	type errors,
} from '@gullstand/core';
import type {QueueRoute, RowStore, StoredRow} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {
	histogramNames,
	type JobMetrics,
	type HistogramName,
} from '../job-metrics.js';
import {periods} from '../periods.js';
import {
	decodeRow,
	getCancelKey,
	getKeyAfter,
	getServiceShard,
	progressSchema,
	tables,
} from '../rows/tables.js';
import {findAcceptedBefore, isVisible, readJobRows} from './accepted-job.js';
import {
	anyCaller,
	maySeeJob,
	type Caller,
	type CallerAccess,
} from './caller-access.js';
import {
	createHomeSubmission,
	type HomeSubmissionDeps,
} from './home-submission.js';
import {
	createJobCancellation,
	type JobCancellationDeps,
} from './job-cancellation.js';
import {
	askShards,
	isUnknown,
	unknownJob,
	type JobResult,
} from './job-result.js';
import type {OwnerChannel} from './owner-channel.js';
import type {QueueHistory} from './queue-history.js';
import type {Routes} from './routes.js';
import type {SlowStoreRefusal, SubmissionGuard} from './submission-guard.js';
import type {SubmitOutcome} from './submissions.js';

export type JobServiceDeps = HomeSubmissionDeps &
	Omit<JobCancellationDeps, 'listShards'> & {
		readonly routes: Routes;
		/** Present and former services of each queue. */
		readonly history: Pick<QueueHistory, 'listServices' | 'load' | 'refresh'>;
		/** Absent while no jobs are rejected for lack of capacity. */
		readonly guard?: SubmissionGuard | undefined;
		readonly owners: OwnerChannel;
		readonly access: Pick<CallerAccess, 'verify'>;
		readonly store: RowStore;
		readonly clock: Clock;
		readonly logger: Pick<Logger, 'info' | 'warn'>;
		readonly metrics: JobMetrics;
	};

/**
 * The calls of callers. Deadlines are milliseconds of the monotonic clock. A
 * job of another team is `unknown-job`. A caller with a key is verified again
 * before an answer, as the process may have been paused meanwhile.
 */
export type JobService = {
	readonly submit: (
		route: QueueRoute,
		job: Pick<scheduler.AcceptedJob, 'id' | 'spec'>,
		deadline: number,
		caller?: Caller,
	) => Promise<JobResult<{readonly isRepeat: boolean}>>;
	readonly readState: (
		route: QueueRoute,
		id: string,
		caller?: Caller,
	) => Promise<JobResult<scheduler.JobState>>;
	readonly cancel: (
		route: QueueRoute,
		id: string,
		deadline: number,
		caller?: Caller,
	) => Promise<JobResult<void>>;
	/**
	 * Cancels through the local connection to the store, for another entry, which
	 * has verified the caller.
	 */
	readonly cancelHere: JobService['cancel'];
	readonly countPending: (route: QueueRoute) => Promise<JobResult<number>>;
};

const toPolicy = (route: QueueRoute): scheduler.QueuePolicy => ({
	queue: route.name,
	priority: route.priority,
	maxAttempts: route.maxAttempts,
	stretch: route.stretch,
	targetLatencyMs: route.targetLatencyMs,
	needsAdvice: route.advice !== undefined,
	...(route.advice && {
		adviceCost: {
			decisionMs: route.advice.decisionMs,
			eachMs: route.advice.eachMs,
		},
	}),
});

/** Derives the state of a job from its rows. */
const toState = (
	progress: StoredRow | undefined,
	isCancelled: boolean,
): scheduler.JobState => {
	const decoded = progress && decodeRow(progressSchema, progress.value);
	if (decoded?.ok && decoded.value.end) {
		return decoded.value.end;
	}

	if (isCancelled) {
		return 'cancelled';
	}

	return decoded?.ok ? 'running' : 'queued';
};

/** Error kinds of the reasons for which an owner rejects a job. */
const rejectionKinds = {
	'beyond-rate': 'over-rate',
	unservable: 'queue-overloaded',
} as const satisfies Record<scheduler.RejectionReason, errors.ErrorKind>;

const toResult = (
	outcome: SubmitOutcome | SlowStoreRefusal,
): JobResult<{readonly isRepeat: boolean}> =>
	match(outcome)
		.returnType<JobResult<{readonly isRepeat: boolean}>>()
		.with({kind: 'accepted'}, ({isRepeat}) => succeed({isRepeat}))
		.with({kind: 'conflict'}, () => fail('job-conflict'))
		.with({kind: 'cancelled'}, () => fail('job-cancelled'))
		.with({kind: 'not-stored'}, () => fail('store-unavailable'))
		.with({kind: 'not-storable'}, () => fail('not-storable'))
		.with({kind: 'unknown'}, () => fail('submission-unknown'))
		.with({kind: 'moved'}, () => fail('queue-moved'))
		.with({kind: 'rejected'}, ({reason, retryAfterMs}) => ({
			...fail(rejectionKinds[reason]),
			retryAfterMs,
		}))
		.with({kind: 'store-slow'}, ({retryAfterMs}) => ({
			...fail('store-unavailable'),
			retryAfterMs,
		}))
		.exhaustive();

/** A call under way, for its log line. */
type CallRecord = {
	readonly call: string;
	/** Id of the job, or name of the queue. */
	readonly id: string;
	readonly caller: Caller;
	readonly startedAt: number;
};

export const createJobService = (deps: JobServiceDeps): JobService => {
	const {routes, owners, store, clock, logger, metrics} = deps;
	const submitToHome = createHomeSubmission(deps);

	/** Lists the shards that may hold jobs of a queue, the present one first. */
	const listShards = ({name, service}: QueueRoute): readonly string[] =>
		deps.history
			.listServices(name, service)
			.map((each) => getServiceShard(each));

	const cancellation = createJobCancellation({...deps, listShards});

	const beginCall = (
		call: string,
		id: string,
		caller: Caller = anyCaller,
	): CallRecord => ({call, id, caller, startedAt: clock.now()});

	/** Logs and counts the outcome of a call. */
	const recordCall = <Value>(
		{call, id, startedAt, caller}: CallRecord,
		result: JobResult<Value>,
	): JobResult<Value> => {
		const outcome = result.ok ? 'ok' : result.error;
		const tookMs = Math.round(clock.now() - startedAt);
		const team = caller.kind === 'team' ? caller.team : undefined;
		metrics.count('calls', `${call}:${outcome}`);
		if (team !== undefined && !result.ok) {
			metrics.count('team_calls_failed', `${team}:${outcome}`);
		}

		metrics.record(
			histogramNames.call satisfies HistogramName,
			call,
			clock.now() - startedAt,
		);
		logger.info('call answered', {
			call,
			job: id,
			team,
			outcome,
			tookMs,
			configuration: routes.get()?.version,
		});
		return result;
	};

	/** Replaces a result that its caller must not get any more. */
	const verifyResult = <Value>(
		caller: Caller,
		result: JobResult<Value>,
	): JobResult<Value> => {
		const verified = deps.access.verify(caller);
		return verified.ok ? result : verified;
	};

	/** Whether a job has a task that the cap of its team never lets run. */
	const isOverCap = (caller: Caller, {steps}: scheduler.JobSpec): boolean => {
		const team =
			caller.kind === 'team' ? routes.getTeam(caller.team) : undefined;
		return (
			team !== undefined &&
			steps.some(({resources}) => !teams.isWithinCap(resources, team.cap))
		);
	};

	const submit: JobService['submit'] = async (
		route,
		{id, spec},
		deadline,
		caller = anyCaller,
	) => {
		const record = beginCall('submit', id, caller);
		const verified = deps.access.verify(caller);
		if (!verified.ok) {
			return recordCall(record, verified);
		}

		if (isOverCap(caller, spec)) {
			return recordCall(record, fail('over-cap'));
		}

		const job: scheduler.AcceptedJob = {
			id,
			policy: toPolicy(route),
			spec,
			team: caller.kind === 'team' ? caller.team : undefined,
			acceptedAtEpochMs: clock.epochNow(),
		};
		const send = async (mayBeRejected: boolean) =>
			(mayBeRejected ? await findAccepted(route, job) : undefined) ??
			submitToHome(route, job, deadline, mayBeRejected);
		const outcome = deps.guard
			? await deps.guard.submit({
					job,
					shards: listShards(route),
					deadline,
					send,
				})
			: await send(false);
		const result = toResult(outcome);
		// The job may be stored, so it must not be reported as not accepted.
		const unverified: typeof result = fail('submission-unknown');
		const isVerified = !result.ok || deps.access.verify(caller).ok;
		return recordCall(record, isVerified ? result : unverified);
	};

	/**
	 * Finds a job that was accepted before its queue moved, so that no owner
	 * rejects it. Whoever stores the job looks for it again.
	 */
	const findAccepted = async (
		route: QueueRoute,
		job: scheduler.AcceptedJob,
	): Promise<SubmitOutcome | undefined> =>
		findAcceptedBefore(
			store,
			job,
			deps.history.listServices(route.name, route.service).slice(1),
			periods.storeTimeoutMs,
		);

	/** Reads the state from the store, for a job that the owner does not report. */
	const readStored = async (
		route: QueueRoute,
		shard: string,
		id: string,
		caller: Caller,
	): Promise<JobResult<scheduler.JobState>> => {
		const [jobRows, progressRows] = await Promise.all([
			readJobRows(store, {shard, id}, periods.storeTimeoutMs),
			store.read(
				{table: tables.progress, part: shard, from: id, to: getKeyAfter(id)},
				periods.storeTimeoutMs,
			),
		]);
		if (!jobRows.ok || !progressRows.ok) {
			return fail('job-unread');
		}

		const job = jobRows.value.rows.find(({key}) => key === id);
		if (!job || !isVisible(job, route.name, caller)) {
			return fail('unknown-job');
		}

		const isCancelled = jobRows.value.rows.some(
			({key}) => key === getCancelKey(id),
		);
		return succeed(toState(progressRows.value.rows[0], isCancelled));
	};

	const readFrom = async (
		route: QueueRoute,
		shard: string,
		id: string,
		caller: Caller,
	): Promise<JobResult<scheduler.JobState>> => {
		const reading = await owners.readJob(shard, route.name, id);
		if (reading.kind === 'state') {
			return maySeeJob(caller, reading) ? succeed(reading.state) : unknownJob;
		}

		// The owner may not have received the job yet.
		return readStored(route, shard, id, caller);
	};

	/**
	 * Asks the shards that may hold a job. Before it answers `unknown-job`, it
	 * reloads the queue's history, which other entries extend.
	 */
	const findInShards = async <Value>(
		route: QueueRoute,
		ask: (shard: string) => Promise<JobResult<Value>>,
	): Promise<JobResult<Value>> => {
		const known = listShards(route);
		const first = await askShards(known, ask);
		if (!isUnknown(first)) {
			return first;
		}

		if (!(await deps.history.load())) {
			return fail('job-unread');
		}

		const added = listShards(route).filter((each) => !known.includes(each));
		return askShards(added, ask);
	};

	const readState: JobService['readState'] = async (
		route,
		id,
		caller = anyCaller,
	) => {
		const record = beginCall('state', id, caller);
		const result = await findInShards(route, async (shard) =>
			readFrom(route, shard, id, caller),
		);
		return recordCall(record, verifyResult(caller, result));
	};

	const cancel: JobService['cancel'] = async (
		route,
		id,
		deadline,
		caller = anyCaller,
	) => {
		const record = beginCall('cancel', id, caller);
		const verified = deps.access.verify(caller);
		const result = verified.ok
			? await cancellation.cancelAnywhere(route, id, deadline, caller)
			: verified;
		return recordCall(record, result);
	};

	const countPending: JobService['countPending'] = async (route) => {
		const record = beginCall('pending', route.name);
		if (!(await deps.history.refresh())) {
			return recordCall(record, fail('job-unread'));
		}

		const counts = await Promise.all(
			listShards(route).map(async (shard) =>
				owners.countPending(shard, route.name),
			),
		);
		let pending = 0;
		for (const count of counts) {
			if (count === undefined) {
				return recordCall(record, fail('job-unread'));
			}

			pending += count;
		}

		return recordCall(record, succeed(pending));
	};

	const cancelHere: JobService['cancel'] = async (
		route,
		id,
		deadline,
		caller = anyCaller,
	) => cancellation.cancelHere(route, id, deadline, caller);

	return {submit, readState, cancel, cancelHere, countPending};
};
