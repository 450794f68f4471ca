/** The disruptions of a soak and when they come, drawn from its seed. */
import {
	commandModes,
	linkStates,
	type CommandMode,
	type LinkState,
	type ListTrouble,
} from '@gullstand/users-platform/stand-ins';
import {drawBelow, type Random} from '../../frame/random.js';

export type StoreTrouble =
	'refuses' | 'resets' | 'silent' | 'slow' | 'loses' | 'loses-late';

/** Machines of a wave: of an executor's pool, the next, its rack, or all. */
export type WaveScope = 'pool' | 'next-pool' | 'rack' | 'all';

/** How the machine API fails; `busy` and `throttled` are answers 503 and 429. */
export type MachineApiTrouble = 'silent' | 'reset' | 'busy' | 'throttled';

/** What the list of machines shows meanwhile. */
export type MachineListTrouble = 'sound' | ListTrouble['kind'];

/** Executors of a service are cut off with their entries, and run on. */
type ServiceCut = {
	/** One of the executors of the service. */
	readonly executor: number;
	/** Share of the executors that are cut off. */
	readonly share: number;
	readonly state: LinkState;
	readonly forMs: number;
};

/** What becomes of an owner; another one may replace it as it is paused. */
export const ownerTroubles = [
	'killed',
	'terminated',
	'replaced',
	'none',
] as const;

export type OwnerTrouble = (typeof ownerTroubles)[number];

