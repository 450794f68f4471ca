/**
 * Speeds of executors relative to one another, and whether the evidence is
 * enough to call one slow. A fifth of the executors of a service may run five
 * times slower for 6 to 8 s while they answer polls normally.
 *
 * Declared run times are wrong by a factor of 2.5 either way for single jobs,
 * and some tasks take seven times as long as declared. Therefore a run is
 * compared with runs of the same step on other executors where there are any,
 * and else with all runs of the service. All runs of one step on one executor
 * count as one piece of evidence, since they share the error of the
 * declaration, and the speed of an executor is the median of these.
 */
import {getMedian, getWeightedMedian} from './weighted-median.js';
import type {SpeedChange, StepKey} from './speed-state.js';

/** Speed of one run that counts with a weight from 0 to 1. */
export type SpeedSample = {
	readonly step: StepKey;
	/** Natural logarithm of the speed, 0 for the expected speed. */
	readonly logSpeed: number;
	readonly weight: number;
	/** Change of `logSpeed` since it was first measured. */
	readonly change?: SpeedChange | undefined;
};

/** The samples of one executor. */
export type ExecutorSamples = {
	readonly id: string;
	readonly samples: readonly SpeedSample[];
};

/** Speed of an executor relative to the others of its service. */
export type RelativeSpeed = {
	/** Natural logarithm of the speed, 0 for the median executor. */
	readonly logSpeed: number;
	/** By how many standard deviations the executor is slower than the median. */
	readonly deviations: number;
	/** Whether the evidence is enough to call it slow. */
	readonly isEvidentlySlow: boolean;
};

/** Speeds of runs of one step on one executor, as if that were not slow. */
export type StepSpeed = {
	readonly executorId: string;
	readonly logSpeed: number;
	readonly runs: number;
};

/** Relative speeds of the executors, and what they derive from. */
export type RelativeSpeeds = {
	/** Speeds by executor; empty while too few are measured. */
	readonly executors: ReadonlyMap<string, RelativeSpeed>;
	/** Measured speeds by step. */
	readonly steps: ReadonlyMap<StepKey, readonly StepSpeed[]>;
};

/** Runs slower than this share of the expected speed are slow. */
const slowShare = 0.5;

/** Natural logarithm of the speed below which a run or executor is slow. */
export const slowLogSpeed = Math.log(slowShare);

/** With fewer measured executors there is no telling which one is slow. */
const minMeasured = 4;

/** Slow runs that are enough if others on the executor are not slow. */
const minSlowRuns = 3;

/** Slow runs that are enough if all runs on the executor are slow. */
const minAllSlowRuns = 2;

/** Runs that began within such a period are compared, in milliseconds. */
const periodMs = 1000;

/** With more runs of a period slowed down, that says nothing of an executor. */
const maxSlowedShare = 0.3;

/** Standard deviation of ln(true / declared time) over jobs, as measured. */
const declaredDeviation = 0.9;

/**
 * Standard deviation of ln(speed) over runs of one step, with some reserve for
 * runs to compare with that are on a slow executor too. The longest run of 8
 * takes 1.2 to 1.6 times the median, which is a deviation of 0.13 to 0.33.
 */
const stepDeviation = 0.4;

/**
 * Number of standard deviations from the median executor that evidence needs:
 * each executor is judged four times a second, and a false alarm costs room.
 */
const neededDeviations = 2.6;

/**
 * Standard deviations from which an executor seems slow, so that it is not the
 * measure of others: several slow executors may share the runs of a step.
 */
const apparentDeviations = 2;

/** A median deviates this much more than a mean (normal distribution). */
const medianFactor = Math.sqrt(Math.PI / 2);

/** Evidence of the runs of one step on one executor. */
type Evidence = {
	readonly logSpeed: number;
	readonly weight: number;
	readonly deviation: number;
	readonly runs: readonly number[];
};

type StepGroup = {
	readonly step: StepKey;
	readonly logSpeed: number;
	readonly weight: number;
	readonly runs: readonly number[];
	/** Changes of the speeds of the runs that have a history. */
	readonly changes: readonly SpeedChange[];
};

