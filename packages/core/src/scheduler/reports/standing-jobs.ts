/**
 * Jobs that stand: nothing of them runs though a task could, with the reason
 * and since when. For the log and the metrics of their owner.
 */
import {match} from 'ts-pattern';
import {
	listUsable,
	placeTask,
	type PlacementRefusal,
} from '../placement/place-task.js';
import {
	isAdviceMissing,
	listAdvisedExecutors,
	needsAdvice,
} from '../placement/placement-advice.js';
import {countPendingStarts, countStartsLeft} from '../plan/starts-left.js';
import {isCrashSuspect} from '../polls/crash-evidence.js';
import {maxEndsPerPoll} from '../polls/poll-answer.js';
import {
	computeTeamUse,
	mayTeamStart,
	type TeamUse,
} from '../ranking/team-use.js';
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {getOldestUnacked} from '../state/flush.js';
import {isLocationKnown} from '../state/task-location.js';
import {
	isStepReady,
	isWaiting,
	type Job,
	type Run,
	type Step,
	type Task,
} from '../state/task.js';

/** Why nothing of a job runs. */
export const standingReasons = {
	/** The owner may not send commands: its lease is not confirmed. */
	ownershipUnconfirmed: 'ownership-unconfirmed',
	/** Capacities were not read recently, so nothing may start. */
	listingsOutdated: 'listings-outdated',
	/** An executor of the previous owner that has not answered may run it. */
	unknownPlace: 'unknown-place',
	/** Its run is on an executor that does not answer. */
	executorSilent: 'executor-silent',
	/** A start has no answer yet, or had none and is being barred. */
	startUnanswered: 'start-unanswered',
	/** Its run is being stopped. */
	stopping: 'stopping',
	crashSuspect: 'crash-suspect',
	teamCap: 'team-cap',
	/** No executor is named by valid placement advice. */
	noAdvice: 'no-advice',
	noExecutor: 'no-usable-executor',
	tooLarge: 'too-large',
	spread: 'spread',
	noRoom: 'no-room',
	/** The members of a gang start together or not at all. */
	gangWaits: 'gang-waits',
	/** As many starts as allowed are without an answer. */
	startLimit: 'start-limit',
	/** It could start now, and no plan has started it. */
	notPlanned: 'not-planned',
} as const;

/** One of `standingReasons`. */
export type StandingReason =
	(typeof standingReasons)[keyof typeof standingReasons];

/** A job that stands, with the first task that could run. */
export type StandingJob = {
	readonly task: string;
	readonly reason: StandingReason;
	/** Since when the job stands, whatever the reason was. */
	readonly since: number;
};

/** Jobs that stand, by id. */
export type StandingJobs = ReadonlyMap<string, StandingJob>;

const placementReasons = {
	noExecutor: standingReasons.noExecutor,
	tooLarge: standingReasons.tooLarge,
	spread: standingReasons.spread,
	noRoom: standingReasons.noRoom,
} as const satisfies Record<PlacementRefusal, StandingReason>;

/** What the reasons of all jobs of one report share. */
type Inspection = {
	readonly owner: Owner;
	readonly now: number;
	readonly isConfirmed: boolean;
	readonly usable: readonly Executor[];
	readonly teamUse: TeamUse;
	readonly areStartsLeft: boolean;
	/** Placements by demand, of steps that have no bound for each executor. */
	readonly placements: Map<string, StandingReason | undefined>;
};

const inspect = (
	owner: Owner,
	now: number,
	isConfirmed: boolean,
): Inspection => ({
	owner,
	now,
	isConfirmed,
	usable: listUsable(owner, now),
	teamUse: computeTeamUse(owner),
	areStartsLeft: countStartsLeft(owner, countPendingStarts(owner)) > 0,
	placements: new Map(),
});

const isAnswering = ({owner}: Inspection, {executorId}: Run): boolean => {
	const executor = owner.executors.get(executorId);
	return executor !== undefined && executor.unresponsiveSince === undefined;
};

const isAtWork = (inspection: Inspection, run: Run): boolean =>
	run.state === 'running' && isAnswering(inspection, run);

/** Why a task that has a run is not at work. */
const explainRun = (inspection: Inspection, run: Run): StandingReason => {
	if (!isAnswering(inspection, run)) {
		return standingReasons.executorSilent;
	}

	return match(run.state)
		.returnType<StandingReason>()
		.with(
			'asked',
			'unsettled',
			'barring',
			() => standingReasons.startUnanswered,
		)
		.with('running', 'stopping', () => standingReasons.stopping)
		.exhaustive();
};

const place = (
	{owner, usable, now}: Inspection,
	task: Task,
): StandingReason | undefined => {
	if (isAdviceMissing(owner, task.step, usable, now)) {
		return standingReasons.noAdvice;
	}

	const advised = listAdvisedExecutors(owner, task.step, usable, now);
	const placement = placeTask(advised, task);
	return placement.kind === 'placed'
		? undefined
		: placementReasons[placement.reason];
};

