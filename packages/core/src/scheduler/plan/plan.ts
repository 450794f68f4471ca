/** Plans the next commands of the owner of a service. */
import {isCrashSuspect} from '../polls/crash-evidence.js';
import type {Executor} from '../state/executor.js';
import {forgetEndedGangs, hasWaitedForGang} from '../state/incomplete-gangs.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {listUsable} from '../placement/place-task.js';
import {rankJobs, type RankedJob} from '../ranking/rank.js';
import {updateSlowExecutors} from '../executor-speed/record-speeds.js';
import {estimateRun} from '../run-times/model.js';
import {nextRunNumber} from '../state/run-numbers.js';
import {isStepReady, isWaiting, type Run, type Step} from '../state/task.js';
import {computeTeamUse} from '../ranking/team-use.js';
import {countPendingStarts, countStartsLeft} from './starts-left.js';
import {
	evictFor,
	isWithinTeamCap,
	listStepExecutors,
	placeStart,
	startTask,
	stopRun,
	type Command,
	type Planning,
	type StopReason,
} from './planning.js';
import {planCopies, settleCopies} from './plan-copies.js';
import {limitIsolation, planSuspects} from './plan-suspects.js';
import {completeGangs, planGang} from './plan-gang.js';
import {planRoomShares, reserveRoom} from './plan-room-shares.js';
import {
	createRejectedDemands,
	isKnownNotToFit,
	recordRejectedDemand,
} from './rejected-demands.js';
import {expireEvacuations, listEvacuationStops} from './evacuation.js';
import {updateEvacuationTurns} from './evacuation-turns.js';
import {mayStopLongRunning} from './long-running-stops.js';

const isHung = (owner: Owner, run: Run, now: number): boolean => {
	const {hangFactor, hangMs, startupLimitMs} = owner.cfg;
	const {spec} = run.task.step;
	if (run.state !== 'running' || spec.isGang) {
		return false;
	}

	const isStuck = now - run.progressedAt > hangMs;
	if (spec.isLongRunning) {
		const isLate = run.percent < 100 && now - run.askedAt > startupLimitMs;
		// One that makes progress may be ready by now.
		return isLate && (isStuck || mayStopLongRunning(owner, run.task));
	}

	if (!isStuck || run.percent >= 100) {
		return false;
	}

	// Never sooner than by the declared time: a stopped run is repeated work.
	const {typicalMs} = estimateRun(owner.runTimes, run.task.step);
	const runMs = Math.max(spec.estimateMs, typicalMs);
	return now - run.askedAt > hangFactor * runMs;
};

const isDuplicate = ({task, number}: Run): boolean =>
	!task.step.spec.allowsCopies &&
	task.runs.some((other) => other.number > number);

const findStopReason = (
	owner: Owner,
	run: Run,
	now: number,
): StopReason | undefined => {
	const {task} = run;
	if (task.step.occurrence.job.end) {
		return 'job-ended';
	}

	if (task.isDone) {
		return 'task-done';
	}

	if (isDuplicate(run)) {
		return 'duplicate';
	}

	if (run.state === 'unsettled') {
		return 'unanswered-start';
	}

	if (hasWaitedForGang(owner, run, now)) {
		return 'gang-incomplete';
	}

	return isHung(owner, run, now) ? 'hung' : undefined;
};

const isStoppable = ({state}: Run): boolean =>
	state === 'running' || state === 'unsettled';

const mayLeaveDraining = (
	owner: Owner,
	{listed}: Executor,
	run: Run,
): boolean =>
	listed.isDraining &&
	run.task.step.spec.isLongRunning &&
	mayStopLongRunning(owner, run.task);

const planStops = (owner: Owner, now: number): readonly Command[] => {
	const commands: Command[] = [];
	const add = (command: Command | undefined) => {
		if (command) {
			commands.push(command);
		}
	};

	for (const executor of owner.executors.values()) {
		// Stops for an unresponsive executor wait until it answers a poll.
		if (executor.unresponsiveSince !== undefined) {
			continue;
		}

		for (const run of executor.runs.values()) {
			const reason = isStoppable(run)
				? findStopReason(owner, run, now)
				: undefined;
			add(reason && stopRun(executor, run, reason));
		}

		for (const run of listEvacuationStops(owner, executor, now)) {
			add(stopRun(executor, run, 'evacuation'));
		}

		for (const run of executor.runs.values()) {
			if (isStoppable(run) && mayLeaveDraining(owner, executor, run)) {
				add(stopRun(executor, run, 'executor-draining'));
			}
		}
	}

	return commands;
};

/** Starts tasks of a step until one cannot be placed. */
const planStep = (planning: Planning, step: Step): void => {
	const {owner, commands, rejected} = planning;
	const isLongRunningStep = step.spec.isLongRunning;
	if (!isLongRunningStep && isKnownNotToFit(rejected, step)) {
		return;
	}

	const usable = listStepExecutors(planning, step);
	for (const task of step.tasks) {
		if (planning.startsLeft <= 0) {
			return;
		}

		const mayStart = isWaiting(task) && isLocationKnown(owner, task);
		if (!mayStart || isCrashSuspect(task)) {
			continue;
		}

		if (!isWithinTeamCap(planning, task)) {
			return;
		}

		const placement = placeStart(planning, usable, task);
		if (placement.kind === 'refused') {
			if (placement.reason === 'noRoom' && isLongRunningStep) {
				evictFor(planning, usable, task);
			}

			recordRejectedDemand(rejected, planning.usable, step);
			return;
		}

		const number = nextRunNumber(owner, task);
		const command = startTask(planning, placement.executor, task, {
			number,
			isIsolated: false,
		});
		if (command) {
			commands.push(command);
		}
	}
};

const planJob = (planning: Planning, {job}: RankedJob): void => {
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			if (step.doneCount === step.spec.count || !isStepReady(step)) {
				continue;
			}

			if (step.spec.isGang) {
				planGang(planning, step);
			} else {
				planStep(planning, step);
			}
		}
	}
};

/** Plans the commands to send now and records the runs that they concern. */
export const planCommands = (
	owner: Owner,
	now: number,
	epochNow: number,
): readonly Command[] => {
	owner.adviceWishes.clear();
	expireEvacuations(owner, now);
	updateEvacuationTurns(owner, now);
	forgetEndedGangs(owner);
	const stops = planStops(owner, now);
	limitIsolation(owner, now);
	const usable = listUsable(owner, now);
	updateSlowExecutors(owner, usable.length, now);
	settleCopies(owner);
	const rejected = createRejectedDemands();
	const pendingStarts = countPendingStarts(owner);
	const planning: Planning = {
		owner,
		now,
		usable,
		commands: [...stops],
		rejected,
		teamUse: computeTeamUse(owner),
		startsLeft: countStartsLeft(owner, pendingStarts),
		pendingStarts,
	};
	completeGangs(planning);
	if (usable.length === 0 || planning.startsLeft <= 0) {
		return planning.commands;
	}

	planSuspects(planning);
	const jobs = planRoomShares(planning, rankJobs(owner, {now, epochNow}));
	for (const ranked of jobs) {
		if (planning.startsLeft <= 0) {
			break;
		}

		planJob(planning, ranked);
	}

	planCopies(planning);
	reserveRoom(planning, jobs);
	return planning.commands;
};
