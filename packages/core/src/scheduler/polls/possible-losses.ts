/**
 * Losses of executors that may be none, and the crashes that rest on them.
 *
 * An executor that does not answer and has left the registry may be cut off, and
 * live. The loss under its runs is open until a sign shows what became of it:
 *
 * - The same incarnation answers, or the registry lists it again: nothing has
 *   crashed, and the crashes are withdrawn, also those that count already.
 * - Another incarnation answers at its id or is listed there, or another
 *   executor has been listed at its address since: the crashes count.
 * - It stays away for `absenceMs`: they count, as no task waits for ever. If the
 *   registry has listed it all the time, it lives, and they are withdrawn.
 */
import type {Executor} from '../state/executor.js';
import {
	isLaterIncarnation,
	isRestart,
	type IncarnationReading,
} from '../state/incarnation.js';
import type {EndedJob} from '../state/job-ends.js';
import {markTaskDirty} from '../state/split-progress.js';
import type {Owner, PossibleLoss} from '../state/owner-state.js';
import {
	lossSigns,
	type Crash,
	type LossSign,
	type PossiblyLost,
} from '../state/crash.js';
import {listCoscheduledTasks, type Task} from '../state/task.js';
import {giveUpIfAtFault} from './crash-suspects.js';
import {withdrawCrash} from './open-crashes.js';

/** What became of an executor whose loss was possible. */
export type SettledLoss = {
	readonly executorId: string;
	/** `lives`: its crashes are withdrawn. Otherwise why they count. */
	readonly outcome: 'lives' | LossSign;
	/** Tasks that have crashed it if it does not live. */
	readonly taskIds: readonly string[];
};

/** Losses that were settled, and the jobs that fail thereby. */
export type Settlement = {
	readonly losses: readonly SettledLoss[];
	readonly jobEnds: readonly EndedJob[];
};

const noSettlement: Settlement = {losses: [], jobEnds: []};

const joinSettlements = (all: readonly Settlement[]): Settlement => ({
	losses: all.flatMap(({losses}) => losses),
	jobEnds: all.flatMap(({jobEnds}) => jobEnds),
});

/** Executor of the crashes in rows that do not name it. */
const unknownExecutor: PossiblyLost = {executorId: ''};

const isPossiblyOn = (
	{possiblyOn}: Crash,
	{executorId, startedAtEpochMs}: PossiblyLost,
): boolean =>
	possiblyOn?.executorId === executorId &&
	possiblyOn.startedAtEpochMs === startedAtEpochMs;

const listLosses = (
	{possibleLosses}: Owner,
	executorId: string,
): readonly PossibleLoss[] => possibleLosses.get(executorId) ?? [];

const setLosses = (
	{possibleLosses}: Owner,
	executorId: string,
	losses: readonly PossibleLoss[],
): void => {
	if (losses.length > 0) {
		possibleLosses.set(executorId, losses);
	} else {
		possibleLosses.delete(executorId);
	}
};

const addLoss = (owner: Owner, added: PossibleLoss): void => {
	const {executorId, startedAtEpochMs} = added.lost;
	const losses = listLosses(owner, executorId);
	const known = losses.find(
		({lost}) => lost.startedAtEpochMs === startedAtEpochMs,
	);
	const tasks = new Set([...(known?.tasks ?? []), ...added.tasks]);
	setLosses(owner, executorId, [
		...losses.filter((each) => each !== known),
		{...(known ?? added), tasks},
	]);
};

/** Adds tasks to those that have crashed an executor if it does not live. */
export const addPossibleLoss = (
	owner: Owner,
	{wasUnlisted, unresponsiveSince, neighborIds}: Executor,
	lost: PossiblyLost,
	{tasks, now}: {readonly tasks: readonly Task[]; readonly now: number},
): void => {
	addLoss(owner, {
		lost,
		tasks: new Set(tasks),
		neighborIds,
		since: unresponsiveSince ?? now,
		wasUnlisted,
		sign: undefined,
	});
};

/** Records that the registry has dropped an executor. */
export const noteUnlisted = (owner: Owner, executorId: string): void => {
	for (const loss of listLosses(owner, executorId)) {
		loss.wasUnlisted = true;
	}
};

const describeLoss = (
	{lost, tasks}: PossibleLoss,
	outcome: SettledLoss['outcome'],
): SettledLoss => ({
	executorId: lost.executorId,
	outcome,
	taskIds: [...tasks].map(({id}) => id),
});

/** Withdraws the crashes of an executor that lives. */
const withdrawLoss = (owner: Owner, loss: PossibleLoss): Settlement => {
	for (const task of loss.tasks) {
		for (const crash of task.crashes) {
			if (isPossiblyOn(crash, loss.lost)) {
				withdrawCrash(owner, task, crash.run);
			}
		}
	}

	return {losses: [describeLoss(loss, 'lives')], jobEnds: []};
};

/**
 * Counts the crashes of an executor that is lost by some sign. A task that runs
 * again is left to the end of that run.
 */
const countLoss = (
	owner: Owner,
	loss: PossibleLoss,
	sign: LossSign,
	now: number,
): Settlement => {
	const isFinal = sign === lossSigns.restarted;
	for (const task of loss.tasks) {
		for (const each of listCoscheduledTasks(task)) {
			each.crashes = each.crashes.map((crash) =>
				isPossiblyOn(crash, loss.lost)
					? {
							...crash,
							sign,
							possiblyOn: isFinal ? undefined : crash.possiblyOn,
						}
					: crash,
			);
		}

		markTaskDirty(owner, task);
	}

	return {
		losses: [describeLoss(loss, sign)],
		jobEnds: [...loss.tasks]
			.filter(({runs}) => runs.length === 0)
			.flatMap((task) => giveUpIfAtFault(owner, task, now)),
	};
};

