/** Scenarios: every step enumerated, and random histories by seed. */
import * as core from '@gullstand/core';
import {type Random, createRandom, drawBelow} from '../../frame/random.js';
import {type ExecutorKind, executorKinds} from './executor.js';
import {type SendResult, type Verdict, checkLog} from './log-checker.js';
import {type CallFault, type Plan, callFaults, noFaultPlan} from './steps.js';
import type {Variant} from './variants.js';
import {type Sending, type Simulation, createSimulation} from './simulation.js';

/** What one run of a scenario showed. */
export type RunReport = {
	readonly verdict: Verdict;
	readonly steps: number;
	readonly calls: number;
	/** Attempts still open at the end on living entries. */
	readonly openAtEnd: number;
	/** What each key's last sending was told, long after all faults. */
	readonly lastResults: readonly SendResult[];
	/** Of those told `unknown` at the end, keys that never ran. */
	readonly unknownNotRun: number;
	readonly longestMs: number;
};

/** When holders have given up and the last sendings are made. */
const endAt = 150_000;
const runUntil = 400_000;
const deadlineMs = 3000;

const report = (
	world: Simulation,
	lastTold: readonly SendResult[],
	{retentionMs}: core.idempotency.Settings,
): RunReport => {
	const ran = new Set(world.log.map(({key}) => key));
	const isNeedless = ({key, outcome}: SendResult) =>
		outcome === 'unknown' && !ran.has(key);
	return {
		verdict: checkLog(world.log, world.results, retentionMs),
		steps: world.counts.steps,
		calls: world.counts.calls,
		openAtEnd: world.getOpenCount(),
		lastResults: lastTold,
		unknownNotRun: lastTold.filter((each) => isNeedless(each)).length,
		longestMs: Math.max(...world.results.map(({tookMs}) => tookMs)),
	};
};

/** Repeats of one request: at once elsewhere, on the same entry, and later. */
const repeats: ReadonlyArray<readonly [entry: number, at: number]> = [
	[0, 0],
	[1, 6],
	[0, 12],
	[2, 1500],
	[1, 6000],
	[2, endAt],
];

/** Runs one request and its repeats under a plan. */
export const runRepeats = async (
	plan: Plan,
	executor: ExecutorKind,
	variant: Variant,
	settings = core.idempotency.defaultSettings,
): Promise<RunReport> => {
	const random = createRandom(1);
	const world = createSimulation({entries: 3, plan, random, variant, settings});
	const told = repeats.map(async ([entry, at], index) =>
		world.send({
			key: 'k',
			body: 'b',
			entry,
			at,
			deadlineMs,
			executor: index < 4 ? executor : 'answers',
		}),
	);
	await world.clock.runUntil(runUntil);
	const last = await told.at(-1);
	return report(world, last === undefined ? [] : [last], settings);
};

/** One enumerated fault: a call to the store, and what it meets. */
export type SingleFault = {readonly call: number; readonly fault: CallFault};

const createPlan = (
	faults: readonly SingleFault[],
	killAt: number,
	pause: {readonly at: number; readonly forMs: number} | undefined,
): Plan => ({
	getFault: (call) =>
		faults.find((each) => each.call === call)?.fault ?? 'none',
	isKilledAt: (step) => step === killAt,
	getPauseMs: (step) => (step === pause?.at ? pause.forMs : 0),
});

const noKill = -1;
const kindsOfFault = callFaults.filter((each) => each !== 'none');

const listFaults = (calls: number): SingleFault[][] => [
	[],
	...Array.from({length: calls}).flatMap((_, call) =>
		kindsOfFault.map((fault) => [{call, fault}]),
	),
];

/** What an enumeration covers. */
export type EnumerationOptions = {
	readonly variant: Variant;
	/** Calls of which each meets each fault. */
	readonly faultyCalls: number;
	readonly executors: readonly ExecutorKind[];
	readonly onRun: (run: RunReport) => void;
};

/** Kills the process at every step, under every single fault of a call. */
export const runEveryKill = async (
	options: EnumerationOptions,
): Promise<void> => {
	const {variant, executors, onRun} = options;
	for (const executor of executors) {
		for (const faults of listFaults(options.faultyCalls)) {
			let steps = 1;
			for (let killAt = noKill; killAt < steps; killAt++) {
				const plan = createPlan(faults, killAt, undefined);
				const run = await runRepeats(plan, executor, variant);
				steps = Math.max(steps, killAt === noKill ? run.steps : 0);
				onRun(run);
			}
		}
	}
};

/** A retention that ends while a holder stands still. */
const shortRetention: core.idempotency.Settings = {
	...core.idempotency.defaultSettings,
	retentionMs: 100_000,
};

/** Pauses: past the dispatch's bound, and past the key's retention. */
const pausesMs = [12_000, 200_000];

