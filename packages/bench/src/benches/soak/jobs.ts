/** Kinds of jobs that the clients of a soak hand in. */
import {
	encodePayload,
	type StepWork,
} from '@gullstand/users-platform/stand-ins';
import {drawBelow, drawExponential, type Random} from '../../frame/random.js';

export type JobStep = StepWork & {
	readonly after: readonly number[];
	readonly antiAffinity: number;
	readonly mayMiss: number;
	readonly requirements: string;
};

export const jobKinds = {
	quick: 'quick',
	chain: 'chain',
	wide: 'wide',
	huge: 'huge',
	longRunning: 'long-running',
	gang: 'gang',
	scheduled: 'scheduled',
	/** All its occurrences are due when it is handed in. */
	overdue: 'overdue',
} as const;

export type JobKind = (typeof jobKinds)[keyof typeof jobKinds];

export type JobPlan = {
	readonly id: string;
	readonly kind: JobKind;
	readonly queue: string;
	readonly steps: readonly JobStep[];
	/** Occurrences; 0 for a job without a schedule. */
	readonly times: number;
	readonly intervalMs: number;
	/** When it is handed in, after the start of the traffic. */
	readonly atMs: number;
	/** When it is cancelled after its acceptance. */
	readonly cancelAfterMs: number | undefined;
	/** When the request arrives again after its acceptance. */
	readonly repeatAfterMs: number | undefined;
	/**
	 * Whether its client cancels it after a try without a clear answer, and hands
	 * it in again that long after the cancellation.
	 */
	readonly cancelUnclear: {readonly repeatAfterMs: number} | undefined;
};

const createStep = (
	step: Pick<JobStep, 'count' | 'cpu' | 'memMb' | 'workMs'> & Partial<JobStep>,
): JobStep => ({
	checkpointing: false,
	gang: false,
	longRunning: false,
	after: [],
	antiAffinity: 0,
	mayMiss: 0,
	requirements: '',
	...step,
});

/** Creates a job of one step that nobody cancels or hands in again. */
export const createPlainJob = ({
	id,
	queue,
	atMs,
	...step
}: Pick<JobPlan, 'id' | 'queue' | 'atMs'> &
	Pick<JobStep, 'count' | 'workMs'> &
	Partial<JobStep>): JobPlan => ({
	id,
	kind: jobKinds.quick,
	queue,
	steps: [createStep({cpu: 1000, memMb: 500, ...step})],
	times: 0,
	intervalMs: 0,
	atMs,
	cancelAfterMs: undefined,
	repeatAfterMs: undefined,
	cancelUnclear: undefined,
});

export type TrafficOptions = {
	readonly random: Random;
	readonly queues: readonly string[];
	readonly jobsPerS: number;
	readonly lengthMs: number;
	readonly maxWideTasks: number;
	/** Tasks of a job whose progress is large; 0 for no large jobs. */
	readonly hugeTasks: number;
	readonly taskCpuFactor: number;
	readonly turnMs: number;
	readonly bursts: number;
	readonly burstJobs: number;
};

const createOwnSteps = (
	kind: JobKind,
	{random, maxWideTasks, hugeTasks}: TrafficOptions,
): readonly JobStep[] => {
	switch (kind) {
		case 'quick': {
			return [createStep({count: 6, cpu: 900, memMb: 500, workMs: 640})];
		}

		case 'chain': {
			return [
				createStep({count: 4, cpu: 800, memMb: 700, workMs: 400}),
				createStep({
					count: 5,
					cpu: 1200,
					memMb: 900,
					workMs: 900,
					after: [0],
					antiAffinity: random() < 0.3 ? 3 : 0,
				}),
			];
		}

		case 'wide': {
			const count = Math.ceil(maxWideTasks * (0.3 + 0.7 * random()));
			return [
				createStep({
					count,
					cpu: 300,
					memMb: 200,
					workMs: 3000 + drawBelow(random, 3000),
					checkpointing: true,
				}),
			];
		}

		case 'huge': {
			return [
				createStep({
					count: hugeTasks,
					cpu: 100,
					memMb: 60,
					workMs: 12_000,
					checkpointing: true,
				}),
			];
		}

		case 'long-running': {
			return [
				createStep({
					count: 3,
					cpu: 400,
					memMb: 300,
					workMs: 0,
					longRunning: true,
					mayMiss: 1,
				}),
			];
		}

		case 'gang': {
			return [
				createStep({count: 4, cpu: 700, memMb: 400, workMs: 1200, gang: true}),
			];
		}

		case 'scheduled':
		case 'overdue': {
			return [createStep({count: 2, cpu: 500, memMb: 300, workMs: 500})];
		}
	}
};

const createSteps = (
	kind: JobKind,
	options: TrafficOptions,
): readonly JobStep[] =>
	createOwnSteps(kind, options).map((step) => ({
		...step,
		cpu: step.cpu * options.taskCpuFactor,
	}));

/** Shares of the kinds; what is left are quick jobs. */
const shares: ReadonlyArray<readonly [JobKind, number]> = [
	['chain', 0.36],
	['wide', 0.05],
	['gang', 0.06],
	['long-running', 0.02],
	['scheduled', 0.03],
	['huge', 0.003],
	['overdue', 0.003],
];

/** Occurrences of kinds that have a schedule. */
const occurrences: Partial<Record<JobKind, number>> = {
	scheduled: 3,
	overdue: 200,
};

