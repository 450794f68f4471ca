/** Scenarios: faults at every step, and random histories by seed. */
import * as core from '@gullstand/core';
import {type Random, createRandom, drawBelow} from '../../frame/random.js';
import {type ExecutorKind, executorKinds} from './executor.js';
import {type SendResult, type Verdict, checkLog} from './log-checker.js';
import {type CallFault, type Plan, callFaults, noFaultPlan} from './steps.js';
import type {Variant} from './variants.js';
import {type Sending, type Simulation, createSimulation} from './simulation.js';

/** Result of one run of a scenario. */
export type RunReport = {
	readonly verdict: Verdict;
	readonly steps: number;
	readonly calls: number;
	/** Attempts that are open on live entries at the end. */
	readonly openAtEnd: number;
	/** Result of each key's last sending, long after all faults. */
	readonly lastResults: readonly SendResult[];
	/** Keys that never ran but whose last result is `unknown`. */
	readonly unknownNotRun: number;
	readonly longestMs: number;
};

/** Time of the last sendings, after all holders have given up. */
const endAt = 150_000;
const runUntil = 400_000;
const deadlineMs = 3000;

const report = (
	simulation: Simulation,
	lastResults: readonly SendResult[],
	{retentionMs}: core.idempotency.Settings,
): RunReport => {
	const ran = new Set(simulation.log.map(({key}) => key));
	const isUnknownNotRun = ({key, outcome}: SendResult) =>
		outcome === 'unknown' && !ran.has(key);
	return {
		verdict: checkLog(simulation.log, simulation.results, retentionMs),
		steps: simulation.counts.steps,
		calls: simulation.counts.calls,
		openAtEnd: simulation.getOpenCount(),
		lastResults,
		unknownNotRun: lastResults.filter((each) => isUnknownNotRun(each)).length,
		longestMs: Math.max(...simulation.results.map(({tookMs}) => tookMs)),
	};
};

/** Repeats of one request on the same and on other entries. */
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
	const simulation = createSimulation({
		entries: 3,
		plan,
		random,
		variant,
		settings,
	});
	const results = repeats.map(async ([entry, at], index) =>
		simulation.send({
			key: 'k',
			body: 'b',
			entry,
			at,
			deadlineMs,
			executor: index < 4 ? executor : 'answers',
		}),
	);
	await simulation.clock.runUntil(runUntil);
	const last = await results.at(-1);
	return report(simulation, last === undefined ? [] : [last], settings);
};

/** A fault of one call to the store. */
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

/** Options of an enumeration of faults. */
export type EnumerationOptions = {
	readonly variant: Variant;
	/** Number of calls that are tried with each fault. */
	readonly faultyCalls: number;
	readonly executors: readonly ExecutorKind[];
	readonly onRun: (run: RunReport) => void;
};

/** Kills the process at every step, combined with each single fault. */
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

/** Settings with a retention that ends while a holder is paused. */
const shortRetention: core.idempotency.Settings = {
	...core.idempotency.defaultSettings,
	retentionMs: 100_000,
};

/** Pauses beyond the time limit of a dispatch and beyond the retention. */
const pausesMs = [12_000, 200_000];

/** Pauses the process at every step, in some runs past the retention. */
export const runEveryPause = async (
	options: EnumerationOptions,
): Promise<void> => {
	const {variant, executors, onRun} = options;
	for (const executor of executors) {
		const baseline = await runRepeats(noFaultPlan, executor, variant);
		for (const forMs of pausesMs) {
			for (let at = 0; at < baseline.steps; at++) {
				const plan = createPlan([], noKill, {at, forMs});
				onRun(await runRepeats(plan, executor, variant, shortRetention));
			}
		}
	}
};

/** Phases of the store: shares of calls that meet each fault. */
const storePhases: ReadonlyArray<Partial<Record<CallFault, number>>> = [
	{},
	{},
	{unavailable: 1},
	{'request-lost': 1},
	{'reply-lost': 0.3, 'late-effect': 0.2, 'request-lost': 0.2},
	{slow: 0.7, 'reply-lost': 0.1},
	{'reply-lost': 1},
	{'late-effect': 1},
];
const storePhaseMs = 1500;
const faultsUntil = 20_000;

const drawFault = (
	phase: Partial<Record<CallFault, number>>,
	random: Random,
): CallFault => {
	let left = random();
	for (const fault of callFaults) {
		left -= phase[fault] ?? 0;
		if (left < 0) {
			return fault;
		}
	}

	return 'none';
};

const createRandomPlan = (random: Random): Plan => {
	const drawn = Array.from({length: faultsUntil / storePhaseMs}, () =>
		drawBelow(random, storePhases.length),
	);
	const killShare = [0, 0.005, 0.03][drawBelow(random, 3)] ?? 0;
	const pauseShare = 0.002;
	return {
		getFault(_call, _kind, now) {
			const phase = storePhases[drawn[Math.floor(now / storePhaseMs)] ?? 0];
			return now < faultsUntil && phase ? drawFault(phase, random) : 'none';
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

/** Sends to one or two entries and repeats until a run is confirmed. */
const runCaller = async (
	simulation: Simulation,
	key: string,
	random: Random,
) => {
	const send = async (sending: Partial<Sending>) =>
		simulation.send({
			key,
			body: random() < 0.05 ? 'other' : 'b',
			entry: drawBelow(random, entryCount),
			at: simulation.clock.getNow(),
			deadlineMs: 500 + drawBelow(random, deadlineMs),
			executor: drawExecutor(random),
			...sending,
		});
	await simulation.clock.wait(random() * 8000);
	for (let repeat = 0; repeat < maxRepeats; repeat++) {
		const twin =
			random() < 0.3
				? [send({at: simulation.clock.getNow() + random() * 20})]
				: [];
		const [first] = await Promise.all([send({}), ...twin]);
		if (first.outcome === 'ran' && random() < 0.7) {
			return;
		}

		await simulation.clock.wait(random() * 2000);
	}
};

/** Runs many keys, entries and callers under random faults. */
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
	const isFaultFree = (now: number) => now >= faultsUntil;
	const simulation: Simulation = createSimulation({
		entries: entryCount,
		random,
		variant,
		settings,
		plan: {
			...plan,
			isKilledAt: (step) =>
				!isFaultFree(simulation.clock.getNow()) && plan.isKilledAt(step),
			getPauseMs: (step) =>
				isFaultFree(simulation.clock.getNow()) ? 0 : plan.getPauseMs(step),
		},
	});
	const keys = Array.from({length: keyCount}, (_, index) => `k${index}`);
	const callers = keys.map(async (key) => runCaller(simulation, key, random));
	const last = keys.map(async (key, index) =>
		simulation.send({
			key,
			body: 'b',
			entry: index % entryCount,
			at: endAt,
			deadlineMs,
			executor: 'answers',
		}),
	);
	await simulation.clock.runUntil(runUntil);
	await Promise.all(callers);
	return report(simulation, await Promise.all(last), settings);
};

/** Sends requests during a store outage of the given kind. */
export const runOutage = async (
	fault: CallFault,
	variant: Variant,
): Promise<readonly SendResult[]> => {
	const simulation = createSimulation({
		entries: entryCount,
		plan: {...noFaultPlan, getFault: () => fault},
		random: createRandom(1),
		variant,
	});
	const results = Array.from({length: 200}, async (_, index) =>
		simulation.send({
			key: `k${index}`,
			body: 'b',
			entry: index % entryCount,
			at: index * 5,
			deadlineMs: 10_000,
			executor: 'answers',
		}),
	);
	await simulation.clock.runUntil(runUntil);
	return Promise.all(results);
};
