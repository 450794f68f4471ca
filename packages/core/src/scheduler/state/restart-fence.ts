/**
 * Executors that start again under their id. Commands name the id only, so the
 * next incarnation takes those that were sent for the one before, also seconds
 * later: it knows no fencing token, and the ends of their leases are times of
 * another clock.
 *
 * Once the owner knows of a restart, it raises its fencing token for that
 * executor. The answer of the next incarnation to a poll with the raised token
 * shows all that it has taken so far, and it refuses all earlier commands from
 * then on: it is fenced. What such commands have granted may last for
 * `getMaxStrayLeaseMs` from that answer. Nothing starts there before, and the
 * roster passes both on to later owners. What may be carried out on one that does
 * not answer is in unanswered-starts.ts.
 */
import {tokensPerHolder} from '../../shards/shard-lease.js';
import type {SchedulerConfig} from './config.js';
import {restartPhases, type Executor, type RestartPhase} from './executor.js';
import {isLaterIncarnation} from './incarnation.js';
import {getMaxLeaseDurationMs, getMaxStrayLeaseMs} from './leases.js';
import type {Owner} from './owner-state.js';
import type {Run} from './task.js';
import {
	getLastSentAt,
	getLateLeasesEnd,
	hadRegistryGap,
	mayStartLate,
} from './unanswered-starts.js';

const maxTokenRaise = tokensPerHolder - 1;

/** Returns the fencing token that commands to an executor carry. */
export const getFencingToken = (
	{token}: Pick<Owner, 'token'>,
	{tokenRaise}: Pick<Executor, 'tokenRaise'>,
): number => token + Math.min(tokenRaise, maxTokenRaise);

/**
 * Whether the executor has restarted more often than its owner has tokens for,
 * so that only a later owner can fence it.
 */
export const areTokensUsedUp = ({
	tokenRaise,
}: Pick<Executor, 'tokenRaise'>): boolean => tokenRaise > maxTokenRaise;

/**
 * Raises the token for an executor that refuses the present one, though no later
 * owner exists: one of another service may have raised its own there. Returns
 * whether there was a higher one to try.
 */
export const raiseRefusedFencingToken = (executor: Executor): boolean => {
	const tokenRaise = 2 * executor.tokenRaise + 2;
	if (tokenRaise > maxTokenRaise) {
		return false;
	}

	executor.tokenRaise = tokenRaise;
	executor.isFenced = false;
	return true;
};

const extendStrayLeases = (executor: Executor, until: number): void => {
	executor.strayLeasesUntil = Math.max(executor.strayLeasesUntil, until);
};

/** Returns by when stray leases expire whose commands were sent until `at`. */
const getStrayLeasesEnd = (cfg: SchedulerConfig, at: number): number =>
	at + cfg.maxTransitMs + getMaxStrayLeaseMs(cfg);

/**
 * Returns by when stray leases expire of owners whose other leases expire by
 * `leasesEndAt`.
 */
const getInheritedStrayEnd = (
	cfg: SchedulerConfig,
	leasesEndAt: number,
): number => getStrayLeasesEnd(cfg, leasesEndAt - getMaxLeaseDurationMs(cfg));

/** Counts the executors on which stray leases may last. */
export const countStrayLeases = ({executors}: Owner, now: number): number =>
	[...executors.values()].filter(({strayLeasesUntil}) => now < strayLeasesUntil)
		.length;

/** What is kept of an executor that is removed, until it is listed again. */
export type KeptFencing = Pick<
	Executor,
	| 'fencedStartedAtEpochMs'
	| 'restart'
	| 'restartedAtEpochMs'
	| 'tokenRaise'
	| 'strayLeasesUntil'
>;

/** Removed executors of which something is kept. */
const maxKept = 1000;

/** Keeps what commands to an executor that is removed may yet do. */
export const keepFencing = (
	{removedExecutors}: Owner,
	{
		id,
		fencedStartedAtEpochMs,
		restart,
		restartedAtEpochMs,
		tokenRaise,
		strayLeasesUntil,
	}: Executor,
): void => {
	removedExecutors.delete(id);
	removedExecutors.set(id, {
		fencedStartedAtEpochMs,
		restart,
		restartedAtEpochMs,
		tokenRaise,
		strayLeasesUntil,
	});
	const [oldest] = removedExecutors.keys();
	if (oldest !== undefined && removedExecutors.size > maxKept) {
		removedExecutors.delete(oldest);
	}
};

/** What shows that an executor has started again. */
export type RestartSign = {
	/** Start of the next incarnation; absent if it is not known. */
	readonly startedAtEpochMs: number | undefined;
	readonly phase: Exclude<RestartPhase, 'none'>;
};

/**
 * Records that another incarnation was shown, and raises the token against all
 * commands sent so far.
 */
export const noteRestart = (
	owner: Owner,
	executor: Executor,
	{startedAtEpochMs, phase}: RestartSign,
	now: number,
): void => {
	executor.tokenRaise += 1;
	executor.isFenced = false;
	executor.restart = phase;
	executor.restartedAtEpochMs = startedAtEpochMs;
	// A former owner may start tasks there until a stored roster shows that this
	// one still holds the service.
	executor.isRostered = false;
	owner.isRosterDirty = true;
	extendStrayLeases(executor, getStrayLeasesEnd(owner.cfg, now));
	const inheritedEnd = owner.unresolvedExecutors.get(executor.id);
	if (inheritedEnd !== undefined) {
		extendStrayLeases(executor, getInheritedStrayEnd(owner.cfg, inheritedEnd));
	}
};

