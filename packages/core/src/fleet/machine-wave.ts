/**
 * Maintenance of machines in a wave: which to empty next, which to order, and
 * when all is done. What has begun is stored before it is ordered, so that the
 * next holder goes on from there.
 */

/** A machine as the platform lists it, as far as a wave needs it. */
export type WaveMachine = {
	readonly id: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly executorId: string | undefined;
};

/** A wave as an operator has asked for it. */
export type MachineWaveRequest = {
	readonly id: string;
	readonly machines: readonly string[];
	readonly durationMs: number;
	/** Most machines that may be away for this wave at once. */
	readonly maxAway: number;
};

/** One machine whose maintenance was ordered. */
export type MachineMaintenance = {
	/** Its executor before; another one shows that it is back. */
	readonly executorId: string | undefined;
	/** Time of day when it was ordered first. */
	readonly begunAtEpochMs: number;
	readonly isAnswered: boolean;
	readonly isBack: boolean;
};

/** What is stored of a wave. */
export type MachineWave = {
	readonly request: MachineWaveRequest;
	/** Time of day when it was first seen. */
	readonly seenAtEpochMs: number;
	readonly begun: Readonly<Record<string, MachineMaintenance>>;
	readonly isCompleted: boolean;
};

/** How busy a machine is; a machine without an executor is not. */
export type MachineLoad = {
	readonly runs: number;
	readonly lasting: number;
	readonly usedCpu: number;
};

/** What to do next for a wave. */
export type WaveStep = {
	/** Machines to empty, also those that are being emptied already. */
	readonly evacuate: readonly string[];
	/** Machines whose maintenance may begin now if they are empty. */
	readonly maxStarts: number;
	readonly isCompleted: boolean;
};

/** A wave just seen. */
export const createMachineWave = (
	request: MachineWaveRequest,
	epochNow: number,
): MachineWave => ({
	request,
	seenAtEpochMs: epochNow,
	begun: {},
	isCompleted: false,
});

/** Notes which of the begun machines are back. */
export const recordReturnedMachines = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	epochNow: number,
): MachineWave => {
	const begun = Object.entries(wave.begun).map(([id, entry]) => {
		const isBack =
			entry.isBack || hasReturned(entry, machines.get(id), epochNow);
		return [id, {...entry, isBack}] as const;
	});
	return {...wave, begun: Object.fromEntries(begun)};
};

/**
 * A machine that the platform says it has maintained and that is up, with the
 * executor that it had when ordered, for this long was maintained by an
 * earlier order. Longer than a maintenance takes, in milliseconds.
 */
const earlierOrderMs = 8000;

const hasReturned = (
	entry: MachineMaintenance,
	machine: WaveMachine | undefined,
	epochNow: number,
): boolean => {
	if (!machine) {
		return true;
	}

	if (!machine.isUp) {
		return false;
	}

	const isReplaced =
		machine.executorId !== undefined && machine.executorId !== entry.executorId;
	const isOld = epochNow - entry.begunAtEpochMs > earlierOrderMs;
	return isReplaced || (entry.isAnswered && isOld);
};

/** Machines of a wave that are away for it, or may be. */
export const countAway = ({begun}: MachineWave): number =>
	Object.values(begun).filter(({isBack}) => !isBack).length;

/** Weight of a lasting task against one that ends by itself. */
const lastingWeight = 20;

const getBurden = (load: MachineLoad | undefined): number =>
	load ? load.runs + lastingWeight * load.lasting : 0;

/** Machines that are listed and have not begun. */
const listPending = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): readonly WaveMachine[] =>
	wave.request.machines.flatMap((id) => {
		const machine = machines.get(id);
		return machine && !(id in wave.begun) ? [machine] : [];
	});

/** Machines that have not begun, the least busy first. */
export const rankPending = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	getLoad: (machine: WaveMachine) => MachineLoad | undefined,
): readonly WaveMachine[] =>
	listPending(wave, machines)
		.filter(({isUp}) => isUp)
		.map((machine) => ({machine, burden: getBurden(getLoad(machine))}))
		.toSorted((one, two) => one.burden - two.burden)
		.map(({machine}) => machine);

/** Whether all machines that are there have begun and are back. */
export const isWaveCompleted = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): boolean => listPending(wave, machines).length === 0 && countAway(wave) === 0;

/** What a step of a wave is decided from. */
export type WaveStepInput = {
	readonly machines: ReadonlyMap<string, WaveMachine>;
	/** Machines that are being emptied for the wave. */
	readonly evacuating: ReadonlySet<string>;
	readonly getLoad: (machine: WaveMachine) => MachineLoad | undefined;
	/** Time that one machine takes, emptying included, in milliseconds. */
	readonly turnaroundMs: number;
};

