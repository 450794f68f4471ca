/** Executors of a service as its owner tracks them. */
import {
	createExecutorSpeed,
	type ExecutorSpeed,
} from '../executor-speed/speed-state.js';
import {pickLatestReading, type RemoteClock} from './remote-clock.js';
import {
	isLaterIncarnation,
	isSameIncarnation,
	type IncarnationReading,
} from './incarnation.js';
import type {PossiblyLost} from './crash.js';
import type {Job, Run, Step} from './task.js';
import type {ListedExecutor, Resources} from './types.js';
import type {UnansweredStart} from './unanswered-starts.js';

/** A run end that can be acknowledged once what it changed is stored. */
export type UnackedEnd = {
	readonly number: number;
	/** Number of the first flush that may store it. */
	readonly flushNumber: number;
	/** The job of the run; absent if it is not known, so nothing is stored. */
	readonly job?: Job | undefined;
	/** When the poll that listed it first was answered. */
	readonly seenAt?: number | undefined;
};

/** Which work an executor still takes once its evacuation is requested. */
export const evacuationPhases = {
	/** All work: others go first. */
	waiting: 'waiting',
	/** Short tasks only, while long-running ones move elsewhere. */
	leaving: 'leaving',
	/** None. */
	held: 'held',
} as const;

/** One of `evacuationPhases`. */
export type EvacuationPhase =
	(typeof evacuationPhases)[keyof typeof evacuationPhases];

/** How much an evacuation is worth to who asks for it. */
export const evacuationUrgencies = {
	normal: 'normal',
	/** The claimant is late otherwise. */
	urgent: 'urgent',
	/** A command without an answer may yet end all tasks there. */
	commanded: 'commanded',
} as const;

/** One of `evacuationUrgencies`. */
export type EvacuationUrgency =
	(typeof evacuationUrgencies)[keyof typeof evacuationUrgencies];

/** A requested evacuation. */
export type Evacuation = {
	/** Who asks for it; absent for holders of older releases. */
	readonly claimant: string | undefined;
	/** When it was requested first. */
	readonly since: number;
	readonly urgency: EvacuationUrgency;
	/** Since when it waits for its turn, or waited. */
	queuedSince: number;
	phase: EvacuationPhase;
	/** When its turn began; absent while it waits. */
	turnSince: number | undefined;
	/** Since when nothing starts there; absent while it takes work. */
	heldSince: number | undefined;
	/** When its turn got further last: fewer long-running tasks, or none. */
	progressAt: number;
	/** What had to leave then: long-running tasks, and whatever else runs. */
	left: number;
	/** It gave way to others, and waits until then. */
	restsUntil: number;
	/** When it expires unless it is requested again. */
	readonly validUntil: number;
	/** How long runs may end by themselves in its turn, in milliseconds. */
	readonly patienceMs: number;
};

/** What is known of a restart of an executor under its id. */
export const restartPhases = {
	none: 'none',
	/** No poll has been answered by the next incarnation. */
	shown: 'shown',
	/** It has answered, but may still take commands for the one before. */
	answered: 'answered',
} as const;

/** One of `restartPhases`. */
export type RestartPhase = (typeof restartPhases)[keyof typeof restartPhases];

/** Orders the requests of the holders of the fleet's shard. */
export type RequestOrder = {
	/** Fencing token of the holder. */
	readonly token: number;
	/** When it was sent, by the holder's monotonic clock. */
	readonly at: number;
};