const toGroup = (
	step: StepKey,
	samples: readonly SpeedSample[],
): StepGroup => ({
	step,
	logSpeed: getWeightedMedian(samples) ?? 0,
	weight: Math.max(...samples.map(({weight}) => weight)),
	runs: samples.map(({logSpeed}) => logSpeed),
	changes: samples.flatMap(({change}) => change ?? []),
});

const groupBySteps = (
	samples: readonly SpeedSample[],
): readonly StepGroup[] => {
	const bySteps = new Map<StepKey, SpeedSample[]>();
	for (const sample of samples) {
		const known = bySteps.get(sample.step);
		if (known) {
			known.push(sample);
		} else {
			bySteps.set(sample.step, [sample]);
		}
	}

	return [...bySteps].map(([step, group]) => toGroup(step, group));
};

type Measured = {
	readonly id: string;
	readonly groups: readonly StepGroup[];
	/** Median over its steps, by the expected run times alone. */
	readonly logSpeed: number;
};

const measure = ({id, samples}: ExecutorSamples): Measured | undefined => {
	const groups = groupBySteps(samples);
	const logSpeed = getWeightedMedian(groups);
	return logSpeed === undefined ? undefined : {id, groups, logSpeed};
};

const listSteps = (
	all: ReadonlyArray<Measured & {readonly slowness: number}>,
): ReadonlyMap<StepKey, readonly StepSpeed[]> => {
	const steps = new Map<StepKey, StepSpeed[]>();
	for (const {id, groups, slowness} of all) {
		for (const {step, logSpeed, runs} of groups) {
			const speed = {
				executorId: id,
				logSpeed: logSpeed - slowness,
				runs: runs.length,
			};
			const known = steps.get(step);
			if (known) {
				known.push(speed);
			} else {
				steps.set(step, [speed]);
			}
		}
	}

	return steps;
};

/**
 * Returns the median speed of a step on other executors than the given one;
 * `undefined` if fewer than `minRuns` of its runs are measured there.
 */
export const getSpeedElsewhere = (
	speeds: readonly StepSpeed[],
	executorId: string,
	minRuns = 1,
): number | undefined => {
	if (speeds.length === 1 && speeds[0]?.executorId === executorId) {
		return undefined;
	}

	const others = speeds.filter((each) => each.executorId !== executorId);
	const runs = others.reduce((sum, each) => sum + each.runs, 0);
	return runs < minRuns
		? undefined
		: getWeightedMedian(
				others.map((each) => ({logSpeed: each.logSpeed, weight: each.runs})),
			);
};

/** What the speeds of one step are compared with. */
type References = {
	readonly steps: RelativeSpeeds['steps'];
	/** Speed of the median executor by the expected run times. */
	readonly baseline: number;
	/** Periods whose runs have mostly kept their speeds. */
	readonly steadyPeriods: ReadonlySet<number>;
};

const getPeriod = (since: number): number => Math.floor(since / periodMs);

type PeriodChanges = {
	readonly ids: Set<string>;
	readonly changes: number[];
};

/** Whether most runs of a period, on enough executors, run as they began. */
const isSteady = ({ids, changes}: PeriodChanges): boolean => {
	const slowed = changes.filter((each) => each < slowLogSpeed).length;
	const median = getMedian(changes) ?? 0;
	return (
		ids.size >= minMeasured &&
		slowed <= changes.length * maxSlowedShare &&
		Math.abs(median) < stepDeviation
	);
};

/**
 * Lists the periods whose runs have mostly kept their speeds, so that a run that
 * slowed down is an exception. If all executors become slow at once, there is
 * none for the runs that began before.
 */
const getSteadyPeriods = (all: readonly Measured[]): ReadonlySet<number> => {
	const periods = new Map<number, PeriodChanges>();
	for (const {id, groups} of all) {
		for (const {changes} of groups) {
			for (const {since, by} of changes) {
				const period = getPeriod(since);
				const known = periods.get(period) ?? {ids: new Set(), changes: []};
				periods.set(period, known);
				known.ids.add(id);
				known.changes.push(by);
			}
		}
	}

	return new Set(
		[...periods].flatMap(([period, each]) => (isSteady(each) ? [period] : [])),
	);
};