const getLeftMs = (
	{seenAtEpochMs, request}: MachineWave,
	epochNow: number,
): number => seenAtEpochMs + request.durationMs - epochNow;

/**
 * Turns that a machine with lasting tasks takes, since such tasks leave one at
 * a time. With one turn each, a wave of 40 machines, 10 of them such, ended
 * after 20.9 of its 20 s.
 */
const lastingTurns = 2;

const countTurns = (
	wave: MachineWave,
	{machines, getLoad}: WaveStepInput,
): number => {
	let turns = countAway(wave);
	for (const machine of listPending(wave, machines)) {
		turns += (getLoad(machine)?.lasting ?? 0) > 0 ? lastingTurns : 1;
	}

	return turns;
};

/**
 * Machines that must be emptied or away at once for the wave to end with one
 * turn to spare. As many as may be away and as many again are the most, so
 * that one can begin as soon as another is back.
 */
const getPace = (
	wave: MachineWave,
	situation: WaveStepInput,
	epochNow: number,
): number => {
	const {turnaroundMs} = situation;
	const leftMs = Math.max(1, getLeftMs(wave, epochNow) - turnaroundMs);
	const work = countTurns(wave, situation) * turnaroundMs;
	return Math.min(2 * wave.request.maxAway, Math.ceil(work / leftMs));
};

/**
 * Decides the next step. Machines without work begin at once. Of those at work
 * no more are emptied than the time asks for: they take nothing new meanwhile,
 * and a wave of half the fleet held 51 of 246 machines empty for 8 s while
 * queues waited.
 */
export const stepMachineWave = (
	wave: MachineWave,
	situation: WaveStepInput,
	epochNow: number,
): WaveStep => {
	const {machines, evacuating, getLoad} = situation;
	const away = countAway(wave);
	const mayBegin = Math.max(0, wave.request.maxAway - away);
	const ranked = rankPending(wave, machines, getLoad);
	const begunAlready = ranked.filter(({id}) => evacuating.has(id));
	const fresh = ranked.filter(({id}) => !evacuating.has(id));
	const isIdle = (machine: WaveMachine) => getBurden(getLoad(machine)) === 0;
	const idle = fresh
		.filter((machine) => isIdle(machine))
		.slice(0, Math.max(0, mayBegin - begunAlready.length));
	const underWay = away + begunAlready.length + idle.length;
	const busy = fresh
		.filter((machine) => !isIdle(machine))
		.slice(0, Math.max(0, getPace(wave, situation, epochNow) - underWay));
	const evacuate = [...begunAlready, ...idle, ...busy]
		.slice(0, wave.request.maxAway)
		.map(({id}) => id);
	return {
		evacuate,
		maxStarts: mayBegin,
		isCompleted: isWaveCompleted(wave, machines),
	};
};

/** Notes that the maintenance of a machine is about to be ordered. */
export const recordMaintenanceStart = (
	wave: MachineWave,
	machine: WaveMachine,
	epochNow: number,
): MachineWave => ({
	...wave,
	begun: {
		...wave.begun,
		[machine.id]: {
			executorId: machine.executorId,
			begunAtEpochMs: epochNow,
			isAnswered: false,
			isBack: false,
		},
	},
});

/** Notes that the platform has taken the order. */
export const recordCommandAccepted = (
	wave: MachineWave,
	id: string,
): MachineWave => {
	const entry = wave.begun[id];
	return entry
		? {...wave, begun: {...wave.begun, [id]: {...entry, isAnswered: true}}}
		: wave;
};

/** The platform says that the machine is not to be maintained. */
export const skipMachine = (wave: MachineWave, id: string): MachineWave => {
	const entry = wave.begun[id];
	return entry
		? {...wave, begun: {...wave.begun, [id]: {...entry, isBack: true}}}
		: wave;
};

/** The order was certainly not carried out: the machine is pending again. */
export const undoMaintenanceStart = (
	wave: MachineWave,
	id: string,
): MachineWave => {
	const {[id]: _, ...begun} = wave.begun;
	return {...wave, begun};
};

/** Whether to stop what runs rather than wait: the wave's end is near. */
export const isShortOfTime = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	turnMs: number,
	epochNow: number,
): boolean => {
	const left = getLeftMs(wave, epochNow);
	const rounds = Math.ceil(
		listPending(wave, machines).length / Math.max(1, wave.request.maxAway),
	);
	return left < rounds * turnMs;
};