/** An executor, as its latest incarnation is known. */
export type Executor = {
	readonly id: string;
	listed: ListedExecutor;
	/** The incarnation that answered the latest poll. */
	incarnation: IncarnationReading | undefined;
	/**
	 * Start of the latest incarnation known to refuse commands that were sent
	 * before it was known; see restart-fence.ts.
	 */
	fencedStartedAtEpochMs: number | undefined;
	/** Whether the present incarnation is known to refuse such commands. */
	isFenced: boolean;
	/** A restart that was shown and is not fenced yet. */
	restart: RestartPhase;
	/** Start of the incarnation that the latest restart has shown, if known. */
	restartedAtEpochMs: number | undefined;
	/** By how much its fencing token exceeds that of the owner. */
	tokenRaise: number;
	/**
	 * By when all leases have expired that commands for earlier incarnations may
	 * have brought, by the local clock.
	 */
	strayLeasesUntil: number;
	/** Whether the registry listed it at this owner's latest read. */
	isListed: boolean;
	/** The registry listed it before and does so no longer. */
	wasUnlisted: boolean;
	/** It has answered a poll that carried this owner's fencing token. */
	isAdopted: boolean;
	/** The stored roster has it as an executor that may run tasks. */
	isRostered: boolean;
	/** Starts without an answer in the roster that was sent to the store last. */
	rosteredStarts: readonly UnansweredStart[];
	/** When the latest poll that it answered was sent. */
	polledAt: number;
	/** When it began to leave calls unanswered; absent while it answers. */
	unresponsiveSince: number | undefined;
	/** Ids of the executors that were listed at its address then. */
	neighborIds: ReadonlySet<string> | undefined;
	/** Since when no leases are granted there, as marked in the roster. */
	suspectedSince: number | undefined;
	/** A roster with the mark is stored or was sent to the store. */
	isSuspicionSent: boolean;
	clock: RemoteClock | undefined;
	/** Latest lease end sent, by the executor's clock, answered or not. */
	grantedUntil: number;
	readonly runs: Map<string, Run>;
	used: Resources;
	/** Runs of unknown jobs, whose resources are unknown too. */
	orphanedRunCount: number;
	/** Number of the last run end that was applied. */
	lastEndNumber: number;
	unackedEnds: UnackedEnd[];
	acknowledgedUpto: number;
	/** Its last poll listed ends that still need to be acknowledged. */
	hasListedEnds: boolean;
	evacuation: Evacuation | undefined;
	/** Of the latest request to evacuate it. */
	evacuationOrder: RequestOrder | undefined;
	/** Until then nothing starts there, whoever owns the service. */
	reservedUntil: number | undefined;
	/** It was promised to be clear, so a command may have ended it since. */
	mayBeCommanded: boolean;
	/** It was vacant when it was left out of the roster, and still is. */
	isKnownVacant: boolean;
	consecutiveFailures: number;
	quarantinedUntil: number;
	/** How fast its runs make progress. */
	readonly speed: ExecutorSpeed;
};

/** Describes the incarnation that is known, to tell it from a later one. */
export const describeIncarnation = ({
	id,
	incarnation,
	listed,
	clock,
}: Executor): PossiblyLost => ({
	executorId: id,
	startedAtEpochMs: incarnation?.startedAtEpochMs ?? listed.startedAtEpochMs,
	clockMs: clock?.reportedMs,
	address: listed.address,
});

const noResources: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** Creates the state of an executor that has just been listed. */
export const createExecutor = (listed: ListedExecutor): Executor => ({
	id: listed.id,
	listed,
	incarnation: undefined,
	fencedStartedAtEpochMs: listed.startedAtEpochMs,
	isFenced: false,
	restart: restartPhases.none,
	restartedAtEpochMs: undefined,
	tokenRaise: 0,
	strayLeasesUntil: Number.NEGATIVE_INFINITY,
	isListed: true,
	wasUnlisted: false,
	isAdopted: false,
	isRostered: false,
	rosteredStarts: [],
	polledAt: Number.NEGATIVE_INFINITY,
	unresponsiveSince: undefined,
	neighborIds: undefined,
	suspectedSince: undefined,
	isSuspicionSent: false,
	clock: undefined,
	grantedUntil: 0,
	runs: new Map(),
	used: noResources,
	orphanedRunCount: 0,
	lastEndNumber: 0,
	unackedEnds: [],
	acknowledgedUpto: 0,
	hasListedEnds: false,
	evacuation: undefined,
	evacuationOrder: undefined,
	reservedUntil: undefined,
	mayBeCommanded: false,
	isKnownVacant: false,
	consecutiveFailures: 0,
	quarantinedUntil: 0,
	speed: createExecutorSpeed(),
});

/** Returns the key of a run in `Executor.runs`. */
export const getRunKey = (taskId: string, run: number): string =>
	`${taskId}/${run}`;

/** Resources of one run; cpu of a step that uses idle capacity is not counted. */
export const getDemand = ({spec}: Step): Resources =>
	spec.fillsIdleCapacity ? {...spec.resources, cpuMillis: 0} : spec.resources;

const addResources = (
	used: Resources,
	added: Resources,
	sign: 1 | -1,
): Resources => ({
	cpuMillis: used.cpuMillis + sign * added.cpuMillis,
	memoryMb: used.memoryMb + sign * added.memoryMb,
	accelerators: used.accelerators + sign * added.accelerators,
});

/** Adds a run and reserves its resources. */
export const addRun = (executor: Executor, run: Run): void => {
	executor.runs.set(getRunKey(run.task.id, run.number), run);
	executor.used = addResources(executor.used, getDemand(run.task.step), 1);
	run.task.runs.push(run);
};

/** Removes a run that has certainly ended and frees its resources. */
export const removeRun = (executor: Executor, run: Run): void => {
	if (!executor.runs.delete(getRunKey(run.task.id, run.number))) {
		return;
	}

	executor.used = addResources(executor.used, getDemand(run.task.step), -1);
	run.task.runs = run.task.runs.filter((each) => each !== run);
};

/** Returns the resources that are free. */
export const getFree = ({listed, used}: Executor): Resources =>
	addResources(listed.capacity, used, -1);

