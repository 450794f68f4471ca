/** Sizes of a soak. */

export type SoakSizes = {
	readonly daemons: number;
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly executors: number;
		readonly guardsCapacity: boolean;
	}>;
	/** Machines that are off until they move. */
	readonly standbyMachines: number;
	/** CPU of an executor in thousandths of a core, and its memory. */
	readonly cpu: number;
	readonly memMb: number;
	readonly jobsPerS: number;
	/** How long most jobs are for one service, each in its turn. */
	readonly turnMs: number;
	/** By what the CPU of all tasks is multiplied. */
	readonly taskCpuFactor: number;
	readonly maxWideTasks: number;
	readonly hugeTasks: number;
	readonly bursts: number;
	readonly burstJobs: number;
	/** Series of moves of a queue, and the jobs handed in to it meanwhile. */
	readonly queueMoves: number;
	readonly movedJobsPerS: number;
	/** Disruptions of the fleet beside the others. */
	readonly fleetDisruptions: number;
	/** Waves of whole pools, or of two that overlap. */
	readonly poolWaves: number;
	/** Traffic before the first disruption. */
	readonly quietMs: number;
	readonly disturbedMs: number;
	/** Traffic after the last disruption. */
	readonly settledMs: number;
	/** Until jobs are asked for, after the traffic. */
	readonly finishMs: number;
	/** Time without jobs after that, before a last one starts. */
	readonly idleMs: number;
	/** Series of cuts on one task. */
	readonly taskCuts: number;
	/** Restarts of executors that are cut off soon after. */
	readonly recuts: number;
	/** Starts without an answer that are carried out behind a cut. */
	readonly lateStarts: number;
	/** Bursts on a queue that needs placement advice, and the jobs of each. */
	readonly adviceBursts: number;
	readonly adviceJobs: number;
};

const finishMs = 14_000;

export const soakSizes = {
	short: {
		daemons: 3,
		services: [
			{name: 'quoting', executors: 4, guardsCapacity: false},
			{name: 'claims', executors: 4, guardsCapacity: true},
		],
		standbyMachines: 3,
		cpu: 32_000,
		memMb: 65_536,
		jobsPerS: 4,
		turnMs: 6000,
		taskCpuFactor: 4,
		maxWideTasks: 30,
		hugeTasks: 0,
		bursts: 1,
		burstJobs: 30,
		queueMoves: 1,
		movedJobsPerS: 4,
		fleetDisruptions: 6,
		poolWaves: 0,
		quietMs: 2000,
		disturbedMs: 20_000,
		settledMs: 9000,
		finishMs,
		idleMs: 60_000,
		taskCuts: 1,
		recuts: 6,
		lateStarts: 2,
		adviceBursts: 2,
		adviceJobs: 12,
	},
	usual: {
		daemons: 5,
		services: [
			{name: 'quoting', executors: 8, guardsCapacity: false},
			{name: 'claims', executors: 8, guardsCapacity: true},
			{name: 'plant', executors: 8, guardsCapacity: false},
		],
		standbyMachines: 5,
		cpu: 32_000,
		memMb: 65_536,
		jobsPerS: 11,
		turnMs: 8000,
		taskCpuFactor: 3,
		maxWideTasks: 80,
		hugeTasks: 640,
		bursts: 3,
		burstJobs: 70,
		queueMoves: 4,
		movedJobsPerS: 6,
		fleetDisruptions: 18,
		poolWaves: 5,
		quietMs: 3000,
		disturbedMs: 70_000,
		settledMs: 12_000,
		finishMs,
		idleMs: 60_000,
		taskCuts: 4,
		recuts: 10,
		lateStarts: 3,
		adviceBursts: 3,
		adviceJobs: 16,
	},
	large: {
		daemons: 24,
		services: [
			{name: 'quoting', executors: 10, guardsCapacity: false},
			{name: 'claims', executors: 10, guardsCapacity: true},
			{name: 'plant', executors: 10, guardsCapacity: false},
			{name: 'delegated', executors: 10, guardsCapacity: false},
		],
		standbyMachines: 5,
		cpu: 32_000,
		memMb: 65_536,
		jobsPerS: 12,
		turnMs: 8000,
		taskCpuFactor: 3,
		maxWideTasks: 80,
		hugeTasks: 640,
		bursts: 3,
		burstJobs: 70,
		queueMoves: 4,
		movedJobsPerS: 6,
		fleetDisruptions: 18,
		poolWaves: 5,
		quietMs: 3000,
		disturbedMs: 60_000,
		settledMs: 12_000,
		finishMs,
		idleMs: 60_000,
		taskCuts: 4,
		recuts: 12,
		lateStarts: 3,
		adviceBursts: 3,
		adviceJobs: 16,
	},
	/** Pools of the fewest executors, on which waves take all at once. */
	'small-pools': {
		daemons: 3,
		services: [
			{name: 'quoting', executors: 2, guardsCapacity: false},
			{name: 'claims', executors: 3, guardsCapacity: true},
			{name: 'plant', executors: 5, guardsCapacity: false},
		],
		standbyMachines: 0,
		cpu: 32_000,
		memMb: 65_536,
		jobsPerS: 6,
		turnMs: 6000,
		taskCpuFactor: 2,
		maxWideTasks: 10,
		hugeTasks: 0,
		bursts: 0,
		burstJobs: 0,
		queueMoves: 1,
		movedJobsPerS: 2,
		fleetDisruptions: 2,
		poolWaves: 2,
		quietMs: 3000,
		disturbedMs: 14_000,
		settledMs: 5000,
		finishMs,
		idleMs: 5000,
		taskCuts: 0,
		recuts: 0,
		lateStarts: 0,
		adviceBursts: 1,
		adviceJobs: 8,
	},
	/** Many processes, for restarts and cuts on many executors. */
	'many-daemons': {
		daemons: 44,
		services: [
			{name: 'quoting', executors: 20, guardsCapacity: false},
			{name: 'claims', executors: 20, guardsCapacity: true},
			{name: 'plant', executors: 20, guardsCapacity: false},
			{name: 'delegated', executors: 20, guardsCapacity: false},
		],
		standbyMachines: 5,
		cpu: 32_000,
		memMb: 65_536,
		jobsPerS: 6,
		turnMs: 8000,
		taskCpuFactor: 3,
		maxWideTasks: 40,
		hugeTasks: 0,
		bursts: 0,
		burstJobs: 0,
		queueMoves: 1,
		movedJobsPerS: 3,
		fleetDisruptions: 6,
		poolWaves: 0,
		quietMs: 8000,
		disturbedMs: 60_000,
		settledMs: 12_000,
		finishMs,
		idleMs: 30_000,
		taskCuts: 2,
		recuts: 24,
		lateStarts: 4,
		adviceBursts: 2,
		adviceJobs: 12,
	},
} as const satisfies Readonly<Record<string, SoakSizes>>;