/**
 * Returns by when all leases of earlier owners have expired on an executor that
 * has not answered, if those by the clock of its incarnation expire by
 * `leasesEndAt`.
 */
export const getInheritedLeasesEnd = (
	owner: Owner,
	id: string,
	leasesEndAt: number,
): number => {
	const executor = owner.executors.get(id);
	if (!executor) {
		return leasesEndAt;
	}

	const isUnseen =
		executor.fencedStartedAtEpochMs !== undefined &&
		(!owner.isRegistryRead || hadRegistryGap(owner, owner.takenOverAt));
	return Math.max(
		leasesEndAt,
		executor.strayLeasesUntil,
		isUnseen ? getInheritedStrayEnd(owner.cfg, leasesEndAt) : leasesEndAt,
	);
};

/** Whether renewals for a former incarnation may lengthen the lease of a run. */
const mayBeRenewedLate = (
	{cfg}: Owner,
	executor: Executor,
	run: Run,
	now: number,
): boolean =>
	executor.restart === restartPhases.answered &&
	now < getLateLeasesEnd(cfg, getLastSentAt(executor, run));

/**
 * Whether a run may go on after the leases by the clock of an unresponsive
 * executor have expired: the next incarnation may have taken a start that the
 * one before has not answered, or may take it yet.
 */
export const mayBeOnNextIncarnation = (
	owner: Owner,
	executor: Executor,
	run: Run,
	now: number,
): boolean => {
	const {restart, strayLeasesUntil} = executor;
	const endsWithFormer = restart === restartPhases.shown && run.wasSeen;
	return (
		(now < strayLeasesUntil && !endsWithFormer) ||
		mayBeRenewedLate(owner, executor, run, now) ||
		mayStartLate(owner, executor, run, now)
	);
};

/**
 * Shortens what was assumed of stray leases of earlier owners, whose other leases
 * expire by `leasesEndAt`.
 */
export const limitStrayLeases = (
	{cfg}: Owner,
	executor: Executor,
	leasesEndAt: number,
): void => {
	executor.strayLeasesUntil = Math.min(
		executor.strayLeasesUntil,
		getInheritedStrayEnd(cfg, leasesEndAt),
	);
};

/**
 * Records that an inherited executor may have restarted before its entry in the
 * registry lapsed. It has been silent since, so that all stray leases there are
 * of commands that earlier owners had sent by then.
 */
export const notePossibleRestart = (owner: Owner, executor: Executor): void => {
	const inheritedEnd = owner.unresolvedExecutors.get(executor.id);
	if (inheritedEnd !== undefined) {
		extendStrayLeases(executor, getInheritedStrayEnd(owner.cfg, inheritedEnd));
		owner.isRosterDirty = true;
	}
};

/** Records a restart that the registry shows before the executor has answered. */
export const noteListedIncarnation = (
	owner: Owner,
	executor: Executor,
	startedAtEpochMs: number | undefined,
	now: number,
): void => {
	const known =
		executor.restartedAtEpochMs ??
		executor.incarnation?.startedAtEpochMs ??
		executor.fencedStartedAtEpochMs;
	if (isLaterIncarnation(startedAtEpochMs, known)) {
		const phase = restartPhases.shown;
		noteRestart(owner, executor, {startedAtEpochMs, phase}, now);
	}
};

/** An answer to a poll, as far as it tells whether the executor is fenced. */
export type FencingAnswer = {
	readonly startedAtEpochMs?: number | undefined;
	/** Fencing token that the poll carried. */
	readonly fencingToken: number;
	readonly receivedAt: number;
	/** Whether commands of owners before may have brought leases unseen. */
	readonly hasUnknownOrigin: boolean;
};

/**
 * Fences an incarnation that has answered a poll with the present token. All
 * that earlier commands have brought was granted before that answer.
 */
export const fenceIncarnation = (
	owner: Owner,
	executor: Executor,
	{startedAtEpochMs, fencingToken, receivedAt, ...answer}: FencingAnswer,
): void => {
	const isCurrent =
		fencingToken === getFencingToken(owner, executor) &&
		!areTokensUsedUp(executor);
	if (executor.isFenced || !isCurrent) {
		return;
	}

	const fenced = executor.fencedStartedAtEpochMs;
	const isOther =
		startedAtEpochMs === undefined || fenced === undefined
			? executor.restart !== restartPhases.none
			: startedAtEpochMs !== fenced;
	executor.isFenced = true;
	executor.restart = restartPhases.none;
	executor.fencedStartedAtEpochMs = startedAtEpochMs;
	executor.restartedAtEpochMs = undefined;
	// The roster names the incarnation.
	owner.isRosterDirty ||= startedAtEpochMs !== fenced;
	if (isOther || answer.hasUnknownOrigin) {
		executor.strayLeasesUntil = receivedAt + getMaxStrayLeaseMs(owner.cfg);
		owner.isRosterDirty = true;
	}
};