/**
 * Settles the losses of an executor that answers: the incarnation that answers
 * lives, and all others have ended.
 */
export const settleAnswered = (
	owner: Owner,
	executorId: string,
	answer: IncarnationReading,
	now: number,
): Settlement => {
	const losses = listLosses(owner, executorId);
	if (losses.length === 0) {
		return noSettlement;
	}

	owner.possibleLosses.delete(executorId);
	return joinSettlements(
		losses.map((loss) => {
			const {startedAtEpochMs, clockMs = Number.NEGATIVE_INFINITY} = loss.lost;
			return isRestart({startedAtEpochMs, clockMs}, answer)
				? countLoss(owner, loss, lossSigns.restarted, now)
				: withdrawLoss(owner, loss);
		}),
	);
};

/** Whether a loss still matters to a task. */
const isOfUse = ({lost, tasks}: PossibleLoss): boolean =>
	[...tasks].some(
		(task) =>
			!task.isDone &&
			!task.step.occurrence.job.end &&
			task.crashes.some((crash) => isPossiblyOn(crash, lost)),
	);

/** `forgotten`: no crash rests on the loss any more. */
type Outcome = SettledLoss['outcome'] | 'open' | 'forgotten';

/** What the registry says of the executor of a loss. */
const findOutcome = (
	owner: Owner,
	loss: PossibleLoss,
	idsByAddress: ReadonlyMap<string, readonly string[]>,
	now: number,
): Outcome => {
	const {lost, neighborIds, since, wasUnlisted, sign} = loss;
	const isAwayForLong = now - since >= owner.cfg.absenceMs;
	if (isAwayForLong && !isOfUse(loss)) {
		return 'forgotten';
	}

	const executor = owner.executors.get(lost.executorId);
	const isListed = executor?.isListed === true;
	if (
		isListed &&
		isLaterIncarnation(executor.listed.startedAtEpochMs, lost.startedAtEpochMs)
	) {
		return lossSigns.restarted;
	}

	if (isListed) {
		return wasUnlisted || isAwayForLong ? 'lives' : (sign ?? 'open');
	}

	const isReplaced =
		neighborIds !== undefined &&
		(idsByAddress.get(lost.address ?? '') ?? []).some(
			(id) => id !== lost.executorId && !neighborIds.has(id),
		);
	if (sign === undefined && isReplaced) {
		return lossSigns.replaced;
	}

	return sign ?? (isAwayForLong ? lossSigns.absent : 'open');
};

const applyOutcome = (
	owner: Owner,
	loss: PossibleLoss,
	outcome: Outcome,
	now: number,
): Settlement => {
	switch (outcome) {
		case 'open':
		case 'forgotten': {
			return noSettlement;
		}

		case 'lives': {
			return withdrawLoss(owner, loss);
		}

		case 'restarted':
		case 'replaced':
		case 'absent': {
			const isKnown = loss.sign === outcome;
			loss.sign = outcome;
			return isKnown ? noSettlement : countLoss(owner, loss, outcome, now);
		}
	}
};

const groupByAddress = ({
	executors,
}: Owner): ReadonlyMap<string, readonly string[]> => {
	const ids = new Map<string, string[]>();
	for (const {id, listed, isListed} of executors.values()) {
		if (isListed) {
			const known = ids.get(listed.address) ?? [];
			known.push(id);
			ids.set(listed.address, known);
		}
	}

	return ids;
};

/** Outcomes that an answer of the same incarnation would disprove. */
const openOutcomes: ReadonlySet<Outcome> = new Set([
	'open',
	lossSigns.replaced,
	lossSigns.absent,
]);

/**
 * Settles the losses of executors by what the registry says and how long they
 * have been away. Time in which the registry is not read does not count.
 */
export const settleByRegistry = (owner: Owner, now: number): Settlement => {
	const all = [...owner.possibleLosses.values()].flat();
	if (!owner.isRegistryCurrent) {
		for (const loss of all) {
			loss.since = now;
		}

		return noSettlement;
	}

	const isAnyOpen = all.some(({sign}) => sign === undefined);
	const idsByAddress = isAnyOpen ? groupByAddress(owner) : new Map();
	const settlements: Settlement[] = [];
	for (const [executorId, losses] of owner.possibleLosses) {
		const open: PossibleLoss[] = [];
		for (const loss of losses) {
			const outcome = findOutcome(owner, loss, idsByAddress, now);
			settlements.push(applyOutcome(owner, loss, outcome, now));
			if (openOutcomes.has(outcome)) {
				open.push(loss);
			}
		}

		setLosses(owner, executorId, open);
	}

	return joinSettlements(settlements);
};

/**
 * Takes over the crashes of a task that were not settled under an earlier owner.
 * Rows of the older format do not say by which sign a crash counts, so that it
 * does once an executor could have come back.
 */
export const inheritPossibleLosses = (owner: Owner, task: Task): void => {
	task.crashes = task.crashes.map((crash) =>
		crash.sign === undefined && crash.possiblyOn === undefined
			? {...crash, possiblyOn: unknownExecutor}
			: crash,
	);
	for (const {possiblyOn, sign} of task.crashes) {
		if (possiblyOn) {
			addLoss(owner, {
				lost: possiblyOn,
				tasks: new Set([task]),
				neighborIds: undefined,
				since: owner.takenOverAt,
				wasUnlisted: false,
				sign,
			});
		}
	}
};