/** A disruption; daemons and executors are given by their index. */
export type Disruption =
	| {
			readonly kind: 'daemon-kill';
			readonly daemon: number;
			readonly backMs: number;
	  }
	| {
			readonly kind: 'daemon-terminate';
			readonly daemon: number;
			readonly backMs: number;
	  }
	| {
			readonly kind: 'daemon-slow';
			/** All daemons if absent. */
			readonly daemon: number | undefined;
			/** Share of the time in which it runs. */
			readonly share: number;
			readonly forMs: number;
	  }
	/** The daemon does not come back. */
	| {readonly kind: 'daemon-loss'; readonly daemon: number}
	/** The executor does not come back. */
	| {readonly kind: 'executor-loss'; readonly executor: number}
	/** The executor answers nothing any more, and stays in the registry. */
	| {readonly kind: 'executor-mute'; readonly executor: number}
	| {
			readonly kind: 'daemon-pause';
			readonly daemon: number;
			readonly forMs: number;
	  }
	| {readonly kind: 'daemon-settings'; readonly daemon: number}
	| {readonly kind: 'all-kill'; readonly backMs: number}
	| {readonly kind: 'all-pause'; readonly forMs: number}
	| {readonly kind: 'rolling-restart'; readonly gapMs: number}
	| {
			readonly kind: 'store';
			/** All daemons if absent. */
			readonly daemon: number | undefined;
			readonly trouble: StoreTrouble;
			readonly forMs: number;
	  }
	| {readonly kind: 'store-forgets'}
	| {readonly kind: 'store-half-open'; readonly share: number}
	| {readonly kind: 'executors-half-open'; readonly share: number}
	| {
			readonly kind: 'executor-crash';
			readonly executor: number;
			readonly backMs: number;
	  }
	| {
			readonly kind: 'executor-grey';
			readonly executor: number;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'executor-commands';
			readonly executor: number;
			readonly mode: CommandMode;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'executor-cut';
			readonly executor: number;
			readonly state: LinkState;
			/** Whether its heartbeats still reach the store. */
			readonly isListed: boolean;
			readonly forMs: number;
	  }
	/** An empty executor comes. */
	| {
			readonly kind: 'executor-add';
			/** One of the executors of the service. */
			readonly executor: number;
			readonly answersAfterMs: number;
			/** Until the list of machines has it. */
			readonly shownAfterMs: number;
	  }
	/** The executor is drained and taken away. */
	| {readonly kind: 'executor-remove'; readonly executor: number}
	/** The executor ends; one of another service has its address after it. */
	| {
			readonly kind: 'executor-replace';
			readonly executor: number;
			readonly answersAfterMs: number;
			readonly shownAfterMs: number;
	  }
	/** Entries lapse while their executors live, also as the store is away. */
	| {
			readonly kind: 'entries-lapse';
			readonly share: number;
			readonly trouble: StoreTrouble | undefined;
			readonly forMs: number;
	  }
	/** Their machines are listed, in some cases as of some time ago. */
	| (ServiceCut & {
			readonly kind: 'service-cut';
			readonly list: 'sound' | 'late';
	  })
	/** Their machines are left out of readings, or shown as down. */
	| (ServiceCut & {
			readonly kind: 'service-cut-unlisted';
			readonly list: 'omits' | 'down';
	  })
	/** The executors of one task are cut off in turn, each under a run of it. */
	| {
			readonly kind: 'task-cuts';
			readonly queue: number;
			/** Its job, which comes with the cuts. */
			readonly job: string;
			readonly times: number;
			/** From a start of the task until the cut. */
			readonly afterMs: number;
			readonly forMs: number;
	  }
	/**
	 * Executors of a service restart under their ids as commands for them are
	 * held up, which the next incarnations carry out, and are cut off soon after;
	 * in between the owner of the service may stop.
	 */
	| {
			readonly kind: 'recuts';
			readonly queue: number;
			/** Its jobs, which come with it; their numbers follow. */
			readonly job: string;
			readonly workMs: number;
			readonly share: number;
			/** How long commands are held up before the restart. */
			readonly heldMs: number;
			readonly held: CommandMode;
			readonly downMs: number;
			/** From a restart until commands of before are carried out. */
			readonly forNextMs: number;
			/** From the restart until the cut. */
			readonly cutAfterMs: number;
			readonly state: LinkState;
			readonly forMs: number;
			readonly owner: OwnerTrouble;
			/** Share of the time until the cut after which the owner stops. */
			readonly ownerShare: number;
			readonly backMs: number;
	  }
	/**
	 * Executors of a service leave starts without an answer and are cut off. They
	 * crash behind the cut, start again under their ids and carry the starts out
	 * late, still cut off; meanwhile the owner of the service may stop.
	 */
	| {
			readonly kind: 'late-starts';
			readonly queue: number;
			/** Its jobs, which come with it; their numbers follow. */
			readonly job: string;
			readonly workMs: number;
			readonly share: number;
			/** How long commands stay without an answer before the cut. */
			readonly heldMs: number;
			/** From the cut until the crash. */
			readonly crashAfterMs: number;
			readonly downMs: number;
			readonly cutMs: number;
			/** Whether their heartbeats reach the store. */
			readonly isListed: boolean;
			readonly owner: OwnerTrouble;
			readonly backMs: number;
	  }
	/**
	 * After an idle time the owner of a service stops as a job has just started,
	 * and the executors of the job are cut off.
	 */
	| {
			readonly kind: 'idle-start';
			readonly queue: number;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'executor-resize';
			readonly executor: number;
			readonly share: number;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'executor-drain';
			readonly executor: number;
			readonly backMs: number;
	  }
	| {
			readonly kind: 'executor-unlist';
			readonly executor: number;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'wave';
			/** The first of the executors whose machines are due. */
			readonly executor: number;
			readonly machines: number;
			readonly cap: number;
	  }
	/** Waves that take pools whole. */
	| {
			readonly kind: 'pool-waves';
			/** One of the executors of the pool or of the rack. */
			readonly executor: number;
			readonly scope: WaveScope;
			readonly cap: number;
			/** The next wave, which comes while the first is under way. */
			readonly next:
				| undefined
				| {
						readonly scope: WaveScope;
						readonly cap: number;
						readonly afterMs: number;
				  };
	  }
	| {
			readonly kind: 'machine-api';
			readonly trouble: MachineApiTrouble;
			readonly forMs: number;
	  }
	| {
			readonly kind: 'queue-move';
			readonly queue: number;
			readonly gapMs: number;
	  }
	/**
	 * The queue moves several times, while the store carries out writes late, or
	 * does not serve one of the daemons, which keeps its configuration.
	 */
	| {
			readonly kind: 'queue-moves';
			readonly queue: number;
			readonly moves: number;
			readonly gapMs: number;
			readonly pauseMs: number;
			/** All daemons if absent. */
			readonly daemon: number | undefined;
			readonly trouble: StoreTrouble;
	  };

export type Disrupting = Disruption['kind'];

export type OfKind<Kind extends Disrupting> = Extract<
	Disruption,
	{readonly kind: Kind}
>;

export type TimedDisruption = Disruption & {
	readonly id: number;
	/** After the start of the traffic. */
	readonly atMs: number;
};

