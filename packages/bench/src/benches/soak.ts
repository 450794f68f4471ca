/**
 * `bench soak`: the daemons of the deploy file as processes, beside stand-ins of
 * the platform, under a seeded schedule of disruptions; then judged by what
 * clients and executors have seen.
 */
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {check} from '../frame/check.js';
import {createRandom} from '../frame/random.js';
import type {Bench, BenchOptions, BenchResult} from '../frame/types.js';
import {soakChecks} from './soak/checks/index.js';
import {createHistory, type Break} from './soak/checks/history.js';
import {playSchedule} from './soak/disruptions.js';
import {drawAdviceJobs, drawJobs, drawMovedJobs} from './soak/jobs.js';
import {
	countLateStarts,
	createLateJobs,
	drawLateStarts,
} from './soak/late-starts.js';
import {
	createRecorder,
	watchLag,
	writeLines,
	type Recorder,
} from './soak/record.js';
import {drawFleetDisruptions} from './soak/fleet-disruptions.js';
import {createLastingJobs, drawUpkeep, upkeepKinds} from './soak/upkeep.js';
import {drawQueueMoves, getQueueMovesMs} from './soak/queue-moves.js';
import {createIdleJob} from './soak/idle-start.js';
import {
	createRecutJobs,
	drawRecuts,
	recutSettleMs,
	type Recut,
} from './soak/recuts.js';
import {checkRecuts, countRecuts, nameRecuts} from './soak/recut-counts.js';
import {waitUntil} from './soak/daemons.js';
import {createCutJob, drawTaskCuts} from './soak/repeated-cuts.js';
import {drawDisruption, drawSchedule, type OfKind} from './soak/schedule.js';
import {soakSizes, type SoakSizes} from './soak/sizes.js';
import {createClients, type Clients} from './soak/traffic.js';
import {
	createEnvironment,
	root,
	type SoakEnvironment,
} from './soak/environment.js';

const maxShown = 5;

const getSizes = ({short, size = short ? 'short' : 'usual'}: BenchOptions) => {
	const sizes = Object.entries(soakSizes).find(([name]) => name === size);
	if (!sizes) {
		throw new Error(`no size named ${size}`);
	}

	return sizes[1];
};

type Soak = {
	readonly sizes: SoakSizes;
	readonly environment: SoakEnvironment;
	readonly clients: Clients;
	readonly recorder: Recorder;
	readonly folder: string;
};

/** Kinds that do not come beside others. */
const ownSpanKinds: ReadonlySet<string> = new Set([
	...upkeepKinds,
	'recuts',
	'late-starts',
]);

/** Queues of services whose executors keep their ids; they come first. */
const countKeepingQueues = ({
	queues,
	executors,
	fleet,
}: SoakEnvironment): number =>
	queues.filter(({service}) =>
		executors.some(
			(each) => each.getService() === service && fleet.keepsId(each),
		),
	).length;

/** Waits without jobs, then starts one under a disruption. */
const playIdleStart = async (
	disruption: OfKind<'idle-start'>,
	{sizes, environment, clients, recorder}: Soak,
): Promise<void> => {
	await clients.cancelOpen();
	await delay(sizes.idleMs);
	await Promise.all([
		clients.run([createIdleJob(disruption, environment)]),
		playSchedule(
			[{...disruption, id: 3000, atMs: 0}],
			environment,
			recorder,
			createRandom(0),
		),
	]);
};

