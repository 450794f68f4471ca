/**
 * `bench overhead`: throughput and p99 of the caller path against a plain hono
 * and undici pass-through, in alternating rounds and separate threads.
 * `GULLSTAND_PROFILE=FILE` writes a CPU profile of the daemon.
 */
import {once} from 'node:events';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions, Figures} from '../frame/types.js';
import {benchToken} from './overhead/gullstand-gateway.js';
import type {
	GatewayData,
	GatewayKind,
	Ready,
	Usage,
} from './overhead/messages.js';
import {sendLoad, type LoadFigures} from './overhead/send-load.js';

const executors = 8;

const callers = 32;

const slowCallers = 16;

const slowPauseMs = 10;

const minThroughputRatio = 0.7;

type Gateway = {
	readonly worker: Worker;
	readonly port: number;
	readonly busy: LoadFigures[];
	readonly slow: LoadFigures[];
};

const startThread = async (name: string, workerData: unknown) => {
	const worker = new Worker(new URL(`overhead/${name}.js`, import.meta.url), {
		workerData,
	});
	const [ready] = (await once(worker, 'message')) as [Ready];
	return {worker, ports: ready.ports};
};

const startGateway = async (
	kind: GatewayKind,
	upstreamPorts: readonly number[],
): Promise<Gateway> => {
	const profileFile =
		kind === 'gullstand' ? process.env.GULLSTAND_PROFILE : undefined;
	const data: GatewayData = {kind, upstreamPorts, profileFile};
	const {worker, ports} = await startThread('gateway-worker', data);
	return {worker, port: ports[0] ?? 0, busy: [], slow: []};
};

const runRound = async (gateway: Gateway, durationMs: number) => {
	const load = {port: gateway.port, token: benchToken, durationMs};
	gateway.busy.push(await sendLoad({...load, callers, pauseMs: 0}));
	gateway.slow.push(
		await sendLoad({...load, callers: slowCallers, pauseMs: slowPauseMs}),
	);
};

const requestUsage = async (gateway: Gateway): Promise<Usage> => {
	gateway.worker.postMessage('usage');
	const [usage] = (await once(gateway.worker, 'message')) as [Usage];
	return usage;
};

const stopThread = async (worker: Worker) => {
	const exited = once(worker, 'exit');
	worker.postMessage('stop');
	await exited;
};

const getMedian = (values: readonly number[]): number =>
	values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;

const summarize = (gateway: Gateway, usage: Usage): Figures => ({
	perSecond: Math.round(getMedian(gateway.busy.map((each) => each.perSecond))),
	busyP99Ms: getMedian(gateway.busy.map((each) => each.p99Ms)),
	slowP50Ms: getMedian(gateway.slow.map((each) => each.p50Ms)),
	slowP99Ms: getMedian(gateway.slow.map((each) => each.p99Ms)),
	answers: gateway.busy.reduce((sum, each) => sum + each.answers, 0),
	errors: [...gateway.busy, ...gateway.slow].reduce(
		(sum, each) => sum + each.errors,
		0,
	),
	heapMb: Math.round(usage.heapBytes / 1_048_576),
});

const run = async ({short, log}: BenchOptions) => {
	const rounds = short ? 3 : 7;
	const durationMs = short ? 1500 : 3000;
	const upstream = await startThread('upstream-worker', {executors});
	const plain = await startGateway('plain', upstream.ports);
	const gullstand = await startGateway('gullstand', upstream.ports);
	// A warm-up round, which is not counted.
	for (const gateway of [plain, gullstand]) {
		await sendLoad({
			port: gateway.port,
			token: benchToken,
			callers,
			durationMs,
			pauseMs: 0,
		});
	}

	for (let round = 0; round < rounds; round += 1) {
		await runRound(plain, durationMs);
		await runRound(gullstand, durationMs);
		log(`round ${round + 1} of ${rounds}`);
	}

	const baseline = summarize(plain, await requestUsage(plain));
	const own = summarize(gullstand, await requestUsage(gullstand));
	await stopThread(plain.worker);
	await stopThread(gullstand.worker);
	await upstream.worker.terminate();
	const ratio = getMedian(
		gullstand.busy.map(
			(each, index) => each.perSecond / plain.busy[index]!.perSecond,
		),
	);
	const addedP99Ms = Number(own.slowP99Ms) - Number(baseline.slowP99Ms);
	return {
		figures: {...own, throughputRatio: ratio, addedP99Ms},
		baselines: {plain: baseline},
		checks: [
			check('throughput ratio', ratio, '>=', minThroughputRatio),
			check('errors', Number(own.errors), '==', 0),
		],
	};
};

/** The overhead bench. */
export const bench: Bench = {
	name: 'overhead',
	summary: 'throughput and p99 against a plain hono and undici pass-through',
	run,
};