/** How often each kind comes, against the others. */
const weights: Readonly<Record<Disrupting, number>> = {
	// Drawn beside the others, as jobs are handed in for each.
	'queue-moves': 0,
	// Drawn beside the others, so that these stay as they are.
	'service-cut': 0,
	'service-cut-unlisted': 0,
	'task-cuts': 0,
	recuts: 0,
	'late-starts': 0,
	// Comes after the traffic.
	'idle-start': 0,
	'executor-add': 0,
	'executor-remove': 0,
	'executor-replace': 0,
	'entries-lapse': 0,
	'pool-waves': 0,
	'machine-api': 0,
	'daemon-kill': 4,
	'daemon-terminate': 4,
	'daemon-pause': 4,
	'daemon-settings': 1,
	'daemon-slow': 2.5,
	'daemon-loss': 0.4,
	'executor-loss': 0.7,
	'executor-mute': 0.7,
	'all-kill': 0.7,
	'all-pause': 0.7,
	'rolling-restart': 0.7,
	store: 5,
	'store-forgets': 1,
	'store-half-open': 1.5,
	'executors-half-open': 1.5,
	'executor-crash': 4,
	'executor-grey': 2,
	'executor-commands': 4,
	'executor-cut': 2,
	'executor-resize': 1.5,
	'executor-drain': 1.5,
	'executor-unlist': 1,
	'queue-move': 1,
	wave: 1,
};

export type ScheduleOptions = {
	readonly random: Random;
	readonly daemons: number;
	readonly executors: number;
	readonly queues: number;
	readonly fromMs: number;
	readonly untilMs: number;
	/** Kinds to draw from; all if absent. */
	readonly only: readonly string[] | undefined;
};

export const pick = <Value>(random: Random, values: readonly Value[]): Value =>
	values[drawBelow(random, values.length)]!;

const drawKind = (
	random: Random,
	only: readonly string[] | undefined,
): Disrupting => {
	const kinds = Object.entries(weights).filter(
		([kind]) => !only || only.includes(kind),
	) as Array<[Disrupting, number]>;
	let left = random() * kinds.reduce((sum, [, weight]) => sum + weight, 0);
	for (const [kind, weight] of kinds) {
		left -= weight;
		if (left < 0) {
			return kind;
		}
	}

	return kinds.at(-1)![0];
};

/** What the fields of a disruption are drawn from. */
type Draws = {
	readonly random: Random;
	readonly daemon: number;
	readonly executor: number;
	readonly queue: number;
	readonly drawMs: (from: number, to: number) => number;
};

const {ignores, isSilent, isLate, isForNext, refuses} = commandModes;

const brokenStates = [linkStates.silent, linkStates.reset] as const;

const troubles = [
	'refuses',
	'resets',
	'silent',
	'slow',
	'loses',
	'loses-late',
] as const satisfies readonly StoreTrouble[];

/** Most machines of a wave that may be away at once. */
const waveCaps = [1, 2, 4, 30] as const;

const halfOpenShares = [0.3, 0.6, 1] as const;

const drawServiceCut = ({random, executor, drawMs}: Draws): ServiceCut => ({
	executor,
	share: pick(random, [0.4, 1]),
	state: pick(random, brokenStates),
	forMs: drawMs(2000, 9000),
});

