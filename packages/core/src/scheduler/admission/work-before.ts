/**
 * The earliest time at which a new job can be served, whatever happens: counts
 * only waiting work that ranks before it at the time and that fits wherever the
 * new job fits. A job's rank changes as it becomes late, and new work overtakes
 * older work then, so the time is divided into the phases of the new job.
 */
import {getCriticalPathMs, lateUntilFactor} from '../ranking/rank.js';
import type {AcceptedJob, Resources} from '../state/types.js';
import type {QueueOutlook, WaitingWork} from './queue-outlook.js';

/**
 * Time before a machine of another pool can serve, in milliseconds: less than
 * the 1.5 s that a move takes.
 */
const minMoveMs = 1000;

/** Most work that the service can do in a time, in cpu-milliseconds. */
export const getMostWork = (outlook: QueueOutlook, ms: number): number => {
	const {capacityCpu, recoverableCpu, movableCpu, held} = outlook;
	let work =
		(capacityCpu + recoverableCpu) * ms +
		movableCpu * Math.max(0, ms - minMoveMs);
	for (const {cpuMillis, forMs} of held) {
		work -= cpuMillis * Math.min(ms, forMs);
	}

	return work;
};

const bisections = 30;

/** First time from which on the service can have done the work; at most `toMs`. */
const findTimeOfWork = (
	outlook: QueueOutlook,
	work: number,
	fromMs: number,
	toMs: number,
): number => {
	let low = fromMs;
	let high = toMs;
	for (let index = 0; index < bisections; index++) {
		const middle = (low + high) / 2;
		if (getMostWork(outlook, middle) < work) {
			low = middle;
		} else {
			high = middle;
		}
	}

	// The lower bound: the job is rather expected too soon than too late.
	return low;
};

/** Work that ranks before the new job until a time. */
type Ahead = {readonly lowWork: number; readonly untilMs: number};

/** A phase of the new job, with the work that ranks before it then. */
type Phase = {
	readonly fromMs: number;
	readonly toMs: number;
	readonly getUntilMs: (work: WaitingWork) => number;
};

const listPhases = (job: AcceptedJob, endMs: number): readonly Phase[] => {
	const {stretch, targetLatencyMs} = job.policy;
	const pathMs = getCriticalPathMs(job);
	const objectiveMs = stretch * pathMs + targetLatencyMs;
	const lateFromMs = Math.max(0, Math.min(endMs, objectiveMs - pathMs));
	const worthlessFromMs = Math.max(
		lateFromMs,
		Math.min(endMs, lateUntilFactor * objectiveMs - pathMs),
	);
	return [
		{
			fromMs: 0,
			toMs: lateFromMs,
			getUntilMs: ({isBeyondRate, inTimeMs}) => (isBeyondRate ? 0 : inTimeMs),
		},
		{
			fromMs: lateFromMs,
			toMs: worthlessFromMs,
			getUntilMs: ({isBeyondRate, usefulMs}) => (isBeyondRate ? 0 : usefulMs),
		},
		{
			fromMs: worthlessFromMs,
			toMs: endMs,
			getUntilMs: () => Number.POSITIVE_INFINITY,
		},
	];
};

/** Smallest demand of a job's tasks, by each resource. */
const getLeastDemand = ({spec: {steps}}: AcceptedJob): Resources => ({
	cpuMillis: Math.min(...steps.map(({resources}) => resources.cpuMillis)),
	memoryMb: Math.min(...steps.map(({resources}) => resources.memoryMb)),
	accelerators: Math.min(...steps.map(({resources}) => resources.accelerators)),
});

const fitsInto = (one: Resources, other: Resources): boolean =>
	one.cpuMillis <= other.cpuMillis &&
	one.memoryMb <= other.memoryMb &&
	one.accelerators <= other.accelerators;

/** Whether waiting work ranks before a job of the same timeliness. */
const ranksBefore = (
	work: WaitingWork,
	job: AcceptedJob,
	totalWork: number,
	{sharesRoomBetweenTeams}: QueueOutlook,
): boolean => {
	const {queue, priority} = job.policy;
	if (work.priority !== priority) {
		return work.priority < priority;
	}

	// The order between queues changes with their mean work, and the order
	// between teams with their use.
	const isOrderFixed =
		work.queue === queue && (!sharesRoomBetweenTeams || work.team === job.team);
	return isOrderFixed && work.remainingWork <= totalWork;
};

/** Lists the waiting work that keeps a job from room while it ranks before. */
export const listWorkBefore = (
	outlook: QueueOutlook,
	job: AcceptedJob,
): readonly WaitingWork[] => {
	const least = getLeastDemand(job);
	const totalWork = job.spec.steps.reduce(
		(sum, {count, resources, estimateMs}) =>
			sum + count * Math.max(1, resources.cpuMillis) * Math.max(1, estimateMs),
		0,
	);
	return (outlook.waiting ?? []).filter(
		(work) =>
			fitsInto(work.demand, least) &&
			// A cap that holds it back holds back a larger task of the same team.
			(!work.isCapped || work.team === job.team) &&
			ranksBefore(work, job, totalWork, outlook),
	);
};

/** First time in a phase at which less work is ahead than can have been done. */
const findFreeMs = (
	outlook: QueueOutlook,
	{fromMs, toMs}: Pick<Phase, 'fromMs' | 'toMs'>,
	ahead: readonly Ahead[],
): number => {
	let left = ahead.reduce((sum, {lowWork}) => sum + lowWork, 0);
	let beginMs = fromMs;
	for (const {lowWork, untilMs} of ahead) {
		const endMs = Math.min(toMs, untilMs);
		if (getMostWork(outlook, endMs) >= left) {
			return findTimeOfWork(outlook, left, beginMs, endMs);
		}

		if (untilMs >= toMs) {
			return toMs;
		}

		left -= lowWork;
		beginMs = endMs;
	}

	return beginMs;
};

/** Room for a new job, at best. */
export type RoomForJob = {
	/** Earliest time of its first start, from the outlook's time. */
	readonly startMs: number;
	/** Work that can be done for it until the end, in cpu-milliseconds. */
	readonly work: number;
};

/** Returns the most room that a new job can get until `endMs`. */
export const getMostRoom = (
	outlook: QueueOutlook,
	job: AcceptedJob,
	endMs: number,
): RoomForJob => {
	const before = listWorkBefore(outlook, job);
	let startMs = Number.POSITIVE_INFINITY;
	let work = 0;
	for (const phase of listPhases(job, endMs)) {
		const ahead = before
			.map((each) => ({
				lowWork: each.lowWork,
				untilMs: phase.getUntilMs(each),
			}))
			.filter(({untilMs}) => untilMs > phase.fromMs)
			.toSorted((one, two) => one.untilMs - two.untilMs);
		const freeMs = findFreeMs(outlook, phase, ahead);
		if (freeMs < phase.toMs) {
			startMs = Math.min(startMs, freeMs);
			work += getMostWork(outlook, phase.toMs) - getMostWork(outlook, freeMs);
		}
	}

	return {startMs, work};
};
