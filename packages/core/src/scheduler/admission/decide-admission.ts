/**
 * Decides whether a new job is accepted. Load that it addresses: a team that
 * sends several times its rate, and more work than can be served before it is
 * worth nothing. A wrong rejection is worse than a late job, so whatever is
 * uncertain is accepted. Source: docs/design/job-admission.md.
 */
import {match} from 'ts-pattern';
import type {TeamRate} from '../ranking/team-rate.js';
import type {AcceptedJob, Resources} from '../state/types.js';
import type {QueueOutlook} from './queue-outlook.js';
import type {ExpectedCapacity} from './return-plan.js';
import {getHighUsefulMs, getLowPathMs, getLowWork} from './run-time-bounds.js';
import {getMostRoom, getMostWork} from './work-before.js';

/** Reason for which a job is rejected. */
export type RejectionReason = 'beyond-rate' | 'unservable';

/** What becomes of a new job. */
export type AdmissionVerdict =
	| {readonly kind: 'accept'}
	| {
			readonly kind: 'reject';
			readonly reason: RejectionReason;
			/** The capacity in which the job is given a place to return. */
			readonly expected: ExpectedCapacity;
	  };

/** A new job. */
export type AdmissionCandidate = {
	readonly job: AcceptedJob;
	/** Places of its team in its rate that are due and not taken yet. */
	readonly placesDue: number;
};

/** Time after a takeover in which nothing is rejected, in milliseconds. */
export const takeoverGraceMs = 2000;

/** Ratio of the typical to the lowest work that is expected to be done. */
const typicalWorkFactor = 3;

/** Lane of the places in the rate of a team. */
export const getRateLane = (team: string): string => `rate of ${team}`;

const accept: AdmissionVerdict = {kind: 'accept'};

const isExempt = ({spec: {steps, schedule}}: AcceptedJob): boolean =>
	schedule !== undefined || steps.some(({isLongRunning}) => isLongRunning);

const countTokens = (
	{tokens, depth, tokensPerMs, at}: TeamRate,
	now: number,
): number => Math.min(depth, tokens + (now - at) * tokensPerMs);

const decideByRate = (
	{teamRates, doesInTimeWorkWait}: QueueOutlook,
	{job: {team}, placesDue}: AdmissionCandidate,
	now: number,
): AdmissionVerdict => {
	const rate = team === undefined ? undefined : teamRates.get(team);
	if (rate === undefined || team === undefined || !doesInTimeWorkWait) {
		return accept;
	}

	const missing = 1 + placesDue - countTokens(rate, now);
	if (missing <= 0) {
		return accept;
	}

	const spacingMs = 1 / rate.tokensPerMs;
	return {
		kind: 'reject',
		reason: 'beyond-rate',
		expected: {
			lane: getRateLane(team),
			fromAt: now + missing * spacingMs,
			spacingMs,
		},
	};
};

const fits = (demand: Resources, free: Resources): boolean =>
	demand.cpuMillis <= free.cpuMillis &&
	demand.memoryMb <= free.memoryMb &&
	demand.accelerators <= free.accelerators;

/** Whether a task of a first step fits on an executor now. */
const canStartNow = (
	{rooms}: QueueOutlook,
	{spec: {steps}}: AcceptedJob,
): boolean =>
	steps.some(
		({after, resources, requiredLabel, fillsIdleCapacity}) =>
			after.length === 0 &&
			rooms.some(
				({free, labels}) =>
					fits(
						fillsIdleCapacity ? {...resources, cpuMillis: 0} : resources,
						free,
					) &&
					(requiredLabel === undefined || labels.includes(requiredLabel)),
			),
	);

/** Last time at which a job may start, and end, from the outlook's time. */
const getLimits = (
	{madeAt}: QueueOutlook,
	job: AcceptedJob,
	now: number,
): {readonly startMs: number; readonly endMs: number} => {
	const endMs = now - madeAt + getHighUsefulMs(job);
	return {startMs: endMs - getLowPathMs(job), endMs};
};

/**
 * Whether the waiting work must be listed to decide on a job: the service might
 * not do all that waits in time.
 */
export const needsWaitingWork = (
	outlook: QueueOutlook,
	job: AcceptedJob,
	now: number,
): boolean => {
	const {startMs, endMs} = getLimits(outlook, job, now);
	return (
		getMostWork(outlook, startMs) < outlook.waitingLowWork ||
		getMostWork(outlook, endMs) < outlook.waitingLowWork + getLowWork(job)
	);
};

const decideByRoom = (
	outlook: QueueOutlook,
	{job}: AdmissionCandidate,
	now: number,
): AdmissionVerdict => {
	const isOpen =
		outlook.areRunTimesLearned ||
		outlook.waiting === undefined ||
		!needsWaitingWork(outlook, job, now) ||
		canStartNow(outlook, job);
	if (isOpen) {
		return accept;
	}

	const lowWork = getLowWork(job);
	const {startMs: lastStartMs, endMs} = getLimits(outlook, job, now);
	const room = getMostRoom(outlook, job, endMs);
	if (room.startMs <= lastStartMs && room.work >= lowWork) {
		return accept;
	}

	const {capacityCpu, recoverableCpu} = outlook;
	const cpu = Math.max(1, capacityCpu + recoverableCpu);
	const missingMs = Math.max(0, lowWork - room.work) / cpu;
	const tooLateMs = Math.max(0, Math.min(room.startMs, endMs) - lastStartMs);
	return {
		kind: 'reject',
		reason: 'unservable',
		expected: {
			lane: 'room',
			fromAt: now + typicalWorkFactor * Math.max(missingMs, tooLateMs),
			spacingMs: (typicalWorkFactor * lowWork) / cpu,
		},
	};
};

/**
 * Decides on a job that the owner does not know, at a monotonic time in
 * milliseconds.
 */
export const decideAdmission = (
	outlook: QueueOutlook,
	candidate: AdmissionCandidate,
	now: number,
): AdmissionVerdict => {
	const isCertain =
		outlook.isCertain && now - outlook.takenOverAt >= takeoverGraceMs;
	if (!isCertain || isExempt(candidate.job)) {
		return accept;
	}

	const byRate = decideByRate(outlook, candidate, now);
	return match(byRate)
		.with({kind: 'reject'}, (verdict) => verdict)
		.with({kind: 'accept'}, () => decideByRoom(outlook, candidate, now))
		.exhaustive();
};
