/** Carries out the disruptions of a schedule. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	ruleBounds,
	commandModes,
	linkStates,
	type Executor,
	type ListTrouble,
	type StoreFault,
} from '@gullstand/users-platform/stand-ins';
import {drawBelow, type Random} from '../../frame/random.js';
import {bringBack, type Daemon} from './daemons.js';
import {stopOwnerAtStart} from './idle-start.js';
import {delayStarts} from './late-starts.js';
import type {Recorder} from './record.js';
import {cutRestarted} from './recuts.js';
import {cutTask} from './repeated-cuts.js';
import {getQueueMovesMs} from './queue-moves.js';
import type {
	Disrupting,
	MachineListTrouble,
	OfKind,
	StoreTrouble,
	TimedDisruption,
} from './schedule.js';
import type {SoakEnvironment} from './environment.js';
import {maintainMachines, playPoolWaves, troubleMachineApi} from './upkeep.js';

const {graceMs} = ruleBounds;

const heartbeatMs = 1500;

/** Daemons, and executors of each service, that stay. */
const minDaemons = 2;
const minExecutors = 3;

/** Until all leases of an executor that answers nothing have lapsed. */
const muteMs = 13_000;

/** Turn in which a slow daemon runs once. */
const slowTurnMs = 60;

/** Troubles in which the store serves nobody. */
const awayTroubles: ReadonlySet<StoreTrouble> = new Set([
	'refuses',
	'resets',
	'silent',
]);

const toFault = (trouble: StoreTrouble, random: Random): StoreFault => {
	switch (trouble) {
		case 'refuses': {
			return {kind: 'refuses', status: 503};
		}

		case 'resets':
		case 'silent': {
			return {kind: trouble};
		}

		case 'slow': {
			return {kind: 'slow', extraMs: 200 + drawBelow(random, 800)};
		}

		case 'loses': {
			return {kind: 'loses', share: 0.35, lateMs: () => 0};
		}

		case 'loses-late': {
			return {
				kind: 'loses',
				share: 0.35,
				lateMs: () => 1000 + drawBelow(random, 5000),
			};
		}
	}
};

const pause = async (daemons: readonly Daemon[], forMs: number) => {
	const paused = daemons.filter((each) => each.isRunning());
	for (const each of paused) {
		each.signal('SIGSTOP');
	}

	await delay(forMs);
	for (const each of paused) {
		each.signal('SIGCONT');
	}
};

/** A queue leaves its service; a later version adds it for another one. */
const moveQueue = async (
	{queues, configure}: SoakEnvironment,
	index: number,
	gapMs: number,
) => {
	const moved = queues[index]!;
	const services = [...new Set(queues.map(({service}) => service))];
	const next =
		services[(services.indexOf(moved.service) + 1) % services.length];
	configure(queues.filter((each) => each !== moved));
	await delay(gapMs);
	queues[index] = {...moved, service: next ?? moved.service};
	configure(queues);
};

/** The executor of an index, or the next one that is up and answers. */
const findSound = (
	executors: readonly Executor[],
	index: number,
): Executor | undefined =>
	[...executors.slice(index), ...executors.slice(0, index)].find(
		(each) => each.isUp() && !each.isMute() && !each.isDraining(),
	);

/** The service of an executor, or of the next one that is up. */
const findService = (executors: readonly Executor[], index: number): string =>
	(findSound(executors, index) ?? executors[0]!).getService();

/** Executors of the same service that are up and answer. */
const countSound = (executors: readonly Executor[], index: number): number =>
	executors.filter(
		(each) =>
			each.getService() === executors[index]!.getService() &&
			each.isUp() &&
			!each.isMute(),
	).length;

const toListTrouble = (
	kind: Exclude<MachineListTrouble, 'sound'>,
	random: Random,
): ListTrouble => {
	switch (kind) {
		case 'late': {
			return {kind, lateMs: 1000 + drawBelow(random, 5000)};
		}

		case 'omits': {
			return {kind, isOmitted: () => random() < 0.3};
		}

		case 'down': {
			return {kind};
		}
	}
};

const troubleStore = async (
	{daemon, trouble, forMs}: Omit<OfKind<'store'>, 'kind'>,
	environment: SoakEnvironment,
	random: Random,
) => {
	const affected = environment.daemons.filter(
		(_, index) => daemon === undefined || daemon === index,
	);
	environment.reachesStore = daemon !== undefined || !awayTroubles.has(trouble);
	const fault = toFault(trouble, random);
	for (const {name} of affected) {
		environment.store.setFault(name, fault);
	}

	await delay(forMs);
	for (const {name} of affected) {
		environment.store.setFault(name, {kind: 'none'});
	}

	environment.reachesStore = true;
};

