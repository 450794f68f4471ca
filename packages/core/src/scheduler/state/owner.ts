/**
 * Jobs and executors of a service as its owner tracks them. The next owner
 * rebuilds this state from the store and the executors; see
 * docs/design/platform-programs.md.
 */
import {noArrivals, recordArrival} from '../load/arrivals.js';
import {
	recordPossibleLoss,
	rememberIdleLoss,
} from '../polls/crash-attribution.js';
import {
	noteUnlisted,
	settleByRegistry,
	type SettledLoss,
} from '../polls/possible-losses.js';
import {getFirstToken} from '../../shards/shard-lease.js';
import {initialStartWindow} from '../plan/start-window.js';
import {createRunTimes} from '../run-times/model.js';
import {getTotalWork} from '../run-times/work.js';
import {recordTeamArrival} from '../ranking/team-rate.js';
import {createSpeedMemory} from '../executor-speed/speed-memory.js';
import {createRoomShares} from '../team-shares/room-shares.js';
import type {SchedulerConfig} from './config.js';
import {createExecutor, removeRun, type Executor} from './executor.js';
import type {EndedJob} from './job-ends.js';
import {haveLeasesExpired} from './leases.js';
import type {Owner} from './owner-state.js';
import {
	getInheritedLeasesEnd,
	keepFencing,
	limitStrayLeases,
	mayBeOnNextIncarnation,
	noteListedIncarnation,
	notePossibleRestart,
} from './restart-fence.js';
import {
	createJob,
	isLongRunningJob,
	listTasks,
	type Job,
	type Run,
} from './task.js';
import type {AcceptedJob, ListedExecutor} from './types.js';
import type {RosterEntry} from './suspected-executors.js';
import {
	expireInheritedStarts,
	inheritStarts,
	noteUnansweredStarts,
} from './unanswered-starts.js';
import {giveUpUnread} from './unread-ends.js';

/**
 * Creates the state of an owner that has just taken over a service, with the
 * token of its lease.
 */
export const createOwner = (
	service: string,
	token: number,
	cfg: SchedulerConfig,
	now: number,
): Owner => ({
	cfg,
	service,
	token: getFirstToken(token),
	takenOverAt: now,
	jobs: new Map(),
	openJobs: new Set(),
	executors: new Map(),
	removedExecutors: new Map(),
	isRegistryRead: true,
	isRegistryCurrent: true,
	registryGapAt: undefined,
	registryReadAt: Number.POSITIVE_INFINITY,
	areListingsRecent: true,
	reservations: new Map(),
	unresolvedExecutors: new Map(),
	unreadExecutors: new Map(),
	inheritedStarts: new Map(),
	possiblyStarted: new Set(),
	dirtyJobs: new Set(),
	crashSuspects: new Set(),
	suspectHolds: new Map(),
	possibleLosses: new Map(),
	incompleteGangs: new Map(),
	recentLosses: [],
	isRosterDirty: false,
	flushNumber: 1,
	flushingJobs: new Set(),
	advice: new Map(),
	adviceWishes: new Map(),
	arrivals: noArrivals,
	startWindow: initialStartWindow,
	capLimits: new Map(),
	teamWeights: new Map(),
	teamRates: new Map(),
	speeds: createSpeedMemory(),
	runTimes: createRunTimes(),
	roomShares: createRoomShares(),
	meanWork: new Map(),
});

const recordWork = (owner: Owner, job: Job): void => {
	const {queue} = job.accepted.policy;
	const mean = owner.meanWork.get(queue) ?? {count: 0, sum: 0};
	mean.count += 1;
	mean.sum += getTotalWork(owner, job);
	owner.meanWork.set(queue, mean);
};

/** Adds a job. Adding a known job has no effect. */
export const addJob = (
	owner: Owner,
	accepted: AcceptedJob,
	isInherited: boolean,
	now: number = owner.takenOverAt,
): Job => {
	const known = owner.jobs.get(accepted.id);
	if (known) {
		return known;
	}

	const job = createJob(accepted, isInherited);
	owner.jobs.set(accepted.id, job);
	owner.openJobs.add(job);
	recordWork(owner, job);
	if (!isInherited && !isLongRunningJob(job)) {
		owner.arrivals = recordArrival(
			owner.arrivals,
			getTotalWork(owner, job),
			now,
		);
		recordTeamArrival(owner, job, now);
	}

	return job;
};

/** Counts the jobs of a queue that have not started a task. */
export const countPending = (owner: Owner, queue: string): number =>
	[...owner.openJobs].filter(
		(job) => job.accepted.policy.queue === queue && !job.hasStarted,
	).length;

/**
 * An executor that waits for acknowledgements stays in the roster: its ends
 * may not be stored yet, and the next owner only polls executors of the roster.
 */
const canRemove = (executor: Executor): boolean =>
	!executor.isListed && executor.runs.size === 0 && !executor.hasListedEnds;

