/** Traces of jobs whose declared sizes and run times are far off. */
import type {Job, placement, Resources, Worker} from '@gullstand/core';
import {
	createRandom,
	drawBelow,
	drawExponential,
	type Random,
} from '../../frame/random.js';

/** A job and what only the trace knows of it. */
export type TraceJob = Job & {
	/** What it will use once it has warmed up. */
	readonly used: Resources;
	readonly runMs: number;
};

/** One deployment. */
export type Deployment = {
	readonly name: string;
	readonly workers: number;
	readonly capacity: Resources;
	readonly customers: number;
	/** Share of cores that the jobs' true use takes on average. */
	readonly load: number;
	readonly hours: number;
	readonly relocation: placement.RelocationConfig;
};

/** Time until a job uses what it will use, in milliseconds. */
export const warmUpMs = 300_000;

const hourMs = 3_600_000;

const meanRunMs = 1.5 * hourMs;

const urgentShare = 0.1;

const sizes = [1, 2, 4, 8] as const;

const maxDeclaredError = 4;

const workersPerRack = 4;

const availabilityZones = 3;

/** Workers of a deployment, four to a rack, in three availability zones. */
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

/** Draws from 1 / bound to bound, evenly in the logarithm. */
const drawFactor = (random: Random, bound: number): number =>
	bound ** (2 * random() - 1);

const createJob = (
	random: Random,
	deployment: Deployment,
	index: number,
	submittedAt: number,
): TraceJob => {
	const cores = sizes[drawBelow(random, sizes.length)] ?? 1;
	// Memory is the lesser need, so that cores are what runs short.
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

/** Draws the jobs of a deployment, in the order of their submission. */
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