/** Stops the process for long at every step; the key expires meanwhile. */
export const runEveryPause = async (
	options: EnumerationOptions,
): Promise<void> => {
	const {variant, executors, onRun} = options;
	for (const executor of executors) {
		const quiet = await runRepeats(noFaultPlan, executor, variant);
		for (const forMs of pausesMs) {
			for (let at = 0; at < quiet.steps; at++) {
				const plan = createPlan([], noKill, {at, forMs});
				onRun(await runRepeats(plan, executor, variant, shortRetention));
			}
		}
	}
};

/** How the store behaves for a while: shares of calls that meet a fault. */
const moods: ReadonlyArray<Partial<Record<CallFault, number>>> = [
	{},
	{},
	{unavailable: 1},
	{'request-lost': 1},
	{'reply-lost': 0.3, 'late-effect': 0.2, 'request-lost': 0.2},
	{slow: 0.7, 'reply-lost': 0.1},
	{'reply-lost': 1},
	{'late-effect': 1},
];
const moodMs = 1500;
const faultsUntil = 20_000;

const drawFault = (
	mood: Partial<Record<CallFault, number>>,
	random: Random,
): CallFault => {
	let left = random();
	for (const fault of callFaults) {
		left -= mood[fault] ?? 0;
		if (left < 0) {
			return fault;
		}
	}

	return 'none';
};

const createRandomPlan = (random: Random): Plan => {
	const drawn = Array.from({length: faultsUntil / moodMs}, () =>
		drawBelow(random, moods.length),
	);
	const killShare = [0, 0.005, 0.03][drawBelow(random, 3)] ?? 0;
	const pauseShare = 0.002;
	return {
		getFault(_call, _kind, now) {
			const mood = moods[drawn[Math.floor(now / moodMs)] ?? 0];
			return now < faultsUntil && mood ? drawFault(mood, random) : 'none';
		},
		isKilledAt: () => random() < killShare,
		getPauseMs: () => (random() < pauseShare ? 13_000 * random() : 0),
	};
};

const entryCount = 8;
const keyCount = 12;
const maxRepeats = 6;

const drawExecutor = (random: Random): ExecutorKind =>
	random() < 0.5
		? 'answers'
		: (executorKinds[drawBelow(random, executorKinds.length)] ?? 'answers');

/** A caller that sends to one or two entries and repeats what is not final. */
const runCaller = async (world: Simulation, key: string, random: Random) => {
	const send = async (sending: Partial<Sending>) =>
		world.send({
			key,
			body: random() < 0.05 ? 'other' : 'b',
			entry: drawBelow(random, entryCount),
			at: world.clock.getNow(),
			deadlineMs: 500 + drawBelow(random, deadlineMs),
			executor: drawExecutor(random),
			...sending,
		});
	await world.clock.wait(random() * 8000);
	for (let repeat = 0; repeat < maxRepeats; repeat++) {
		const twin =
			random() < 0.3 ? [send({at: world.clock.getNow() + random() * 20})] : [];
		const [first] = await Promise.all([send({}), ...twin]);
		if (first.outcome === 'ran' && random() < 0.7) {
			return;
		}

		await world.clock.wait(random() * 2000);
	}
};

/** Many keys, entries and callers under faults that come by chance. */
export const runRandom = async (
	seed: number,
	variant: Variant,
	changes: Partial<core.idempotency.Settings> = {},
): Promise<RunReport> => {
	const random = createRandom(seed);
	const settings = {
		...core.idempotency.defaultSettings,
		isReadFirst: random() < 0.8,
		...changes,
	};
	const plan = createRandomPlan(random);
	const isCalm = (now: number) => now >= faultsUntil;
	const world: Simulation = createSimulation({
		entries: entryCount,
		random,
		variant,
		settings,
		plan: {
			...plan,
			isKilledAt: (step) =>
				!isCalm(world.clock.getNow()) && plan.isKilledAt(step),
			getPauseMs: (step) =>
				isCalm(world.clock.getNow()) ? 0 : plan.getPauseMs(step),
		},
	});
	const keys = Array.from({length: keyCount}, (_, index) => `k${index}`);
	const callers = keys.map(async (key) => runCaller(world, key, random));
	const last = keys.map(async (key, index) =>
		world.send({
			key,
			body: 'b',
			entry: index % entryCount,
			at: endAt,
			deadlineMs,
			executor: 'answers',
		}),
	);
	await world.clock.runUntil(runUntil);
	await Promise.all(callers);
	return report(world, await Promise.all(last), settings);
};

/** Requests that come while the store is out, by the kind of outage. */
export const runOutage = async (
	fault: CallFault,
	variant: Variant,
): Promise<readonly SendResult[]> => {
	const world = createSimulation({
		entries: entryCount,
		plan: {...noFaultPlan, getFault: () => fault},
		random: createRandom(1),
		variant,
	});
	const told = Array.from({length: 200}, async (_, index) =>
		world.send({
			key: `k${index}`,
			body: 'b',
			entry: index % entryCount,
			at: index * 5,
			deadlineMs: 10_000,
			executor: 'answers',
		}),
	);
	await world.clock.runUntil(runUntil);
	return Promise.all(told);
};