/** Whether another task of a step fits into the free resources. */
export const hasRoom = (executor: Executor, step: Step): boolean => {
	const free = getFree(executor);
	const demand = getDemand(step);
	return (
		demand.cpuMillis <= free.cpuMillis &&
		demand.memoryMb <= free.memoryMb &&
		demand.accelerators <= free.accelerators
	);
};

/**
 * Longest task that an executor takes while long-running ones leave it, in
 * milliseconds.
 */
const maxShortTaskMs = 1500;

/** Whether a task may start that takes as long as those of a step. */
export const acceptsDuration = (
	{evacuation}: Executor,
	{spec}: Step,
): boolean =>
	evacuation?.phase !== evacuationPhases.leaving ||
	(!spec.isLongRunning && spec.estimateMs <= maxShortTaskMs);

/** Whether a task of a step would fit if the executor were empty. */
export const couldHold = ({listed}: Executor, {spec}: Step): boolean => {
	const {capacity, labels} = listed;
	const {resources, requiredLabel} = spec;
	return (
		resources.cpuMillis <= capacity.cpuMillis &&
		resources.memoryMb <= capacity.memoryMb &&
		resources.accelerators <= capacity.accelerators &&
		(requiredLabel === undefined || labels.includes(requiredLabel))
	);
};

const rackPattern = /^r\d/v;

/** Returns the rack label, such as `r1-2`, if there is one. */
export const getRack = ({listed}: Executor): string | undefined =>
	listed.labels.find((label) => rackPattern.test(label));

/** Whether the registry lists a later incarnation than was polled. */
export const isRestartListed = ({listed, incarnation}: Executor): boolean =>
	isLaterIncarnation(listed.startedAtEpochMs, incarnation?.startedAtEpochMs);

/** Whether an executor is kept free of other starts for a run. */
export const hasIsolatedRun = ({runs}: Executor): boolean => {
	for (const {isIsolated} of runs.values()) {
		if (isIsolated) {
			return true;
		}
	}

	return false;
};

/** Whether an executor may be given new work, or the reason why not. */
export type Readiness =
	| 'usable'
	| 'unlisted'
	| 'draining'
	| 'silent'
	| 'not-adopted'
	| 'not-rostered'
	| 'strays'
	| 'evacuating'
	| 'reserved'
	| 'isolated'
	| 'resting';

/** Returns the first reason that applies, evacuations apart, or `usable`. */
const getOtherReadiness = (
	executor: Executor,
	now: number,
): Exclude<Readiness, 'evacuating'> => {
	if (!executor.isListed) {
		return 'unlisted';
	}

	if (executor.listed.isDraining) {
		return 'draining';
	}

	if (executor.unresponsiveSince !== undefined) {
		return 'silent';
	}

	// Room and labels of a listed incarnation say nothing of another one.
	if (
		!executor.isAdopted ||
		!executor.isFenced ||
		!isSameIncarnation(
			executor.incarnation?.startedAtEpochMs,
			executor.listed.startedAtEpochMs,
		)
	) {
		return 'not-adopted';
	}

	// Such an executor is left out of the roster.
	if (executor.reservedUntil !== undefined && executor.reservedUntil > now) {
		return 'reserved';
	}

	if (!executor.isRostered) {
		return 'not-rostered';
	}

	if (executor.orphanedRunCount > 0) {
		return 'strays';
	}

	if (hasIsolatedRun(executor)) {
		return 'isolated';
	}

	return executor.quarantinedUntil > now ? 'resting' : 'usable';
};

/** Whether an executor could be given new work if it were not evacuated. */
export const isUsableUnlessEvacuated = (
	executor: Executor,
	now: number,
): boolean => getOtherReadiness(executor, now) === 'usable';

/** Returns the first reason that applies, or `usable`. */
export const getReadiness = (executor: Executor, now: number): Readiness => {
	const other = getOtherReadiness(executor, now);
	const isOtherwiseInService =
		other === 'usable' || other === 'isolated' || other === 'resting';
	return isOtherwiseInService &&
		executor.evacuation?.phase === evacuationPhases.held
		? 'evacuating'
		: other;
};

/** Whether an executor may be given new work. */
export const isUsable = (executor: Executor, now: number): boolean =>
	getReadiness(executor, now) === 'usable';

/** Records a reading of the executor's clock. */
export const recordClockReading = (
	executor: Executor,
	reportedMs: number,
	receivedAt: number,
): void => {
	executor.clock = pickLatestReading(executor.clock, {reportedMs, receivedAt});
};

/** Age of the latest reading of the executor's clock, in milliseconds. */
export const getClockReadingAge = (
	{clock}: Executor,
	now: number,
): number | undefined => clock && now - clock.receivedAt;