/** Carries out a disruption of a kind; resolves when it is over. */
type Handlers = {
	readonly [Kind in Disrupting]: (
		disruption: OfKind<Kind>,
		environment: SoakEnvironment,
		random: Random,
		recorder: Recorder,
	) => Promise<void>;
};

const daemonHandlers = {
	async 'daemon-kill'({daemon, backMs}, {daemons}) {
		await daemons[daemon]!.kill();
		await bringBack(daemons[daemon]!, backMs);
	},
	async 'daemon-terminate'({daemon, backMs}, {daemons}) {
		await daemons[daemon]!.terminate(graceMs);
		await bringBack(daemons[daemon]!, backMs);
	},
	async 'daemon-slow'({daemon, share, forMs}, {daemons}) {
		const slowed = daemons.filter(
			(_, index) => daemon === undefined || daemon === index,
		);
		for (let leftMs = forMs; leftMs > 0; leftMs -= slowTurnMs) {
			await pause(slowed, (1 - share) * slowTurnMs);
			await delay(share * slowTurnMs);
		}
	},
	async 'daemon-loss'({daemon}, {daemons}) {
		const others = daemons.filter((each) => each.isRunning());
		if (others.length > minDaemons) {
			await daemons[daemon]!.retire();
			await delay(ruleBounds.contactMs);
		}
	},
	async 'daemon-pause'({daemon, forMs}, {daemons}) {
		await pause([daemons[daemon]!], forMs);
	},
	async 'daemon-settings'({daemon}, {daemons}) {
		daemons[daemon]!.rewriteSettings();
		daemons[daemon]!.signal('SIGHUP');
	},
	async 'all-kill'({backMs}, {daemons}) {
		await Promise.all(daemons.map(async (each) => each.kill()));
		await Promise.all(daemons.map(async (each) => bringBack(each, backMs)));
	},
	async 'all-pause'({forMs}, {daemons}) {
		await pause(daemons, forMs);
	},
	async 'rolling-restart'({gapMs}, {daemons}) {
		for (const daemon of daemons) {
			await daemon.terminate(graceMs);
			await bringBack(daemon, gapMs);
		}
	},
} satisfies Partial<Handlers>;

const platformHandlers = {
	store: troubleStore,
	async 'store-forgets'(_, {store}) {
		store.forgetHistory();
	},
	async 'store-half-open'({share}, {store}, random) {
		store.silenceOpen(() => random() < share);
	},
	async wave({executor, machines, cap}, environment, _random, recorder) {
		await maintainMachines(environment, recorder, {
			machines: [...environment.fleet.listShown()]
				.slice(executor % environment.fleet.listShown().length)
				.slice(0, machines),
			cap,
		});
	},
	async 'pool-waves'(disruption, environment, _random, recorder) {
		await playPoolWaves(disruption, environment, recorder);
	},
	async 'machine-api'(disruption, environment) {
		await troubleMachineApi(disruption, environment);
	},
	async 'queue-move'({queue, gapMs}, environment) {
		await moveQueue(environment, queue, gapMs);
	},
	async 'queue-moves'(disruption, environment, random) {
		const {queue, moves, gapMs, pauseMs} = disruption;
		const forMs = getQueueMovesMs(disruption);
		const trouble = troubleStore({...disruption, forMs}, environment, random);
		for (let move = 0; move < moves; move += 1) {
			await moveQueue(environment, queue, gapMs);
			await delay(pauseMs);
		}

		await trouble;
	},
} satisfies Partial<Handlers>;

const cutService = async (
	disruption: OfKind<'service-cut' | 'service-cut-unlisted'>,
	{executors, machines}: SoakEnvironment,
	random: Random,
): Promise<void> => {
	const {executor, share, state, list, forMs} = disruption;
	const service = findService(executors, executor);
	const cut = executors.filter(
		(each) => each.getService() === service && each.isUp() && random() < share,
	);
	const endTrouble =
		list === 'sound'
			? undefined
			: machines.trouble(toListTrouble(list, random));
	for (const each of cut) {
		each.setLink(state, false);
	}

	await delay(forMs);
	for (const each of cut) {
		each.setLink(linkStates.open, true);
	}

	endTrouble?.();
};