/** What earlier owners have started there is not known yet. */
const isUnresolved = (
	{unresolvedExecutors, inheritedStarts}: Owner,
	id: string,
): boolean => unresolvedExecutors.has(id) || inheritedStarts.has(id);

const removeIfUnused = (owner: Owner, executor: Executor): void => {
	if (canRemove(executor) && !isUnresolved(owner, executor.id)) {
		owner.executors.delete(executor.id);
		keepFencing(owner, executor);
		owner.isRosterDirty ||= executor.isRostered;
	}
};

const createOwnedExecutor = (
	{reservations, removedExecutors}: Owner,
	listed: ListedExecutor,
): Executor => ({
	...createExecutor(listed),
	...removedExecutors.get(listed.id),
	reservedUntil: reservations.get(listed.id),
	mayBeCommanded: reservations.has(listed.id),
});

/** Records an executor as the registry lists it. */
export const recordListedExecutor = (
	owner: Owner,
	listed: ListedExecutor,
	now: number,
): void => {
	const known = owner.executors.get(listed.id);
	const executor = known ?? createOwnedExecutor(owner, listed);
	executor.listed = listed;
	executor.isListed = true;
	executor.wasUnlisted = false;
	noteListedIncarnation(owner, executor, listed.startedAtEpochMs, now);
	if (!known) {
		owner.executors.set(listed.id, executor);
		owner.removedExecutors.delete(listed.id);
		owner.isRosterDirty = true;
	}
};

/**
 * Records that the registry no longer lists an executor. Its runs are assumed
 * to continue until it answers, a new incarnation appears or its leases expire.
 */
export const recordUnlistedExecutor = (
	owner: Owner,
	id: string,
	now: number,
): void => {
	const executor = owner.executors.get(id);
	if (executor) {
		rememberIdleLoss(owner, executor, now);
		executor.isListed = false;
		executor.wasUnlisted = true;
		noteUnlisted(owner, id);
		removeIfUnused(owner, executor);
	}
};

/** An executor of an earlier owner that has not answered this one. */
export type OutwaitedExecutor = {
	readonly id: string;
	/** The incarnation in the roster that the earlier owner has stored. */
	readonly startedAtEpochMs: number | undefined;
	/** The incarnation that the registry lists; absent if it lists none. */
	readonly listedStartedAtEpochMs: number | undefined;
	/** Time since the takeover. */
	readonly waitedMs: number;
	/** Whether it may have restarted, so that stray leases were waited for. */
	readonly mayHaveRestarted: boolean;
};

/** Runs lost with their executors, and the jobs that fail thereby. */
export type LostRuns = {
	readonly runs: readonly Run[];
	/** Executors on which all inherited leases have expired. */
	readonly outwaited: readonly OutwaitedExecutor[];
	/** Executors of which it is known by now what became of them. */
	readonly settledLosses: readonly SettledLoss[];
	readonly jobEnds: readonly EndedJob[];
};

/** Removes the runs of an executor whose leases have expired; it may live. */
const loseUnresponsive = (
	owner: Owner,
	executor: Executor,
	now: number,
): readonly Run[] => {
	const runs = [...executor.runs.values()].filter(
		(run) => !mayBeOnNextIncarnation(owner, executor, run, now),
	);
	if (runs.length > 0) {
		recordPossibleLoss(owner, executor, runs, {now});
	} else if (!executor.isListed) {
		rememberIdleLoss(owner, executor, now);
	}

	for (const run of runs) {
		removeRun(executor, run);
	}

	return runs;
};

const listIdsAt = ({executors}: Owner, address: string): ReadonlySet<string> =>
	new Set(
		[...executors.values()]
			.filter(({listed}) => listed.address === address)
			.map(({id}) => id),
	);

/** Records that a call to an executor had no answer. */
export const markUnresponsive = (
	owner: Owner,
	id: string,
	now: number,
): void => {
	const executor = owner.executors.get(id);
	if (executor && executor.unresponsiveSince === undefined) {
		executor.unresponsiveSince = now;
		executor.neighborIds = listIdsAt(owner, executor.listed.address);
	}
};

/**
 * Adds an executor on which an earlier owner may have started tasks. They may
 * run there until it answers, is replaced or its leases expire at
 * `leasesEndAt`. The rest is set if the stored roster says so.
 */
export const inheritExecutor = (
	owner: Owner,
	listed: ListedExecutor,
	leasesEndAt: number,
	{
		suspectedSince,
		strayLeasesUntil = Number.NEGATIVE_INFINITY,
		unansweredStarts = [],
	}: Partial<Omit<RosterEntry, 'listed'>> = {},
): void => {
	const executor = createOwnedExecutor(owner, listed);
	executor.suspectedSince = suspectedSince;
	executor.strayLeasesUntil = strayLeasesUntil;
	executor.isSuspicionSent = suspectedSince !== undefined;
	// The next owner only trusts marks that this owner has stored itself.
	owner.isRosterDirty ||= suspectedSince !== undefined;
	// The stored roster contains it already.
	executor.isRostered = true;
	executor.isListed = false;
	owner.executors.set(listed.id, executor);
	owner.unresolvedExecutors.set(listed.id, leasesEndAt);
	inheritStarts(owner, listed.id, unansweredStarts);
};

