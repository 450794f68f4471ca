/**
 * `bench wave`: a maintenance wave over the two current deployments and the
 * planned size while a rack, a switch and an availability zone are lost.
 */
import {budget, waves} from '@gullstand/core';
import {check} from '../frame/check.js';
import {createRandom} from '../frame/random.js';
import type {Bench, BenchOptions, Check, Figures} from '../frame/types.js';
import {
	checkBudgets,
	checkMoves,
	getFigures,
	getStepFigures,
} from './wave/figures.js';
import {createFleet} from './wave/fleet.js';
import type {Outcome, Plan} from './wave/plan.js';
import {runWave} from './wave/run.js';
import {
	createDomainOutages,
	createZoneOutages,
	sizes,
	type Size,
} from './wave/scenario.js';

const hourMs = 3_600_000;
const startAt = 12 * hourMs;
/** Hours in which a rack, a switch and an availability zone are lost. */
const outageHours = [13, 14, 15] as const;
const seedsPerPlan = 5;
/** Time limit of the baselines at the planned size, where they take weeks. */
const plannedBaselineMs = 7 * 24 * hourMs;
/** Smallest difference that counts as a saving. */
const leastDifference = 0.01;

const {waveDefaults, fastWeights, fewMovesWeights, littleBufferWeights} = waves;

const createPlan = (
	settings: Partial<waves.WaveSettings>,
	plan: Partial<Plan> = {},
): Plan => ({
	targets: 'done',
	startAt,
	forMs: 96 * hourMs,
	tickMs: 30_000,
	...plan,
	settings: {...waveDefaults, ...settings},
});

/** Evacuates at once and moves jobs to any worker with room. */
const atOnce = {
	weights: {moves: 0, bufferCoreHours: 0, rollOutHours: 1},
	deferWithinMs: 0,
} as const;
const anyWorker = {targets: 'any', forMs: 40 * 24 * hourMs} as const;

const plans = {
	default: createPlan({}),
	fewMoves: createPlan({weights: fewMovesWeights}),
	littleBuffer: createPlan({weights: littleBufferWeights}),
	fast: createPlan({weights: fastWeights}),
	notPutOff: createPlan({deferWithinMs: 0}),
	onlyWhole: createPlan({domains: 'only-whole'}),
	byZone: createPlan({order: 'by-availability-zone'}),
	oneAtATime: createPlan({...atOnce, maxInstances: 1}, anyWorker),
	rackByRack: createPlan(
		{...atOnce, maxDomains: 1, domains: 'only-whole'},
		anyWorker,
	),
} as const satisfies Record<string, Plan>;

type PlanName = keyof typeof plans;
const baselineNames: ReadonlySet<PlanName> = new Set([
	'oneAtATime',
	'rackByRack',
]);
const planNames = Object.keys(plans) as PlanName[];
const plannedNames: readonly PlanName[] = [
	'default',
	'fewMoves',
	'littleBuffer',
	'oneAtATime',
	'rackByRack',
];

const runPlan = (
	size: Size,
	{tickMs, ...plan}: Plan,
	seed: number,
): Outcome => {
	const random = createRandom(seed);
	const fleet = createFleet(size, random, (instances) =>
		createDomainOutages(size, instances, random, outageHours),
	);
	const isPlanned = size.pools > sizes.harrowby.pools;
	const isBaseline = plan.targets === 'any';
	return runWave(fleet, {
		...plan,
		tickMs: isPlanned ? 2 * tickMs : tickMs,
		forMs: isPlanned && isBaseline ? plannedBaselineMs : plan.forMs,
	});
};

/** The planned size, or a third of it in a short run. */
const getPlanned = (short: boolean): Size =>
	short
		? {...sizes.planned, name: 'third of planned', workers: 1100, pools: 50}
		: sizes.planned;

/** Outcomes by plan for one size. */
type Runs = Map<PlanName, readonly Outcome[]>;

const compareWeights = (size: Size, runs: Runs): Check[] => {
	const few = getFigures(runs.get('fewMoves')!);
	const little = getFigures(runs.get('littleBuffer')!);
	const fewer = Number(little.moves) - Number(few.moves);
	const less = Number(few.bufferCoreHours) - Number(little.bufferCoreHours);
	return [
		check(
			`${size.name}: moves that weights for few moves save`,
			fewer,
			'>=',
			leastDifference,
		),
		check(
			`${size.name}: core-hours that weights for little buffer save`,
			less,
			'>=',
			leastDifference,
		),
	];
};