const executorHandlers = {
	async 'executors-half-open'({share}, {executors}, random) {
		for (const each of executors) {
			each.silenceOpen(() => random() < share);
		}
	},
	async 'executor-crash'({executor, backMs}, {executors}) {
		executors[executor]!.crash();
		await delay(backMs);
		await executors[executor]!.restart();
	},
	async 'executor-loss'({executor}, {executors}) {
		if (countSound(executors, executor) > minExecutors) {
			executors[executor]!.lose();
			await delay(3 * heartbeatMs);
		}
	},
	async 'executor-mute'({executor}, {executors}) {
		if (countSound(executors, executor) > minExecutors) {
			executors[executor]!.mute();
			await delay(muteMs);
		}
	},
	async 'executor-grey'({executor, forMs}, {executors}) {
		executors[executor]!.setGrey(true);
		await delay(forMs);
		executors[executor]!.setGrey(false);
	},
	async 'executor-commands'({executor, mode, forMs}, {executors}) {
		executors[executor]!.setCommands(mode);
		await delay(forMs);
		executors[executor]!.setCommands(commandModes.answers);
	},
	async 'executor-cut'({executor, state, isListed, forMs}, {executors}) {
		executors[executor]!.setLink(state, isListed);
		await delay(forMs);
		executors[executor]!.setLink(linkStates.open, true);
	},
	'service-cut': cutService,
	'service-cut-unlisted': cutService,
	async 'task-cuts'(disruption, {executors}, _random, recorder) {
		await cutTask(disruption, executors, recorder);
	},
	async recuts(disruption, environment, _random, recorder) {
		await cutRestarted(disruption, environment, recorder);
	},
	async 'late-starts'(disruption, environment, _random, recorder) {
		await delayStarts(disruption, environment, recorder);
	},
	async 'idle-start'(disruption, environment, _random, recorder) {
		await stopOwnerAtStart(disruption, environment, recorder);
	},
	async 'executor-add'({executor, ...added}, {executors, fleet}) {
		await fleet.add({...added, service: findService(executors, executor)});
	},
	async 'executor-remove'({executor}, {executors, fleet}) {
		const removed = findSound(executors, executor);
		if (removed && fleet.canSpare(removed)) {
			await fleet.remove(removed);
		}
	},
	async 'executor-replace'({executor, ...added}, {executors, fleet}) {
		const replaced = findSound(executors, executor);
		const other = executors.find(
			(each) => each.isUp() && each.getService() !== replaced?.getService(),
		);
		if (replaced && other && fleet.canSpare(replaced)) {
			await fleet.replace(replaced, {...added, service: other.getService()});
		}
	},
	async 'entries-lapse'({share, trouble, forMs}, environment, random) {
		const {executors} = environment;
		for (const each of executors.filter(
			(executor) => executor.isUp() && random() < share,
		)) {
			each.unlist(forMs);
		}

		await (trouble === undefined
			? delay(forMs)
			: troubleStore({daemon: undefined, trouble, forMs}, environment, random));
		await delay(heartbeatMs);
	},
	async 'executor-resize'({executor, share, forMs}, {executors}) {
		executors[executor]!.resize(share);
		await delay(forMs);
		executors[executor]!.resize(1);
	},
	async 'executor-drain'({executor, backMs}, {executors}) {
		await executors[executor]!.drain();
		await delay(backMs);
		await executors[executor]!.restart();
	},
	async 'executor-unlist'({executor, forMs}, {executors}) {
		executors[executor]!.unlist(forMs);
		await delay(forMs + heartbeatMs);
	},
} satisfies Partial<Handlers>;

const handlers: Handlers = {
	...daemonHandlers,
	...platformHandlers,
	...executorHandlers,
};

const perform = async <Kind extends Disrupting>(
	disruption: OfKind<Kind>,
	environment: SoakEnvironment,
	random: Random,
	recorder: Recorder,
): Promise<void> =>
	handlers[disruption.kind](disruption, environment, random, recorder);

const plannedKinds: ReadonlySet<string> = new Set([
	'daemon-terminate',
	'daemon-settings',
	'rolling-restart',
	'executor-drain',
	'executor-remove',
	'queue-move',
	'wave',
	'pool-waves',
]);

/** Plays a schedule; resolves when all its disruptions are over. */
export const playSchedule = async (
	schedule: readonly TimedDisruption[],
	environment: SoakEnvironment,
	recorder: Recorder,
	random: Random,
): Promise<void> => {
	const startedAtMs = recorder.now();
	const play = async ({id, atMs, ...disruption}: TimedDisruption) => {
		await delay(Math.max(0, startedAtMs + atMs - recorder.now()));
		const event = {
			id,
			name: disruption.kind,
			isPlanned: plannedKinds.has(disruption.kind),
			text: JSON.stringify(disruption),
		};
		recorder.note({kind: 'disruption begins', ...event});
		await perform(disruption, environment, random, recorder);
		recorder.note({kind: 'disruption ends', ...event});
	};

	await Promise.all(schedule.map(async (each) => play(each)));
};