const play = async (
	{seed, log, only}: BenchOptions,
	soak: Soak,
): Promise<readonly Recut[]> => {
	const {sizes, environment, clients, recorder, folder} = soak;
	const trafficMs = sizes.quietMs + sizes.disturbedMs + sizes.settledMs;
	const drawn = {
		daemons: sizes.daemons,
		executors: environment.executors.length,
		queues: environment.queues.length,
		only,
	};
	const span = {
		fromMs: sizes.quietMs,
		untilMs: sizes.quietMs + sizes.disturbedMs,
	};
	const others = only?.every((kind) => ownSpanKinds.has(kind))
		? []
		: drawSchedule({...drawn, ...span, random: createRandom(seed)});
	const upkeep = drawUpkeep({
		...drawn,
		...span,
		random: createRandom(seed + 9),
		count: sizes.poolWaves,
	});
	const moves = drawQueueMoves({
		...drawn,
		random: createRandom(seed + 5),
		count: sizes.queueMoves,
		schedule: others,
	});
	const fleet = drawFleetDisruptions({
		...drawn,
		random: createRandom(seed + 6),
		count: sizes.fleetDisruptions,
		schedule: others,
	});
	const taskCuts = drawTaskCuts({
		...drawn,
		random: createRandom(seed + 7),
		count: sizes.taskCuts,
		schedule: others,
	});
	const recuts = drawRecuts({
		...drawn,
		...span,
		random: createRandom(seed + 10),
		queues: countKeepingQueues(environment),
		count: sizes.recuts,
	});
	const lateStarts = drawLateStarts({
		...drawn,
		...span,
		random: createRandom(seed + 11),
		queues: countKeepingQueues(environment),
		count: sizes.lateStarts,
	});
	const schedule = [
		...others,
		...moves,
		...fleet,
		...taskCuts,
		...upkeep,
		...recuts,
		...lateStarts,
	];
	const traffic = {
		queues: environment.queues.map(({pathPrefix}) => pathPrefix),
		...sizes,
		lengthMs: trafficMs,
	};
	const jobs = [
		...drawJobs({...traffic, random: createRandom(seed + 1)}),
		...moves.flatMap((each) =>
			drawMovedJobs(
				{
					queue: traffic.queues[each.queue]!,
					fromMs: each.atMs,
					forMs: getQueueMovesMs(each),
					jobsPerS: sizes.movedJobsPerS,
				},
				{...traffic, random: createRandom(seed + 5 + each.id)},
			),
		),
	];
	jobs.push(...taskCuts.map((each) => createCutJob(each, traffic.queues)));
	const recutJobs = recuts.flatMap((each) =>
		createRecutJobs(each, traffic.queues, sizes.services),
	);
	jobs.push(...recutJobs);
	const lateJobs = lateStarts.flatMap((each) =>
		createLateJobs(each, traffic.queues, sizes.services),
	);
	jobs.push(
		...lateJobs,
		...drawAdviceJobs({
			...sizes,
			random: createRandom(seed + 12),
			queue: environment.adviceQueue.pathPrefix,
			lengthMs: trafficMs,
		}),
	);
	if (upkeep.length > 0) {
		jobs.push(...createLastingJobs(sizes, traffic.queues));
	}

	writeLines(folder, 'schedule.jsonl', schedule);
	log(`${jobs.length} jobs, ${schedule.length} disruptions`);
	recorder.note({kind: 'phase', phase: 'traffic'});
	const clientsDone = clients.run(jobs);
	const startedAtMs = recorder.now();
	await playSchedule(schedule, environment, recorder, createRandom(seed + 2));
	recorder.note({kind: 'phase', phase: 'calm'});
	log('calm');
	await delay(Math.max(0, startedAtMs + trafficMs - recorder.now()));
	recorder.note({kind: 'phase', phase: 'traffic ended'});
	const areRecutJobsDone = async () =>
		[...recutJobs, ...lateJobs].every(({id}) => clients.hasEnded(id));
	await Promise.all([
		waitUntil(areRecutJobsDone, recutSettleMs),
		delay(sizes.finishMs),
	]);
	clients.stopAsking();
	await clientsDone;
	if (!only || only.includes('idle-start')) {
		const idleStart = drawDisruption('idle-start', {
			...drawn,
			random: createRandom(seed + 8),
		});
		await playIdleStart(idleStart, soak);
	}

	await clients.askForAll();
	recorder.note({kind: 'phase', phase: 'verdict'});
	return recuts;
};

