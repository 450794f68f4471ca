/**
 * Maintenance of machines in a wave: which machines to evacuate next, which to
 * send to maintenance, and when the wave is complete. Progress is stored before
 * each command is sent, so that the next holder can continue the wave.
 */

import {
	applyVerdict,
	isAway,
	observeMaintenance,
	recordAttempt,
	type CommandVerdict,
	type MachineMaintenance,
	type WaveMachine,
} from './machine-maintenance.js';
import {getMaxTurn, type PoolSpare} from './pool-spares.js';

/** A wave as an operator requested it. */
export type MachineWaveRequest = {
	readonly id: string;
	readonly machines: readonly string[];
	readonly durationMs: number;
	/**
	 * Maximum number of machines that this wave takes out of service at once.
	 */
	readonly maxAway: number;
};

/** Stored state of a wave. */
export type MachineWave = {
	readonly request: MachineWaveRequest;
	/** Time when the wave was first read, in milliseconds since 1970. */
	readonly seenAtEpochMs: number;
	readonly begun: Readonly<Record<string, MachineMaintenance>>;
	readonly isCompleted: boolean;
};

/** Load of a machine; one without an executor has none. */
export type MachineLoad = {
	readonly runs: number;
	/** Long-running tasks. */
	readonly lasting: number;
	readonly usedCpu: number;
};

/** Next step of a wave. */
export type WaveStep = {
	/** Machines to evacuate, including those in progress. */
	readonly evacuate: readonly string[];
	/** How many evacuated machines may start maintenance now. */
	readonly maxStarts: number;
	readonly isCompleted: boolean;
};

/** Creates the state of a new wave. */
export const createMachineWave = (
	request: MachineWaveRequest,
	epochNow: number,
): MachineWave => ({
	request,
	seenAtEpochMs: epochNow,
	begun: {},
	isCompleted: false,
});

/** Whether the maintenance of a machine has started, whatever its name is. */
export const hasBegun = ({begun}: MachineWave, id: string): boolean =>
	Object.hasOwn(begun, id);

/** Returns the maintenance of a machine, if it has started. */
export const getMaintenance = (
	wave: MachineWave,
	id: string,
): MachineMaintenance | undefined =>
	hasBegun(wave, id) ? wave.begun[id] : undefined;

const putEntry = (
	wave: MachineWave,
	id: string,
	entry: MachineMaintenance | undefined,
): MachineWave => {
	const {[id]: _, ...others} = wave.begun;
	return {...wave, begun: entry ? {...others, [id]: entry} : others};
};

/**
 * Updates the machines of a wave by a list that was requested at `viewedAt`, in
 * milliseconds since 1970. A machine that the list leaves out stays as it is.
 */
export const observeMachines = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	viewedAt: number,
): MachineWave => ({
	...wave,
	begun: Object.fromEntries(
		Object.entries(wave.begun).flatMap(([id, entry]) => {
			const next = observeMaintenance(entry, machines.get(id), viewedAt);
			return next ? [[id, next] as const] : [];
		}),
	),
});

/** Lists the machines that are, or may be, in maintenance for a wave. */
export const listAway = ({begun}: MachineWave): readonly string[] =>
	Object.entries(begun).flatMap(([id, entry]) => (isAway(entry) ? [id] : []));

/** Counts the machines that are, or may be, in maintenance for a wave. */
export const countAway = (wave: MachineWave): number => listAway(wave).length;

/** Lists the machines whose commands have no answer. */
export const listUnanswered = ({begun}: MachineWave): readonly string[] =>
	Object.entries(begun).flatMap(([id, {progress}]) =>
		progress.kind === 'unanswered' ? [id] : [],
	);

/** Lists the machines whose maintenance is pending or not known to be over. */
export const listUnfinished = (wave: MachineWave): readonly string[] =>
	wave.request.machines.filter((id) => {
		const entry = getMaintenance(wave, id);
		return !entry || isAway(entry);
	});

/** Lists the machines that need no maintenance any more since `before`. */
export const listFinished = (
	before: MachineWave,
	after: MachineWave,
): readonly string[] =>
	Object.entries(after.begun).flatMap(([id, entry]) => {
		const hasChanged =
			entry.progress.kind !== getMaintenance(before, id)?.progress.kind;
		return hasChanged && !isAway(entry) ? [id] : [];
	});

/** Weight of a long-running task relative to one that ends by itself. */
const longRunningWeight = 20;