const findPlacementReason = (
	inspection: Inspection,
	task: Task,
): StandingReason | undefined => {
	const {spec} = task.step;
	if (spec.maxPerExecutor !== undefined || needsAdvice(task.step)) {
		return place(inspection, task);
	}

	const {cpuMillis, memoryMb, accelerators} = spec.resources;
	const key = `${cpuMillis} ${memoryMb} ${accelerators} ${spec.fillsIdleCapacity} ${spec.requiredLabel}`;
	const {placements} = inspection;
	if (!placements.has(key)) {
		placements.set(key, place(inspection, task));
	}

	return placements.get(key);
};

/** Why a task without a run is not started, in the order of a plan. */
const explainWaiting = (inspection: Inspection, task: Task): StandingReason => {
	const {owner, isConfirmed, teamUse} = inspection;
	if (!isConfirmed) {
		return standingReasons.ownershipUnconfirmed;
	}

	if (!owner.areListingsRecent) {
		return standingReasons.listingsOutdated;
	}

	if (!isLocationKnown(owner, task)) {
		return standingReasons.unknownPlace;
	}

	if (isCrashSuspect(task)) {
		return standingReasons.crashSuspect;
	}

	if (!mayTeamStart(owner, teamUse, task)) {
		return standingReasons.teamCap;
	}

	const reason = findPlacementReason(inspection, task);
	if (reason !== undefined) {
		return reason;
	}

	if (task.step.spec.isGang) {
		return standingReasons.gangWaits;
	}

	return inspection.areStartsLeft
		? standingReasons.notPlanned
		: standingReasons.startLimit;
};

type Found = {readonly task: Task; readonly run: Run | undefined};

/**
 * Returns the first task of a step that could run and does not; nothing if one
 * is at work, unless each task of the step has to be.
 */
const findInStep = (
	inspection: Inspection,
	{tasks, spec}: Step,
): Found | 'at-work' | undefined => {
	let found: Found | undefined;
	for (const task of tasks) {
		if (task.runs.some((run) => isAtWork(inspection, run))) {
			if (!spec.isLongRunning) {
				return 'at-work';
			}
		} else if (isWaiting(task)) {
			found ??= {task, run: undefined};
		} else if (!task.isDone) {
			found ??= {task, run: task.runs[0]};
		}
	}

	return found;
};

const findInJob = (inspection: Inspection, job: Job): Found | undefined => {
	let found: Found | undefined;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			if (step.doneCount < step.spec.count && isStepReady(step)) {
				const inStep = findInStep(inspection, step);
				if (inStep === 'at-work') {
					return undefined;
				}

				found ??= inStep;
			}
		}
	}

	return found;
};

/**
 * Finds the jobs that stand now. A job that stood in `previous` keeps the time
 * since when. `isConfirmed` tells whether the owner may send commands.
 */
export const findStandingJobs = (
	owner: Owner,
	previous: StandingJobs,
	isConfirmed: boolean,
	now: number,
): StandingJobs => {
	const inspection = inspect(owner, now, isConfirmed);
	const standing = new Map<string, StandingJob>();
	for (const job of owner.openJobs) {
		const found = findInJob(inspection, job);
		if (found) {
			const {id} = job.accepted;
			standing.set(id, {
				task: found.task.id,
				reason: found.run
					? explainRun(inspection, found.run)
					: explainWaiting(inspection, found.task),
				since: previous.get(id)?.since ?? now,
			});
		}
	}

	return standing;
};

/** The jobs that stand for one reason. */
export type StandingGroup = {
	readonly reason: StandingReason;
	readonly jobs: number;
	/** The job that stands for the longest time. */
	readonly oldestJob: string;
	readonly task: string;
	readonly since: number;
};

/** Groups jobs that stand by reason, the longest standing first. */
export const groupStandingJobs = (
	standing: StandingJobs,
): readonly StandingGroup[] => {
	const groups = new Map<StandingReason, StandingGroup>();
	for (const [job, {reason, task, since}] of standing) {
		const known = groups.get(reason);
		const isOldest = known === undefined || since < known.since;
		groups.set(reason, {
			...(isOldest ? {reason, oldestJob: job, task, since} : known),
			jobs: (known?.jobs ?? 0) + 1,
		});
	}

	return [...groups.values()].toSorted((one, two) => one.since - two.since);
};

/** Ends of runs that their executors still list. */
export type UnacknowledgedEnds = {
	readonly ends: number;
	/** When the oldest of them was seen first; absent if there is none. */
	readonly oldestSeenAt: number | undefined;
	/** Executors that list as many ends as fit, so that later ones are unseen. */
	readonly fullExecutors: number;
};

/** Counts the ends that are applied and not acknowledged. */
export const countUnacknowledgedEnds = (owner: Owner): UnacknowledgedEnds => {
	let ends = 0;
	let fullExecutors = 0;
	for (const {unackedEnds} of owner.executors.values()) {
		ends += unackedEnds.length;
		fullExecutors += unackedEnds.length >= maxEndsPerPoll ? 1 : 0;
	}

	return {ends, oldestSeenAt: getOldestUnacked(owner), fullExecutors};
};