const runSize = (
	size: Size,
	names: readonly PlanName[],
	seeds: readonly number[],
	log: BenchOptions['log'],
): Runs => {
	const runs: Runs = new Map();
	for (const name of names) {
		const outcomes = seeds.map((seed) => runPlan(size, plans[name], seed));
		log(`${size.name}/${name}: ${JSON.stringify(getFigures(outcomes))}`);
		runs.set(name, outcomes);
	}

	return runs;
};

/** Compares reserves while one availability zone after another is lost. */
const runReserves = (seeds: readonly number[]) => {
	const size: Size = {
		...sizes.harrowby,
		workers: 45,
		keep: (executors) => executors - 4,
	};
	const times = [startAt + hourMs / 6, startAt + 48 * hourMs] as const;
	return budget.reserveKinds.map((reserve) => ({
		reserve,
		outcomes: seeds.map((seed) => {
			const fleet = createFleet(size, createRandom(seed), (instances) =>
				createZoneOutages(size, instances, hourMs, times),
			);
			return runWave(fleet, createPlan({reserve}));
		}),
	}));
};

/** Findings of the bench so far. */
type Findings = {
	readonly figures: Record<string, number | string>;
	readonly baselines: Record<string, Figures>;
	readonly checks: Check[];
};

const addRuns = (
	{figures, baselines, checks}: Findings,
	size: Size,
	runs: Runs,
) => {
	for (const [name, outcomes] of runs) {
		const full = `${size.name}/${name}`;
		baselines[full] = getFigures(outcomes);
		checks.push(...checkBudgets(full, outcomes));
		if (!baselineNames.has(name)) {
			checks.push(checkMoves(full, outcomes));
		}
	}

	if (runs.has('littleBuffer')) {
		checks.push(...compareWeights(size, runs));
	}

	const chosen = getFigures(runs.get('default')!);
	for (const [name, value] of Object.entries(chosen)) {
		figures[`${size.name} ${name}`] = value;
	}
};

const addReserves = (
	{baselines, checks}: Findings,
	seeds: readonly number[],
	log: BenchOptions['log'],
) => {
	for (const {reserve, outcomes} of runReserves(seeds)) {
		const name = `reserve ${reserve}`;
		baselines[name] = getFigures(outcomes);
		log(`${name}: ${JSON.stringify(baselines[name])}`);
		checks.push(...checkBudgets(name, outcomes));
	}
};

/** Adds the longest step; repeated runs filter out pauses of the machine. */
const addSteps = (
	{figures, checks}: Findings,
	size: Size,
	outcomes: readonly Outcome[],
	{seed, short, log}: BenchOptions,
) => {
	const again = Array.from({length: short ? 2 : 1}, () =>
		runPlan(size, plans.default, seed),
	);
	const steps = getStepFigures([...outcomes, ...again]);
	log(`steps: ${JSON.stringify(steps)}`);
	Object.assign(figures, steps);
	checks.push(check('longest step, ms', Number(steps.stepMaxMs), '<=', 10));
};

const run = async (options: BenchOptions) => {
	const {seed, short, log} = options;
	const findings: Findings = {figures: {}, baselines: {}, checks: []};
	const count = short ? 2 : seedsPerPlan;
	const seeds = Array.from({length: count}, (_, index) => seed + index);
	for (const size of [sizes.harrowby, sizes.isarwelle]) {
		addRuns(findings, size, runSize(size, planNames, seeds, log));
	}

	addReserves(findings, seeds, log);
	const planned = getPlanned(short);
	const names = plannedNames.slice(0, short ? 1 : undefined);
	const runs = runSize(planned, names, [seed], log);
	addRuns(findings, planned, runs);
	addSteps(findings, planned, runs.get('default')!, options);
	return findings;
};

/** The wave bench. */
export const bench: Bench = {
	name: 'wave',
	summary: 'maintenance waves: budgets, roll-out time, moves, buffer',
	run,
};