const getLoadScore = (load: MachineLoad | undefined): number =>
	load ? load.runs + longRunningWeight * load.lasting : 0;

/** Lists the listed machines whose maintenance has not started. */
const listPending = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): readonly WaveMachine[] =>
	wave.request.machines.flatMap((id) => {
		const machine = machines.get(id);
		return machine && !hasBegun(wave, id) ? [machine] : [];
	});

/**
 * Lists machines that are up and whose maintenance has not started, the least
 * busy first.
 */
export const rankPending = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	getLoad: (machine: WaveMachine) => MachineLoad | undefined,
): readonly WaveMachine[] =>
	listPending(wave, machines)
		.filter(({isUp}) => isUp)
		.map((machine) => ({machine, loadScore: getLoadScore(getLoad(machine))}))
		.toSorted((one, two) => one.loadScore - two.loadScore)
		.map(({machine}) => machine);

/**
 * Whether the platform has maintained every machine of the wave that it has. One
 * that it did not have and lists again is not done.
 */
export const isWaveCompleted = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): boolean =>
	wave.request.machines.every((id) => {
		const kind = getMaintenance(wave, id)?.progress.kind;
		return (
			kind === 'returned' ||
			kind === 'not-in-wave' ||
			(kind === 'not-found' && !machines.has(id))
		);
	});

/** Input of a wave step. */
export type WaveStepInput = {
	readonly machines: ReadonlyMap<string, WaveMachine>;
	/** Machines that are being evacuated for the wave. */
	readonly evacuating: ReadonlySet<string>;
	/** Whether another wave or a move has a machine, or it can't leave now. */
	readonly isTaken?: (id: string) => boolean;
	/**
	 * Machines that each pool can spare beside those that are evacuated or away;
	 * absent for no bound.
	 */
	readonly spares?: ReadonlyMap<string, PoolSpare>;
	/** Whether a machine is emptied for a move, so that its pool has spared it. */
	readonly isLeaving?: (id: string) => boolean;
	readonly getLoad: (machine: WaveMachine) => MachineLoad | undefined;
	/**
	 * Time from the start of evacuation to the end of maintenance of one
	 * machine, in milliseconds.
	 */
	readonly turnaroundMs: number;
};

const getRemainingMs = (
	{seenAtEpochMs, request}: MachineWave,
	epochNow: number,
): number => seenAtEpochMs + request.durationMs - epochNow;

/**
 * Turnarounds to allow for a machine with long-running tasks, which leave one
 * at a time. With one turnaround, a wave of 40 machines, 10 of them such, ended
 * after 20.9 of its 20 s.
 */
const longRunningTurnarounds = 2;

const countTurnarounds = (
	wave: MachineWave,
	{machines, getLoad}: WaveStepInput,
): number => {
	let turnarounds = countAway(wave);
	for (const machine of listPending(wave, machines)) {
		turnarounds +=
			(getLoad(machine)?.lasting ?? 0) > 0 ? longRunningTurnarounds : 1;
	}

	return turnarounds;
};

/**
 * Number of machines that must be evacuated or in maintenance at once for the
 * wave to end one turnaround early. At most twice the maximum away, so that a
 * machine is ready as soon as another is back.
 */
const getConcurrencyLimit = (
	wave: MachineWave,
	input: WaveStepInput,
	epochNow: number,
): number => {
	const {turnaroundMs} = input;
	const remainingMs = Math.max(
		1,
		getRemainingMs(wave, epochNow) - turnaroundMs,
	);
	const workMs = countTurnarounds(wave, input) * turnaroundMs;
	return Math.min(2 * wave.request.maxAway, Math.ceil(workMs / remainingMs));
};

const countByPool = (
	machines: Iterable<WaveMachine>,
): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {pool} of machines) {
		counts.set(pool, (counts.get(pool) ?? 0) + 1);
	}

	return counts;
};

/**
 * Turns that the rest of a wave takes: as many machines at once as may be away,
 * and of each pool as many as it can always spare.
 */
const countRounds = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): number => {
	const pending = listPending(wave, machines);
	const totals = countByPool(machines.values());
	const roundsOfPools = [...countByPool(pending)].map(([pool, count]) =>
		Math.ceil(count / getMaxTurn(totals.get(pool) ?? 0)),
	);
	const rounds = Math.ceil(pending.length / Math.max(1, wave.request.maxAway));
	return Math.max(rounds, ...roundsOfPools);
};

