/**
 * Starts without an answer on executors that no longer answer. Such a start may
 * be carried out until `maxLateMs` after it was sent, also by an incarnation that
 * starts in between: that one has seen no fencing token, and by its clock the
 * lease of the start may last for `getMaxStrayLeaseMs`. So its task starts nowhere
 * else before, unless the executor answers. Later owners learn of these starts
 * from the roster.
 */
import type {SchedulerConfig} from './config.js';
import type {Executor} from './executor.js';
import {getMaxStrayLeaseMs} from './leases.js';
import type {Owner} from './owner-state.js';
import type {Run} from './task.js';

/** A start that may be carried out yet, as the roster stores it. */
export type UnansweredStart = {
	readonly taskId: string;
	/** When commands were last sent that may have an effect on it. */
	readonly sentAt: number;
};

/**
 * Whether the registry may have shown another incarnation since then unseen:
 * executors are listed as they start, and dropped once they have been silent.
 */
export const hadRegistryGap = (
	{registryGapAt}: Pick<Owner, 'registryGapAt'>,
	since: number,
): boolean => registryGapAt !== undefined && registryGapAt >= since;

/** Returns by when a command is carried out that was sent then, if at all. */
const getCarriedOutBy = (
	{maxTransitMs, maxLateMs}: SchedulerConfig,
	sentAt: number,
): number => sentAt + maxTransitMs + maxLateMs;

/**
 * Returns by when the leases have expired that late commands may bring to the
 * next incarnation of an executor, if none were sent after `sentAt`.
 */
export const getLateLeasesEnd = (
	cfg: SchedulerConfig,
	sentAt: number,
): number => getCarriedOutBy(cfg, sentAt) + getMaxStrayLeaseMs(cfg);

/** An executor that is silent is sent no more leases. */
export const getLastSentAt = (
	{unresponsiveSince}: Pick<Executor, 'unresponsiveSince'>,
	{askedAt}: Pick<Run, 'askedAt'>,
): number => Math.max(askedAt, unresponsiveSince ?? askedAt);

/** Whether another incarnation may have started since a command was sent. */
const mayHaveRestarted = (
	owner: Owner,
	{strayLeasesUntil}: Pick<Executor, 'strayLeasesUntil'>,
	sentAt: number,
): boolean => strayLeasesUntil > sentAt || hadRegistryGap(owner, sentAt);

/**
 * Whether a start that was sent to a silent executor may be carried out yet, or
 * may have been by an incarnation that the registry has shown. Executors that do
 * not report their start have another id after a crash.
 */
const mayTakeEffect = (
	owner: Owner,
	executor: Executor,
	sentAt: number,
	now: number,
): boolean => {
	const {cfg, registryReadAt} = owner;
	if (executor.fencedStartedAtEpochMs === undefined) {
		return false;
	}

	if (mayHaveRestarted(owner, executor, sentAt)) {
		return now < getLateLeasesEnd(cfg, sentAt);
	}

	const listedBy = getCarriedOutBy(cfg, sentAt) + cfg.maxListingDelayMs;
	return Math.min(now, registryReadAt) < listedBy;
};

/**
 * Whether nothing has shown that a run has begun. One that a stop has barred has
 * no answer either: another incarnation does not know of the stop. Copies of a
 * task may run beside each other.
 */
const isUnanswered = ({state, wasSeen, confirmedAt, task}: Run): boolean =>
	!wasSeen &&
	(confirmedAt === undefined || state === 'barring') &&
	!task.step.spec.allowsCopies;

/** Whether the start of a run may take effect on a silent executor. */
export const mayStartLate = (
	owner: Owner,
	executor: Executor,
	run: Run,
	now: number,
): boolean =>
	isUnanswered(run) &&
	mayTakeEffect(owner, executor, getLastSentAt(executor, run), now);

/** Lists the starts on an executor that have no answer by now. */
export const listUnansweredStarts = (
	{inheritedStarts}: Pick<Owner, 'inheritedStarts'>,
	executor: Executor,
): readonly UnansweredStart[] => {
	const own = [...executor.runs.values()]
		.filter((run) => run.state !== 'asked' && isUnanswered(run))
		.map((run) => ({
			taskId: run.task.id,
			sentAt: getLastSentAt(executor, run),
		}));
	return [...(inheritedStarts.get(executor.id) ?? []), ...own];
};

const areEqual = (
	some: readonly UnansweredStart[],
	others: readonly UnansweredStart[],
): boolean =>
	some.length === others.length &&
	some.every(
		({taskId, sentAt}, index) =>
			taskId === others[index]?.taskId && sentAt === others[index].sentAt,
	);

/** Has the roster stored if it lacks starts without an answer, or has old ones. */
export const noteUnansweredStarts = (owner: Owner): void => {
	for (const executor of owner.executors.values()) {
		owner.isRosterDirty ||= !areEqual(
			executor.rosteredStarts,
			listUnansweredStarts(owner, executor),
		);
	}
};

/**
 * Counts the starts under way as unanswered, before the service has another
 * owner, which learns of no answer.
 */
export const giveUpAnswers = (owner: Owner): void => {
	for (const {runs} of owner.executors.values()) {
		for (const run of runs.values()) {
			run.state = run.state === 'asked' ? 'unsettled' : run.state;
		}
	}

	noteUnansweredStarts(owner);
};

/** Sets the starts of earlier owners, as the stored roster names them. */
export const inheritStarts = (
	owner: Owner,
	executorId: string,
	starts: readonly UnansweredStart[],
): void => {
	if (starts.length > 0) {
		owner.inheritedStarts.set(executorId, starts);
	} else {
		owner.inheritedStarts.delete(executorId);
	}

	owner.possiblyStarted = new Set(
		[...owner.inheritedStarts.values()].flat().map(({taskId}) => taskId),
	);
};

/**
 * Forgets the starts of earlier owners on an executor that has answered a poll:
 * it lists those that it has carried out, and refuses the others.
 */
export const settleInheritedStarts = (
	owner: Owner,
	executorId: string,
): void => {
	if (owner.inheritedStarts.has(executorId)) {
		inheritStarts(owner, executorId, []);
	}
};

/** Forgets the starts of earlier owners that can have no effect any more. */
export const expireInheritedStarts = (owner: Owner, now: number): void => {
	for (const [id, starts] of owner.inheritedStarts) {
		const executor = owner.executors.get(id);
		const left = starts.filter(
			({sentAt}) => executor && mayTakeEffect(owner, executor, sentAt, now),
		);
		if (left.length < starts.length) {
			inheritStarts(owner, id, left);
		}
	}
};

/** Counts the starts that may be carried out yet on silent executors. */
export const countUnansweredStarts = (owner: Owner): number => {
	let count = 0;
	for (const executor of owner.executors.values()) {
		if (executor.unresponsiveSince !== undefined) {
			count += listUnansweredStarts(owner, executor).length;
		}
	}

	return count;
};