/**
 * Shortens the inherited leases once the previous owner has released the
 * service: they expire at `leasesEndAt` at the latest.
 */
export const limitInheritedLeases = (
	owner: Owner,
	leasesEndAt: number,
): void => {
	for (const [id, known] of owner.unresolvedExecutors) {
		const executor = owner.executors.get(id);
		owner.unresolvedExecutors.set(id, Math.min(known, leasesEndAt));
		if (executor) {
			limitStrayLeases(owner, executor, leasesEndAt);
		}
	}
};

/**
 * Records the inherited executors that the registry does not list when it is
 * first read after the takeover. Their entries have lapsed, so they may have
 * restarted unseen before.
 */
export const noteUnlistedInherited = (owner: Owner): void => {
	owner.isRegistryRead = true;
	for (const id of owner.unresolvedExecutors.keys()) {
		const executor = owner.executors.get(id);
		const mayHaveRestarted =
			executor?.fencedStartedAtEpochMs !== undefined && !executor.isListed;
		if (mayHaveRestarted) {
			notePossibleRestart(owner, executor);
		}
	}
};

const describeOutwaited = (
	owner: Owner,
	{id, leasesEndAt}: {readonly id: string; readonly leasesEndAt: number},
	now: number,
): OutwaitedExecutor => {
	const executor = owner.executors.get(id);
	return {
		id,
		startedAtEpochMs: executor?.fencedStartedAtEpochMs,
		listedStartedAtEpochMs: executor?.isListed
			? executor.listed.startedAtEpochMs
			: undefined,
		waitedMs: now - owner.takenOverAt,
		mayHaveRestarted:
			getInheritedLeasesEnd(owner, id, leasesEndAt) > leasesEndAt,
	};
};

const removeByIdIfUnused = (owner: Owner, id: string): void => {
	const executor = owner.executors.get(id);
	if (executor) {
		removeIfUnused(owner, executor);
	}
};

/**
 * Removes the runs of unresponsive executors whose leases have expired, and
 * executors that are unlisted and unused. Settles what became of those that were
 * lost before.
 */
export const expireLeases = (owner: Owner, now: number): LostRuns => {
	// Before executors count as resolved, since nothing was acknowledged so far.
	giveUpUnread(owner, now);
	if (owner.isRegistryRead && !owner.isRegistryCurrent) {
		owner.registryGapAt = now;
	}

	const outwaited: OutwaitedExecutor[] = [];
	for (const [id, leasesEndAt] of owner.unresolvedExecutors) {
		if (now >= getInheritedLeasesEnd(owner, id, leasesEndAt)) {
			outwaited.push(describeOutwaited(owner, {id, leasesEndAt}, now));
			owner.unresolvedExecutors.delete(id);
			removeByIdIfUnused(owner, id);
		}
	}

	expireInheritedStarts(owner, now);
	const lost: Run[] = [];
	for (const executor of owner.executors.values()) {
		if (
			executor.unresponsiveSince !== undefined &&
			haveLeasesExpired(executor, now)
		) {
			lost.push(...loseUnresponsive(owner, executor, now));
			if (executor.runs.size === 0) {
				// Its state is unknown until it answers a poll again.
				executor.isAdopted = false;
				executor.hasListedEnds = false;
				owner.unreadExecutors.delete(executor.id);
				removeIfUnused(owner, executor);
			}
		} else if (executor.wasUnlisted) {
			// If it stayed in the roster, the next owner would wait for it.
			removeIfUnused(owner, executor);
		}
	}

	noteUnansweredStarts(owner);
	const {losses, jobEnds} = settleByRegistry(owner, now);
	return {runs: lost, outwaited, settledLosses: losses, jobEnds};
};

/** Lists ended jobs past their retention time, at most `limit` of them. */
export const listExpiredJobs = (
	owner: Owner,
	now: number,
	limit: number,
): readonly string[] => {
	const expired: string[] = [];
	for (const [id, job] of owner.jobs) {
		if (expired.length >= limit) {
			break;
		}

		const isExpired =
			job.storedEnd !== undefined &&
			job.endedAt !== undefined &&
			now - job.endedAt > owner.cfg.keepEndedMs;
		if (isExpired && job.split && job.split.ranges.size > 0) {
			// The rows of its ranges are removed first, by a flush.
			owner.dirtyJobs.add(job);
		} else if (
			isExpired &&
			![...listTasks(job)].some(({runs}) => runs.length > 0)
		) {
			expired.push(id);
		}
	}

	return expired;
};
