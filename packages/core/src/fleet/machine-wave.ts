/**
 * Maintenance of machines in a wave: which machines to evacuate next, which to
 * send to maintenance, and when the wave is complete. Progress is stored before
 * each command is sent, so that the next holder can continue the wave.
 */

/** The part of the platform's machine record that a wave uses. */
export type WaveMachine = {
	readonly id: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly isInMaintenance: boolean;
	readonly executorId: string | undefined;
};

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

/** Maintenance of one machine, recorded before the command is sent. */
export type MachineMaintenance = {
	/**
	 * Executor at the start; a different one shows that the machine is back.
	 */
	readonly executorId: string | undefined;
	/** Time of the first command, in milliseconds since 1970. */
	readonly begunAtEpochMs: number;
	/** Whether the platform accepted the command. */
	readonly isAnswered: boolean;
	/**
	 * Whether the machine was seen in maintenance: its executor may start again
	 * under the same id. Absent in rows of the older format.
	 */
	readonly wasInMaintenance?: boolean | undefined;
	/** Whether the machine has returned to service. */
	readonly isBack: boolean;
	/** Why the machine counts as back. */
	readonly evidence?: ReturnEvidence | undefined;
};

/** What shows that a machine is back from maintenance. */
export type ReturnEvidence =
	/** The platform does not list it. */
	| 'not-listed'
	/** It is up with another executor than at the start. */
	| 'replaced'
	/** It was seen in maintenance and is up with the executor of the start. */
	| 'restarted'
	/** It is up long after the platform accepted the command. */
	| 'in-service'
	/** The platform will not maintain it for the wave. */
	| 'refused';

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

/** Records which machines are back from maintenance. */
export const recordReturnedMachines = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	epochNow: number,
): MachineWave => {
	const begun = Object.entries(wave.begun).map(([id, entry]) => {
		const machine = machines.get(id);
		const evidence = entry.isBack
			? entry.evidence
			: findReturnEvidence(entry, machine, epochNow);
		const isBack = entry.isBack || evidence !== undefined;
		const wasInMaintenance =
			entry.wasInMaintenance === true || machine?.isInMaintenance === true;
		return [id, {...entry, isBack, evidence, wasInMaintenance}] as const;
	});
	return {...wave, begun: Object.fromEntries(begun)};
};

/**
 * Time after which a machine that is up with its original executor counts as
 * maintained by an earlier command, if the platform accepted this one. Longer
 * than any maintenance, in milliseconds.
 */
const earlierCommandMs = 8000;

const findReturnEvidence = (
	entry: MachineMaintenance,
	machine: WaveMachine | undefined,
	epochNow: number,
): ReturnEvidence | undefined => {
	if (!machine) {
		return 'not-listed';
	}

	if (!machine.isUp) {
		return undefined;
	}

	if (machine.executorId !== undefined) {
		if (machine.executorId !== entry.executorId) {
			return 'replaced';
		}

		if (entry.wasInMaintenance === true) {
			return 'restarted';
		}
	}

	const isOverdue = epochNow - entry.begunAtEpochMs > earlierCommandMs;
	return entry.isAnswered && isOverdue ? 'in-service' : undefined;
};

/** Counts the machines that are, or may be, in maintenance for a wave. */
export const countAway = ({begun}: MachineWave): number =>
	Object.values(begun).filter(({isBack}) => !isBack).length;

/** Weight of a long-running task relative to one that ends by itself. */
const longRunningWeight = 20;

const getLoadScore = (load: MachineLoad | undefined): number =>
	load ? load.runs + longRunningWeight * load.lasting : 0;

/** Lists existing machines whose maintenance has not started. */
const listPending = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): readonly WaveMachine[] =>
	wave.request.machines.flatMap((id) => {
		const machine = machines.get(id);
		return machine && !(id in wave.begun) ? [machine] : [];
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

/** Whether every existing machine of the wave has been maintained. */
export const isWaveCompleted = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
): boolean => listPending(wave, machines).length === 0 && countAway(wave) === 0;

/** Input of a wave step. */
export type WaveStepInput = {
	readonly machines: ReadonlyMap<string, WaveMachine>;
	/** Machines that are being evacuated for the wave. */
	readonly evacuating: ReadonlySet<string>;
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

/**
 * Decides the next step. Idle machines start at once. Of the busy ones, only as
 * many are evacuated as the deadline requires, since a machine that is being
 * evacuated accepts no tasks while queues wait: a wave of half the fleet held 51
 * of 246 machines empty for 8 s.
 */
export const stepMachineWave = (
	wave: MachineWave,
	input: WaveStepInput,
	epochNow: number,
): WaveStep => {
	const {machines, evacuating, getLoad} = input;
	const away = countAway(wave);
	const maxStarts = Math.max(0, wave.request.maxAway - away);
	const ranked = rankPending(wave, machines, getLoad);
	const inProgress = ranked.filter(({id}) => evacuating.has(id));
	const notStarted = ranked.filter(({id}) => !evacuating.has(id));
	const isIdle = (machine: WaveMachine) => getLoadScore(getLoad(machine)) === 0;
	const idle = notStarted
		.filter((machine) => isIdle(machine))
		.slice(0, Math.max(0, maxStarts - inProgress.length));
	const startedCount = away + inProgress.length + idle.length;
	const busy = notStarted
		.filter((machine) => !isIdle(machine))
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

/** Records that maintenance of a machine is about to be commanded. */
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

/** Records that the platform accepted the command. */
export const recordCommandAccepted = (
	wave: MachineWave,
	id: string,
): MachineWave => {
	const entry = wave.begun[id];
	return entry
		? {...wave, begun: {...wave.begun, [id]: {...entry, isAnswered: true}}}
		: wave;
};

/** Treats a machine as done because the platform will not maintain it. */
export const skipMachine = (wave: MachineWave, id: string): MachineWave => {
	const entry = wave.begun[id];
	return entry
		? {
				...wave,
				begun: {
					...wave.begun,
					[id]: {...entry, isBack: true, evidence: 'refused'},
				},
			}
		: wave;
};

/**
 * Makes a machine pending again after a command that was certainly not
 * executed.
 */
export const undoMaintenanceStart = (
	wave: MachineWave,
	id: string,
): MachineWave => {
	const {[id]: _, ...begun} = wave.begun;
	return {...wave, begun};
};

/** Whether too little time is left to wait for running tasks to end. */
export const isShortOfTime = (
	wave: MachineWave,
	machines: ReadonlyMap<string, WaveMachine>,
	turnaroundMs: number,
	epochNow: number,
): boolean => {
	const remainingMs = getRemainingMs(wave, epochNow);
	const rounds = Math.ceil(
		listPending(wave, machines).length / Math.max(1, wave.request.maxAway),
	);
	return remainingMs < rounds * turnaroundMs;
};