const drawKind = (random: Random): JobKind => {
	let left = random();
	for (const [kind, share] of shares) {
		left -= share;
		if (left < 0) {
			return kind;
		}
	}

	return jobKinds.quick;
};

const largeKinds: ReadonlySet<JobKind> = new Set([
	jobKinds.huge,
	jobKinds.overdue,
]);

const drawId = (random: Random): string =>
	Array.from({length: 16}, () => drawBelow(random, 16).toString(16)).join('');

/** Drawn from the id, so that it changes nothing else that a seed draws. */
const decideCancelUnclear = (id: string): JobPlan['cancelUnclear'] =>
	id < '6'
		? {repeatAfterMs: 10 * Number.parseInt(id.slice(1, 3), 16)}
		: undefined;

const drawJob = (
	drawn: JobKind,
	queue: string,
	atMs: number,
	options: TrafficOptions,
): JobPlan => {
	const {random, hugeTasks} = options;
	const kind =
		hugeTasks === 0 && largeKinds.has(drawn) ? jobKinds.quick : drawn;
	const isCancelled = random() < (kind === jobKinds.longRunning ? 0.4 : 0.06);
	const times = occurrences[kind] ?? 0;
	const id = drawId(random);
	return {
		id,
		kind,
		queue,
		steps: createSteps(kind, options),
		times,
		intervalMs: times > 0 ? 1500 : 0,
		atMs: Math.round(atMs),
		cancelAfterMs: isCancelled ? 200 + drawBelow(random, 4000) : undefined,
		repeatAfterMs: random() < 0.1 ? 500 + drawBelow(random, 6000) : undefined,
		cancelUnclear: decideCancelUnclear(id),
	};
};

/** Time within which the jobs of a burst come. */
const burstMs = 1000;

export type MovedQueue = {
	readonly queue: string;
	readonly fromMs: number;
	readonly forMs: number;
	readonly jobsPerS: number;
};

/** Draws jobs that are handed in, and mostly again, while their queue moves. */
export const drawMovedJobs = (
	{queue, fromMs, forMs, jobsPerS}: MovedQueue,
	options: TrafficOptions,
): readonly JobPlan[] => {
	const {random} = options;
	const count = Math.ceil((forMs * jobsPerS) / 1000);
	return Array.from({length: count}, () => {
		const kind = random() < 0.7 ? jobKinds.quick : jobKinds.chain;
		const atMs = fromMs + drawBelow(random, forMs);
		const job = drawJob(kind, queue, atMs, options);
		return random() < 0.7
			? {...job, repeatAfterMs: drawBelow(random, 6000)}
			: job;
	});
};

/** Share of the jobs that are for the service whose turn it is. */
const turnShare = 0.75;

/** Draws all jobs of a soak: a steady flow, and bursts on single queues. */
export const drawJobs = (options: TrafficOptions): readonly JobPlan[] => {
	const {random, queues, jobsPerS, turnMs, lengthMs, bursts, burstJobs} =
		options;
	const jobs: JobPlan[] = [];
	const drawQueue = () => queues[drawBelow(random, queues.length)]!;
	/** The queues of a service follow each other. */
	const drawQueueAt = (timeMs: number) => {
		const pair = 2 * (Math.floor(timeMs / turnMs) % (queues.length / 2));
		return random() < turnShare
			? queues[pair + drawBelow(random, 2)]!
			: drawQueue();
	};

	let atMs = drawExponential(random, 1000 / jobsPerS);
	while (atMs < lengthMs) {
		jobs.push(drawJob(drawKind(random), drawQueueAt(atMs), atMs, options));
		atMs += drawExponential(random, 1000 / jobsPerS);
	}

	for (let burst = 0; burst < bursts; burst += 1) {
		const fromMs = drawBelow(random, lengthMs - burstMs);
		const queue = drawQueue();
		for (let index = 0; index < burstJobs; index += 1) {
			const kind = random() < 0.5 ? jobKinds.quick : jobKinds.chain;
			const jobMs = fromMs + drawBelow(random, burstMs);
			jobs.push(drawJob(kind, queue, jobMs, options));
		}
	}

	return jobs;
};

export const encodeJobPayload = ({steps}: JobPlan): string =>
	encodePayload(
		steps.map(
			({count, cpu, memMb, workMs, checkpointing, gang, longRunning}) => ({
				count,
				cpu,
				memMb,
				workMs,
				checkpointing,
				gang,
				longRunning,
			}),
		),
	);

/** Returns the names of all tasks of a step's occurrence. */
export const listTasks = (
	id: string,
	occurrence: number,
	step: number,
	count: number,
): readonly string[] =>
	Array.from(
		{length: count},
		(_, index) => `${id}.${occurrence}.${step}.${index}`,
	);

/** Draws jobs that need placement advice: bursts of small ones. */
export const drawAdviceJobs = ({
	random,
	queue,
	lengthMs,
	adviceBursts,
	adviceJobs,
}: {
	readonly random: Random;
	readonly queue: string;
	readonly lengthMs: number;
	readonly adviceBursts: number;
	readonly adviceJobs: number;
}): readonly JobPlan[] =>
	Array.from({length: adviceBursts}).flatMap(() => {
		const atMs = drawBelow(random, lengthMs);
		return Array.from({length: adviceJobs}, () =>
			createPlainJob({
				id: `ad1c${drawBelow(random, 2 ** 48)
					.toString(16)
					.padStart(12, '0')}`,
				queue,
				count: 2,
				workMs: 500,
				atMs,
			}),
		);
	});