const drawers: {
	readonly [Kind in Disrupting]: (draws: Draws) => OfKind<Kind>;
} = {
	'daemon-kill': ({daemon, drawMs}) => ({
		kind: 'daemon-kill',
		daemon,
		backMs: drawMs(200, 3000),
	}),
	'daemon-terminate': ({daemon, drawMs}) => ({
		kind: 'daemon-terminate',
		daemon,
		backMs: drawMs(200, 3000),
	}),
	'daemon-pause': ({daemon, drawMs}) => ({
		kind: 'daemon-pause',
		daemon,
		forMs: drawMs(300, 7000),
	}),
	'daemon-slow': ({random, daemon, drawMs}) => ({
		kind: 'daemon-slow',
		daemon: random() < 0.7 ? daemon : undefined,
		share: pick(random, [0.15, 0.3, 0.5]),
		forMs: drawMs(2000, 8000),
	}),
	'daemon-loss': ({daemon}) => ({kind: 'daemon-loss', daemon}),
	'executor-loss': ({executor}) => ({kind: 'executor-loss', executor}),
	'executor-mute': ({executor}) => ({kind: 'executor-mute', executor}),
	'daemon-settings': ({daemon}) => ({
		kind: 'daemon-settings',
		daemon,
	}),
	'all-kill': ({drawMs}) => ({
		kind: 'all-kill',
		backMs: drawMs(200, 1500),
	}),
	'all-pause': ({drawMs}) => ({
		kind: 'all-pause',
		forMs: drawMs(500, 6000),
	}),
	'rolling-restart': ({drawMs}) => ({
		kind: 'rolling-restart',
		gapMs: drawMs(300, 1500),
	}),
	store: ({random, daemon, drawMs}) => ({
		kind: 'store',
		daemon: random() < 0.5 ? daemon : undefined,
		trouble: pick(random, troubles),
		forMs: drawMs(500, 7000),
	}),
	'store-forgets': () => ({
		kind: 'store-forgets',
	}),
	'store-half-open': ({random}) => ({
		kind: 'store-half-open',
		share: pick(random, halfOpenShares),
	}),
	'executors-half-open': ({random}) => ({
		kind: 'executors-half-open',
		share: pick(random, halfOpenShares),
	}),
	'executor-crash': ({executor, drawMs}) => ({
		kind: 'executor-crash',
		executor,
		backMs: drawMs(300, 6000),
	}),
	'executor-grey': ({executor, drawMs}) => ({
		kind: 'executor-grey',
		executor,
		forMs: drawMs(1000, 6000),
	}),
	'executor-commands': ({random, executor, drawMs}) => ({
		kind: 'executor-commands',
		executor,
		mode: pick(random, [ignores, isSilent, isLate, refuses]),
		forMs: drawMs(500, 6000),
	}),
	'executor-cut': ({random, executor, drawMs}) => ({
		kind: 'executor-cut',
		executor,
		state: pick(random, brokenStates),
		isListed: random() < 0.5,
		forMs: drawMs(500, 12_000),
	}),
	'executor-add': ({executor, drawMs}) => ({
		kind: 'executor-add',
		executor,
		answersAfterMs: drawMs(0, 5600),
		shownAfterMs: drawMs(0, 6000),
	}),
	'executor-remove': ({executor}) => ({kind: 'executor-remove', executor}),
	'executor-replace': ({executor, drawMs}) => ({
		kind: 'executor-replace',
		executor,
		answersAfterMs: drawMs(0, 1000),
		shownAfterMs: drawMs(0, 4000),
	}),
	'entries-lapse': ({random, drawMs}) => ({
		kind: 'entries-lapse',
		share: pick(random, [0.5, 1]),
		trouble: pick(random, [undefined, 'refuses', 'silent']),
		forMs: drawMs(2000, 7000),
	}),
	'service-cut': (draws) => ({
		kind: 'service-cut',
		...drawServiceCut(draws),
		list: pick(draws.random, ['sound', 'late']),
	}),
	'service-cut-unlisted': (draws) => ({
		kind: 'service-cut-unlisted',
		...drawServiceCut(draws),
		list: pick(draws.random, ['omits', 'down']),
	}),
	'task-cuts': ({random, queue, drawMs}) => ({
		kind: 'task-cuts',
		queue,
		job: `7a5c${drawBelow(random, 2 ** 32)
			.toString(16)
			.padStart(12, '0')}`,
		times: 5 + drawBelow(random, 3),
		afterMs: drawMs(20, 500),
		forMs: drawMs(5000, 8000),
	}),
	recuts: ({random, queue, drawMs}) => ({
		kind: 'recuts',
		queue,
		job: `4ec0${drawBelow(random, 2 ** 44)
			.toString(16)
			.padStart(11, '0')}`,
		workMs: drawMs(20_000, 26_000),
		share: pick(random, [0.3, 0.5, 0.75]),
		heldMs: drawMs(300, 800),
		held: random() < 0.25 ? isLate : isForNext,
		downMs: drawMs(50, 800),
		forNextMs: random() < 0.6 ? 0 : drawMs(200, 4000),
		cutAfterMs: drawMs(0, pick(random, [600, 3000])),
		state: linkStates.silent,
		forMs: drawMs(6000, 12_000),
		owner: pick(random, ownerTroubles),
		ownerShare: random(),
		backMs: drawMs(200, 3000),
	}),
	'late-starts': ({random, queue, drawMs}) => ({
		kind: 'late-starts',
		queue,
		job: `1a7e${drawBelow(random, 2 ** 44)
			.toString(16)
			.padStart(11, '0')}`,
		workMs: drawMs(14_000, 20_000),
		share: pick(random, [0.3, 0.5]),
		heldMs: drawMs(200, 500),
		crashAfterMs: drawMs(500, 3000),
		downMs: drawMs(1000, 5000),
		cutMs: drawMs(9000, 16_000),
		isListed: random() < 0.8,
		owner: pick(random, ownerTroubles),
		backMs: drawMs(200, 3000),
	}),
	'idle-start': ({queue, drawMs}) => ({
		kind: 'idle-start',
		queue,
		forMs: drawMs(5500, 8000),
	}),
	'executor-resize': ({random, executor, drawMs}) => ({
		kind: 'executor-resize',
		executor,
		share: pick(random, [0.3, 0.6]),
		forMs: drawMs(2000, 8000),
	}),
	'executor-drain': ({executor, drawMs}) => ({
		kind: 'executor-drain',
		executor,
		backMs: drawMs(500, 4000),
	}),
	'executor-unlist': ({executor, drawMs}) => ({
		kind: 'executor-unlist',
		executor,
		forMs: drawMs(500, 3000),
	}),
	wave: ({random, executor}) => ({
		kind: 'wave',
		executor,
		machines: 1 + drawBelow(random, 4),
		cap: 1 + drawBelow(random, 2),
	}),
	'pool-waves': ({random, executor, drawMs}) => ({
		kind: 'pool-waves',
		executor,
		scope: pick(random, ['pool', 'rack', 'all']),
		cap: pick(random, waveCaps),
		next:
			random() < 0.5
				? undefined
				: {
						scope: pick(random, ['pool', 'next-pool', 'all']),
						cap: pick(random, waveCaps),
						afterMs: drawMs(500, 6000),
					},
	}),
	'machine-api': ({random, drawMs}) => ({
		kind: 'machine-api',
		trouble: pick(random, ['silent', 'reset', 'busy', 'throttled']),
		forMs: drawMs(2000, 7000),
	}),
	'queue-move': ({queue, drawMs}) => ({
		kind: 'queue-move',
		queue,
		gapMs: drawMs(100, 1500),
	}),
	'queue-moves': ({random, daemon, queue, drawMs}) => ({
		kind: 'queue-moves',
		queue,
		moves: 2 + drawBelow(random, 3),
		gapMs: drawMs(50, 400),
		pauseMs: drawMs(300, 1800),
		...(random() < 0.6
			? {daemon: undefined, trouble: 'loses-late'}
			: {daemon, trouble: pick(random, ['refuses', 'resets', 'silent'])}),
	}),
};

