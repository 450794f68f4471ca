/** State that the owner of a service keeps. */
import type {CapLimit} from '../../teams/cap-share.js';
import type {TokenBucket} from '../../admission/token-bucket.js';
import type {RunTimes} from '../run-times/model.js';
import type {StartWindow} from '../plan/start-window.js';
import type {SpeedMemory} from '../executor-speed/speed-memory.js';
import type {RoomShares} from '../team-shares/room-shares.js';
import type {SchedulerConfig} from './config.js';
import type {Executor} from './executor.js';
import type {KeptFencing} from './restart-fence.js';
import type {IncompleteGang} from './incomplete-gangs.js';
import type {LossSign, PossiblyLost} from './crash.js';
import type {Job, Step, Task} from './task.js';
import type {UnansweredStart} from './unanswered-starts.js';

/** Advice on one incarnation of an executor. */
export type ExecutorAdvice = {
	/** When the incarnation started; absent if that is not reported. */
	readonly startedAtEpochMs: number | undefined;
	/** Absent if the service did not name the executor. */
	readonly ticket: string | undefined;
};

/** Placement advice received for one step. */
export type StepAdvice = {
	/** Advice by executor id. */
	readonly executors: Map<string, ExecutorAdvice>;
	/** When the tickets expire, by the local clock. */
	validUntil: number;
	/** Executors of pending requests, and when their incarnations started. */
	readonly pending: Map<string, number | undefined>;
	pendingRequests: number;
	/** The pending requests take longer than expected. */
	isOverdue: boolean;
	/** Since when a request has been wanted; absent once one was answered. */
	wantedSince: number | undefined;
	/** Earliest time of the next request after one without an answer. */
	retryAt: number;
};

/** A request for placement advice that is to be sent when its turn comes. */
export type AdviceWish = {
	readonly step: Step;
	/** Executors to ask for, the most useful first. */
	readonly executors: readonly Executor[];
	readonly wantedSince: number;
	/** A task of the step would fit on one of the executors now. */
	readonly hasRoom: boolean;
};

/** Work submitted recently, with exponential decay. */
export type Arrivals = {
	/** Decayed sum, in cpu-milliseconds. */
	readonly work: number;
	readonly at: number;
};

/** When an executor was lost, and whether a start may have caused it. */
export type ExecutorLoss = {
	readonly at: number;
	readonly isExplained: boolean;
	readonly executorId: string;
	readonly startedAtEpochMs?: number | undefined;
};

/** Loss of an incarnation of an executor that its answer would disprove. */
export type PossibleLoss = {
	readonly lost: PossiblyLost;
	/** Tasks that have crashed it if it does not live. */
	readonly tasks: ReadonlySet<Task>;
	/**
	 * Ids of the executors that were listed at its address then; absent if that is
	 * not known.
	 */
	readonly neighborIds: ReadonlySet<string> | undefined;
	/** Since when it has been away, as far as the registry could be read. */
	since: number;
	/** The registry has dropped it since, as this owner has seen. */
	wasUnlisted: boolean;
	/** Why its crashes count; absent while they do not. */
	sign: LossSign | undefined;
};

/** State of one ownership, from the takeover to the loss of the service. */
export type Owner = {
	readonly cfg: SchedulerConfig;
	readonly service: string;
	/** Lowest fencing token that commands to executors carry. */
	readonly token: number;
	readonly takenOverAt: number;
	readonly jobs: Map<string, Job>;
	/** Jobs that have not ended, in order of acceptance. */
	readonly openJobs: Set<Job>;
	readonly executors: Map<string, Executor>;
	/** What commands to executors that were removed may yet do, by id. */
	readonly removedExecutors: Map<string, KeptFencing>;
	/** Whether the registry was read since the takeover. */
	isRegistryRead: boolean;
	/** Whether the registry was read recently. */
	isRegistryCurrent: boolean;
	/** When it was last known not to be, since it was read first. */
	registryGapAt: number | undefined;
	/** When it was last read; infinite while that is not tracked. */
	registryReadAt: number;
	/** Whether it was read recently enough to rely on capacities. */
	areListingsRecent: boolean;
	/**
	 * When the reservations of executors end, by id; an executor need not be
	 * listed yet.
	 */
	readonly reservations: Map<string, number>;
	/**
	 * Executors that may still run tasks of an earlier owner, with the time by
	 * which the leases of those have certainly expired.
	 */
	readonly unresolvedExecutors: Map<string, number>;
	/**
	 * Executors that have answered and not listed all ends of earlier owners, with
	 * the time until which to wait for these.
	 */
	readonly unreadExecutors: Map<string, number>;
	/** Starts of earlier owners that may be carried out yet, by executor id. */
	readonly inheritedStarts: Map<string, readonly UnansweredStart[]>;
	/** Ids of the tasks of these starts. */
	possiblyStarted: ReadonlySet<string>;
	/** Jobs whose progress differs from the stored one. */
	readonly dirtyJobs: Set<Job>;
	/** Tasks that may have crashed their executors and start in isolation. */
	readonly crashSuspects: Set<Task>;
	/** Since when executors are kept free for suspects, by the executor's id. */
	readonly suspectHolds: Map<string, number>;
	/**
	 * Losses that an answer would disprove, by the id of the executor: one for
	 * each of its incarnations; see possible-losses.ts.
	 */
	readonly possibleLosses: Map<string, readonly PossibleLoss[]>;
	/** Gangs that miss members; see incomplete-gangs.ts. */
	readonly incompleteGangs: Map<Step, IncompleteGang>;
	/** Executors lost recently, but for those that were evacuated. */
	recentLosses: readonly ExecutorLoss[];
	/** Whether the stored roster is out of date. */
	isRosterDirty: boolean;
	/** Number of the next flush. */
	flushNumber: number;
	/** Jobs that the flush under way stores; empty if there is none. */
	flushingJobs: ReadonlySet<Job>;
	/** Placement advice by step id. */
	readonly advice: Map<string, StepAdvice>;
	/** Requests for advice that the latest plan wants. */
	readonly adviceWishes: Map<Step, AdviceWish>;
	/** Work submitted recently. */
	arrivals: Arrivals;
	/** Limits the number of concurrent start commands. */
	startWindow: StartWindow;
	/** Caps of teams and the shares held of them; others have no cap. */
	readonly capLimits: Map<string, CapLimit>;
	/** Jobs per second that each team is owed; absent for no bound. */
	readonly teamWeights: Map<string, number>;
	/** What is left of the teams' rates. */
	readonly teamRates: Map<string, TokenBucket>;
	/** Speeds of steps, and copies of slow tasks. */
	readonly speeds: SpeedMemory;
	/** How long tasks really run. */
	readonly runTimes: RunTimes;
	/** What the teams have used of the room, and executors kept for tasks. */
	readonly roomShares: RoomShares;
	/** Mean work of a job by queue, for ranking. */
	readonly meanWork: Map<string, {count: number; sum: number}>;
};