/** Whether too little time is left to wait for running tasks to end. */
export const isShortOfTime = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	turnaroundMs: number,
	epochNow: number,
): boolean =>
	getRemainingMs(wave, epochNow) < countRounds(wave, machines) * turnaroundMs;

/** Returns a filter that takes as many machines of each pool as it can spare. */
const createSpareFilter = (
	{spares, isLeaving}: WaveStepInput,
	isUrgent: boolean,
): ((machine: WaveMachine) => boolean) => {
	const taken = new Map<string, number>();
	return ({id, pool}) => {
		if (isLeaving?.(id)) {
			return true;
		}

		const spare = spares?.get(pool);
		const count = taken.get(pool) ?? 0;
		if (spare && count >= (isUrgent ? spare.urgent : spare.normal)) {
			return false;
		}

		taken.set(pool, count + 1);
		return true;
	};
};

/**
 * Decides the next step. Idle machines start at once, as far as their pools can
 * spare them. Of the busy ones, only as many are evacuated as the deadline
 * requires, since a machine that is being evacuated accepts no tasks while
 * queues wait: a wave of half the fleet held 51 of 246 machines empty for 8 s.
 */
export const stepMachineWave = (
	wave: MachineWave,
	input: WaveStepInput,
	epochNow: number,
): WaveStep => {
	const {machines, evacuating, getLoad, isTaken} = input;
	const away = countAway(wave);
	const maxStarts = Math.max(0, wave.request.maxAway - away);
	const ranked = rankPending(wave, machines, getLoad).filter(
		({id}) => !isTaken?.(id),
	);
	const inProgress = ranked.filter(({id}) => evacuating.has(id));
	const notStarted = ranked.filter(({id}) => !evacuating.has(id));
	const isIdle = (machine: WaveMachine) => getLoadScore(getLoad(machine)) === 0;
	const isSpared = createSpareFilter(
		input,
		isShortOfTime(wave, machines, input.turnaroundMs, epochNow),
	);
	const idle = notStarted
		.filter((machine) => isIdle(machine))
		.filter((machine) => isSpared(machine))
		.slice(0, Math.max(0, maxStarts - inProgress.length));
	const startedCount = away + inProgress.length + idle.length;
	const busy = notStarted
		.filter((machine) => !isIdle(machine))
		.filter((machine) => isSpared(machine))
		.slice(
			0,
			Math.max(0, getConcurrencyLimit(wave, input, epochNow) - startedCount),
		);
	const evacuate = [...inProgress, ...idle, ...busy]
		.slice(0, wave.request.maxAway)
		.map(({id}) => id);
	return {
		evacuate,
		maxStarts,
		isCompleted: isWaveCompleted(wave, machines),
	};
};

/** Records that a command for a machine is about to be sent. */
export const recordCommand = (
	wave: MachineWave,
	machine: WaveMachine,
	epochNow: number,
): MachineWave =>
	putEntry(
		wave,
		machine.id,
		recordAttempt(getMaintenance(wave, machine.id), machine, epochNow),
	);

/**
 * Time after a wave was first read by which the platform knows its machines, in
 * milliseconds.
 */
const maxWaveLagMs = 3000;

/**
 * Returns what an answer shows. That a machine is not in a wave is believed only
 * of a wave that the platform must know: it is for good, and the wave may be
 * read here first.
 */
const toEvidence = (
	{seenAtEpochMs}: MachineWave,
	verdict: CommandVerdict,
	epochNow: number,
): CommandVerdict =>
	verdict === 'not-in-wave' && epochNow - seenAtEpochMs < maxWaveLagMs
		? 'refused'
		: verdict;

/** Records what the answer to the last command says. */
export const recordVerdict = (
	wave: MachineWave,
	id: string,
	verdict: CommandVerdict,
	epochNow: number,
): MachineWave => {
	const entry = getMaintenance(wave, id);
	return entry
		? putEntry(
				wave,
				id,
				applyVerdict(entry, toEvidence(wave, verdict, epochNow), epochNow),
			)
		: wave;
};

/**
 * Drops the record of a command that was not sent; `before` is the wave before
 * the record.
 */
export const withdrawCommand = (
	wave: MachineWave,
	before: MachineWave,
	id: string,
): MachineWave => putEntry(wave, id, getMaintenance(before, id));
