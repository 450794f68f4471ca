/**
 * Runs the demo: an embedded daemon that serves HTTP requests while a contract
 * is created, jobs run and a maintenance wave completes.
 */
import {performance} from 'node:perf_hooks';
import type {Contract, waves} from '@gullstand/core';
import {
	createDaemon,
	createEmbeddedJobs,
	createEmbeddedSettings,
	createLogger,
	embeddedCallerToken,
	embeddedOperatorToken,
	embeddedQueue,
	hashToken,
	startEmbeddedPlatform,
	type Daemon,
	type SeriesSummary,
} from '@gullstand/daemon';
import {callOperator, type OperatorTarget} from '../client/operator-client.js';
import {sendLoad, type LoadReport} from './callers.js';

/** Results of the demo. */
export type DemoReport = {
	readonly loads: Readonly<Record<string, LoadReport>>;
	readonly series: readonly SeriesSummary[];
	readonly wave: waves.Wave;
	/** Number of instances that the wave has maintained. */
	readonly waveDone: number;
	readonly waveSeconds: number;
	/** Number of samples with more instances away than a contract allows. */
	readonly budgetViolations: number;
	readonly budgetSamples: number;
	/** Number of jobs by their last known state. */
	readonly jobs: Readonly<Record<string, number>>;
};

const brokersToken = 'demo-brokers-token';

const brokersContract: Contract = {
	customer: 'brokers',
	weight: 3,
	tokenHashes: [hashToken(brokersToken)],
	services: [
		{
			service: 'quoting',
			keepExecutors: 2,
			maxAway: 1,
			answerWithinMs: 500,
			requestsPerSecond: 200,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const sampleMs = 20;

const maxWaveMs = 30_000;

const delay = async (ms: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

const createContract = async (target: OperatorTarget) => {
	const answer = await callOperator(target, {
		method: 'PUT',
		path: '/v1/contracts/brokers',
		body: brokersContract,
		headers: {'if-none-match': '*'},
	});
	if (answer.status !== 200) {
		throw new Error(`contract refused: ${JSON.stringify(answer.body)}`);
	}
};

type InstanceRow = {pool: string; state: string};

const countAway = async (target: OperatorTarget, pool: string) => {
	const {body} = await callOperator(target, {
		method: 'GET',
		path: '/v1/instances',
	});
	const {instances} = body as {instances: InstanceRow[]};
	return instances.filter(
		(each) => each.pool === pool && each.state !== 'serving',
	).length;
};

const runWave = async (target: OperatorTarget) => {
	const planned = await callOperator(target, {
		method: 'PUT',
		path: '/v1/waves/demo',
		body: {pools: ['quoting'], hours: 1},
	});
	const started = await callOperator(target, {
		method: 'POST',
		path: '/v1/waves/demo/start',
	});
	if (planned.status !== 200 || started.status !== 200) {
		throw new Error(`wave refused: ${JSON.stringify([planned, started])}`);
	}

	const startedAt = performance.now();
	let budgetSamples = 0;
	let budgetViolations = 0;
	for (;;) {
		const {body} = await callOperator(target, {
			method: 'GET',
			path: '/v1/waves/demo',
		});
		const {wave, counts} = body as {
			wave: waves.Wave;
			counts: waves.Progress['counts'];
		};
		const waveSeconds = (performance.now() - startedAt) / 1000;
		if (wave.state === 'done' || waveSeconds * 1000 > maxWaveMs) {
			const waveDone = counts.done;
			return {wave, waveDone, waveSeconds, budgetSamples, budgetViolations};
		}

		budgetSamples += 1;
		budgetViolations += (await countAway(target, 'quoting')) > 1 ? 1 : 0;
		await delay(sampleMs);
	}
};

const demoJobs = 12;

const idDigits = 16;

/** A job of two steps; the second waits for all tasks of the first. */
const demoJob = {
	payload: 'a schedule of works',
	steps: [
		{count: 4, cpuMillis: 500, memoryMb: 256, estimateMs: 100},
		{count: 1, cpuMillis: 1000, memoryMb: 512, estimateMs: 100, after: [0]},
	],
};

type JobRow = {readonly state: string};

/** Submits jobs and waits until all have completed or time is up. */
const runJobs = async (
	target: OperatorTarget,
): Promise<Readonly<Record<string, number>>> => {
	for (let index = 0; index < demoJobs; index++) {
		const id = index.toString(16).padStart(idDigits, '0');
		const answer = await callOperator(target, {
			method: 'PUT',
			path: `/v1/jobs/${embeddedQueue}/${id}`,
			body: demoJob,
		});
		if (answer.status !== 200) {
			throw new Error(`job refused: ${JSON.stringify(answer.body)}`);
		}
	}

	const until = performance.now() + maxWaveMs;
	for (;;) {
		const {body} = await callOperator(target, {
			method: 'GET',
			path: '/v1/jobs',
		});
		const counts: Record<string, number> = {};
		for (const {state} of (body as {jobs: readonly JobRow[]}).jobs) {
			counts[state] = (counts[state] ?? 0) + 1;
		}

		if (counts.completed === demoJobs || performance.now() > until) {
			return counts;
		}

		await delay(sampleMs);
	}
};

const runScenario = async (daemon: Daemon): Promise<DemoReport> => {
	const url = `http://127.0.0.1:${daemon.getCallerPort()}`;
	const target = {
		url: `http://127.0.0.1:${daemon.getOperatorPort()}`,
		token: embeddedOperatorToken,
	};
	await createContract(target);
	const load = {url, callers: 8, pauseMs: 4};
	const [quotes, claims, wave, jobs] = await Promise.all([
		sendLoad({
			...load,
			token: brokersToken,
			path: '/s/quoting/quote',
			requests: 3000,
		}),
		sendLoad({
			...load,
			token: embeddedCallerToken,
			path: '/s/claims/intake',
			requests: 1000,
			createKey: (index) => `claim-${index}`,
		}),
		runWave(target),
		runJobs(target),
	]);
	const series = daemon.metrics.getSummaries();
	return {loads: {quotes, claims}, series, jobs, ...wave};
};

/** Runs the demo and stops everything that it started. */
export const runDemo = async (): Promise<DemoReport> => {
	const now = () => performance.now();
	const settings = createEmbeddedSettings(0, 0, 'warn');
	const logger = createLogger(settings.log, settings.entry.id);
	const {platform, close} = await startEmbeddedPlatform(now);
	const jobs = createEmbeddedJobs(now, logger);
	const daemon = createDaemon({settings, platform, logger, now, jobs});
	let failure: Error | undefined;
	await daemon.start((err) => {
		failure = err;
	});
	try {
		const report = await runScenario(daemon);
		if (failure) {
			throw failure;
		}

		return report;
	} finally {
		await daemon.stop();
		await close();
	}
};

/** Whether the wave, the budget, the jobs and all calls were as expected. */
export const hasDemoSucceeded = (report: DemoReport): boolean =>
	report.wave.state === 'done' &&
	report.budgetViolations === 0 &&
	report.jobs.completed === demoJobs &&
	Object.values(report.loads).every(
		({answers, outcomes}) => outcomes.ran === answers,
	);