const countStates = (clients: Clients): Readonly<Record<string, number>> => {
	const counts: Record<string, number> = {};
	for (const {acceptedMs, states} of clients.jobs.values()) {
		const state =
			acceptedMs === undefined
				? 'not accepted'
				: (states.at(-1)?.state ?? 'not asked for');
		const name = `jobs ${state}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
};

const counted = [
	'disruption begins',
	'start refused',
	'command for a former incarnation',
	'lease lapsed',
	'store refused a transaction',
	'late write',
	'upkeep begins',
	'machine moves',
	'cut',
	'back',
	'machine added',
	'machine gone',
	'entry lapses',
	'advice',
	'lag',
] as const;

const countEvents = ({events}: Recorder): Readonly<Record<string, number>> =>
	Object.fromEntries(
		counted.map((kind) => [
			`${kind}, times`,
			events.filter((event) => event.kind === kind).length,
		]),
	);

/** Counts what is done with whole pools, so that a run without it is seen. */
const countUpkeep = (
	{events}: Recorder,
	folder: string,
	{daemons}: SoakEnvironment,
): Readonly<Record<string, number>> => ({
	'wave of a whole pool, times': events.filter(
		(event) =>
			event.kind === 'wave' &&
			event.state === 'requested' &&
			event.wholePools.length > 0,
	).length,
	'wave not completed, times': events.filter(
		(event) => event.kind === 'wave' && event.state === 'not completed',
	).length,
	'machine API failure, times': events.filter(
		(event) =>
			event.kind === 'disruption begins' && event.name === 'machine-api',
	).length,
	'move given up, times':
		daemons
			.map(({name}) => readFileSync(path.join(folder, `${name}.log`), 'utf8'))
			.join('')
			.split('not evacuated in time').length - 1,
});

const unknownPattern =
	/gullstand_executors\{label="[\w\-]+ unknown"\} (?<count>\d+)/gv;

/**
 * Counts executors that the registry lists and that their owner has given up,
 * without those that answer nothing any more.
 */
const countUnknown = async ({
	daemons,
	executors,
}: SoakEnvironment): Promise<number> => {
	const texts = await Promise.all(
		daemons.map(async (each) => each.readMetrics()),
	);
	const counts = texts.flatMap((text) =>
		[...text.matchAll(unknownPattern)].map(({groups}) => Number(groups?.count)),
	);
	const mute = executors.filter((each) => each.isUp() && each.isMute()).length;
	return Math.max(0, counts.reduce((sum, each) => sum + each, 0) - mute);
};

const run = async (options: BenchOptions): Promise<BenchResult> => {
	const {seed, log} = options;
	if (!existsSync(path.join(root, 'target/gullstandd.cjs'))) {
		throw new Error('no bundle under target/: run `npm run bundle` first');
	}

	const sizes = getSizes(options);
	const folder = mkdtempSync(path.join(tmpdir(), `gullstand-soak-${seed}-`));
	const recorder = createRecorder();
	const epochMs = Date.now() - recorder.now();
	const environment = await createEnvironment(
		sizes,
		seed + 3,
		folder,
		recorder,
	);
	const clients = createClients(
		environment.daemons,
		recorder,
		createRandom(seed + 4),
	);
	const stopWatching = watchLag(recorder);
	let isReady = false;
	let unknown = 0;
	let recuts: readonly Recut[] = [];
	try {
		isReady = await environment.start();
		if (isReady) {
			const soak = {sizes, environment, clients, recorder, folder};
			recuts = await play(options, soak);
			unknown = await countUnknown(environment);
		}
	} finally {
		clients.close();
		await environment.stop();
	}

	stopWatching();
	const upkeep = countUpkeep(recorder, folder, environment);
	const recutCounts = countRecuts(recorder.events);
	const history = createHistory(recorder.events, clients.jobs, sizes, epochMs);
	const found = Object.entries(soakChecks).map(
		([name, find]): readonly [string, readonly Break[]] => [
			name,
			find(history),
		],
	);
	for (const {plan, states} of clients.jobs.values()) {
		const last = states.at(-1);
		if (last?.state === 'queued') {
			log(`${plan.id} (${plan.kind}) of ${plan.queue} is queued at the end`);
		}
	}

	const breaks = found.flatMap(([, each]) => each);
	for (const [, each] of found) {
		for (const {rule, text} of each.slice(0, maxShown)) {
			log(`${rule}: ${text}`);
		}
	}

	if (breaks.length + unknown > 0 || !isReady || options.keep) {
		writeLines(folder, 'record.jsonl', recorder.events);
		writeLines(folder, 'jobs.jsonl', [...clients.jobs.values()]);
		writeLines(folder, 'breaks.jsonl', breaks);
		log(`record and logs: ${folder}`);
	} else {
		rmSync(folder, {recursive: true, force: true});
	}

	return {
		figures: {
			daemons: sizes.daemons,
			executors: environment.executors.length,
			jobs: clients.jobs.size,
			...countStates(clients),
			starts: history.runs.length,
			lagShareAtEnd: history.getLagShare(
				history.getPhaseMs('calm'),
				history.getPhaseMs('verdict'),
			),
			...countEvents(recorder),
			...upkeep,
			...nameRecuts(recutCounts),
			'start carried out late by the next incarnation, times': countLateStarts(
				recorder.events,
			),
		},
		baselines: {},
		checks: [
			check('daemons that are ready at the start', isReady ? 1 : 0, '==', 1),
			check('listed executors that owners do not keep', unknown, '==', 0),
			check('starts', history.runs.length, '>=', 1),
			...checkRecuts(
				recutCounts,
				recuts,
				!options.only?.every((kind) => kind === 'recuts'),
			),
			...found.map(([name, each]) => check(name, each.length, '==', 0)),
		],
	};
};

/** The soak. */
export const bench: Bench = {
	name: 'soak',
	summary: 'daemons as processes under a schedule of disruptions',
	run,
};