/** Draws the fields of a disruption of a kind. */
export const drawDisruption = <Kind extends Disrupting>(
	kind: Kind,
	{
		random,
		daemons,
		executors,
		queues,
	}: Pick<ScheduleOptions, 'random' | 'daemons' | 'executors' | 'queues'>,
): OfKind<Kind> =>
	drawers[kind]({
		random,
		daemon: drawBelow(random, daemons),
		executor: drawBelow(random, executors),
		queue: drawBelow(random, queues),
		drawMs: (from, to) => from + drawBelow(random, to - from),
	});

/** Disruptions of a series, and the rest after it in milliseconds. */
const series = {min: 4, max: 9, restMs: 10_000} as const;

/**
 * Draws disruptions in series at gaps of 0.3 to 3 seconds; they may overlap.
 * Jobs that stand are judged in the rests between the series.
 */
export const drawSchedule = (
	options: ScheduleOptions,
): readonly TimedDisruption[] => {
	const {random, fromMs, untilMs, only} = options;
	const schedule: TimedDisruption[] = [];
	const drawLength = () =>
		series.min + drawBelow(random, series.max - series.min);
	let atMs = fromMs;
	let left = drawLength();
	while (atMs < untilMs) {
		const disruption = drawDisruption(drawKind(random, only), options);
		schedule.push({...disruption, id: schedule.length + 1, atMs});
		atMs += 300 + drawBelow(random, 2700);
		left -= 1;
		if (left === 0) {
			left = drawLength();
			atMs += series.restMs;
		}
	}

	return schedule;
};
