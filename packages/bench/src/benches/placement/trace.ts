/** Traces of jobs whose declared sizes are inaccurate. */
import type {Job, placement, Resources, Worker} from '@gullstand/core';
import {
	createRandom,
	drawBelow,
	drawExponential,
	type Random,
} from '../../frame/random.js';

/** A job with its true usage and run time. */
export type TraceJob = Job & {
	/** Usage after the warm-up. */
	readonly used: Resources;
	readonly runMs: number;
};

/** Size and load of one deployment. */
export type Deployment = {
	readonly name: string;
	readonly workers: number;
	readonly capacity: Resources;
	readonly customers: number;
	/** Mean share of the cores that the jobs use. */
	readonly load: number;
	readonly hours: number;
	readonly relocation: placement.RelocationConfig;
};

/** Warm-up time of a job, in milliseconds. */
export const warmUpMs = 300_000;

const hourMs = 3_600_000;

const meanRunMs = 1.5 * hourMs;

const urgentShare = 0.1;

const sizes = [1, 2, 4, 8] as const;

const maxDeclaredError = 4;

const workersPerRack = 4;

const availabilityZones = 3;

/** Creates the workers of a deployment, four per rack in three zones. */
export const createWorkers = ({workers, capacity}: Deployment): Worker[] =>
	Array.from({length: workers}, (_, index) => {
		const rack = Math.floor(index / workersPerRack);
		return {
			id: `w${index}`,
			region: 'r',
			availabilityZone: `z${rack % availabilityZones}`,
			rack: `k${rack}`,
			pool: 'p',
			capacity,
			isOpen: true,
		};
	});

/** Draws from 1 / bound to bound, uniformly in the logarithm. */
const drawFactor = (random: Random, bound: number): number =>
	bound ** (2 * random() - 1);

const createJob = (
	random: Random,
	deployment: Deployment,
	index: number,
	submittedAt: number,
): TraceJob => {
	const cores = sizes[drawBelow(random, sizes.length)] ?? 1;
	// Jobs need little memory, so that cores are the scarce resource.
	const memoryPerCore =
		(deployment.capacity.memoryMb / deployment.capacity.cores) *
		(0.3 + 0.4 * random());
	const customer = drawBelow(random, deployment.customers);
	const urgent = random() < urgentShare;
	const used = {
		cores: cores * (0.5 + random()),
		memoryMb: cores * memoryPerCore,
		accelerators: 0,
	};
	const error = drawFactor(random, maxDeclaredError);
	return {
		id: `j${index}`,
		customer: `c${customer}`,
		urgent,
		repeatable: true,
		canCheckpoint: !urgent,
		canThrottle: !urgent,
		declared: {
			cores: used.cores * error,
			memoryMb: used.memoryMb * error,
			accelerators: 0,
		},
		submittedAt,
		used,
		runMs: urgent
			? drawExponential(random, 300_000)
			: drawExponential(random, meanRunMs),
	};
};

const meanCoresPerJob =
	sizes.reduce((sum, each) => sum + each, 0) / sizes.length;

/** Draws the jobs of a deployment in order of submission. */
export const createTrace = (
	deployment: Deployment,
	seed: number,
): TraceJob[] => {
	const random = createRandom(seed);
	const cores = deployment.workers * deployment.capacity.cores;
	const meanMs = (1 - urgentShare) * meanRunMs + urgentShare * 300_000;
	const gapMs = (meanCoresPerJob * meanMs) / (cores * deployment.load);
	const jobs: TraceJob[] = [];
	let at = 0;
	while (at < deployment.hours * hourMs) {
		jobs.push(createJob(random, deployment, jobs.length, at));
		at += drawExponential(random, gapMs);
	}

	return jobs;
};