/**
 * Compares the runs of a step with their own past: under an executor that
 * becomes slow they slow down, whatever their expected run time.
 */
const compareWithPast = (
	{weight, changes}: StepGroup,
	{steadyPeriods}: References,
): Evidence | undefined => {
	const runs = changes
		.filter(({since}) => steadyPeriods.has(getPeriod(since)))
		.map(({by}) => by);
	const logSpeed = getMedian(runs);
	return logSpeed !== undefined && logSpeed < slowLogSpeed
		? {logSpeed, weight, deviation: stepDeviation, runs}
		: undefined;
};

const compareWithOthers = (
	id: string,
	group: StepGroup,
	references: References,
): Evidence => {
	const {step, logSpeed, weight, runs} = group;
	const {steps, baseline} = references;
	const slowedDown = compareWithPast(group, references);
	if (slowedDown) {
		return slowedDown;
	}

	const elsewhere = getSpeedElsewhere(steps.get(step) ?? [], id);
	const reference = elsewhere ?? baseline;
	return {
		logSpeed: logSpeed - reference,
		weight,
		deviation: elsewhere === undefined ? declaredDeviation : stepDeviation,
		runs: runs.map((each) => each - reference),
	};
};

const hasSlowRuns = (evidence: readonly Evidence[]): boolean => {
	const runs = evidence.flatMap((each) => each.runs);
	const slow = runs.filter((each) => each < slowLogSpeed).length;
	return (
		slow >= minSlowRuns || (slow === runs.length && slow >= minAllSlowRuns)
	);
};

const judge = (evidence: readonly Evidence[]): RelativeSpeed => {
	const weighted = evidence.map(({logSpeed, weight, deviation}) => ({
		logSpeed,
		weight: weight / deviation ** 2,
	}));
	const logSpeed = getWeightedMedian(weighted) ?? 0;
	const precision = weighted.reduce((sum, {weight}) => sum + weight, 0);
	const deviations = (-logSpeed * Math.sqrt(precision)) / medianFactor;
	return {
		logSpeed,
		deviations,
		isEvidentlySlow:
			logSpeed < slowLogSpeed &&
			deviations >= neededDeviations &&
			hasSlowRuns(evidence),
	};
};

/**
 * Returns by how much an executor is slow by the expected run times alone, 0 if
 * it does not seem to be. Its runs are compared with others less that.
 */
const getApparentSlowness = (
	{groups, logSpeed}: Measured,
	baseline: number,
): number => {
	const slowness = logSpeed - baseline;
	if (slowness >= slowLogSpeed) {
		return 0;
	}

	const weight = groups.reduce((sum, each) => sum + each.weight, 0);
	const deviations =
		(-slowness * Math.sqrt(weight)) / (medianFactor * declaredDeviation);
	return deviations >= apparentDeviations ? slowness : 0;
};

/** Compares the speeds of the executors of a service. */
export const compareSpeeds = (
	executors: readonly ExecutorSamples[],
): RelativeSpeeds => {
	const all = executors.flatMap((each) => measure(each) ?? []);
	const baseline =
		all.length < minMeasured
			? undefined
			: getMedian(all.map(({logSpeed}) => logSpeed));
	if (baseline === undefined) {
		return {executors: new Map(), steps: new Map()};
	}

	const steps = listSteps(
		all.map((each) => ({
			...each,
			slowness: getApparentSlowness(each, baseline),
		})),
	);
	const references = {steps, baseline, steadyPeriods: getSteadyPeriods(all)};
	const judgeAgainstOthers = ({id, groups}: Measured) =>
		judge(groups.map((each) => compareWithOthers(id, each, references)));
	return {
		steps,
		executors: new Map(all.map((each) => [each.id, judgeAgainstOthers(each)])),
	};
};
