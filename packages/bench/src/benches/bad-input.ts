/**
 * `bench bad-input`: sends malformed, oversized and slow requests to one daemon
 * and checks their statuses, the memory and the answers to valid requests.
 */
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions} from '../frame/types.js';
import {
	benchToken,
	startGullstandGateway,
} from './overhead/gullstand-gateway.js';
import {sendLoad} from './overhead/send-load.js';
import {startUpstreams} from './overhead/upstreams.js';

type BadRequest = {
	readonly name: string;
	readonly text: string;
	/** Expected statuses. */
	readonly statuses: readonly number[];
};

const head = `POST /s/quoting/ HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${benchToken}\r\n`;

const badRequests: readonly BadRequest[] = [
	{
		name: 'both length headers',
		text: `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
		statuses: [400],
	},
	{
		name: 'two lengths',
		text: `${head}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
		statuses: [400],
	},
	{
		name: 'bad chunk',
		text: `${head}transfer-encoding: chunked\r\n\r\nzz\r\n`,
		statuses: [400],
	},
	{
		name: 'large header',
		text: `${head}x: ${'x'.repeat(40_000)}\r\n\r\n`,
		statuses: [431],
	},
	{
		name: 'large body announced',
		text: `${head}content-length: 999999999\r\n\r\n`,
		statuses: [413],
	},
	{
		name: 'large body sent',
		text: `${head}transfer-encoding: chunked\r\n\r\n200000\r\n${'x'.repeat(1_100_000)}`,
		statuses: [413, 503],
	},
	{
		name: 'bad token',
		text: 'GET /s/quoting/ HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer no\r\n\r\n',
		statuses: [401],
	},
	{name: 'slow header', text: head, statuses: [408]},
	{
		name: 'slow body',
		text: `${head}content-length: 100000\r\n\r\n${'x'.repeat(50_000)}`,
		statuses: [408],
	},
];

const maxHeapGrowthMb = 256;

const bytesPerMb = 1_048_576;

const statusPattern = /^HTTP\/1\.1 (\d{3}) /v;

/** Sends raw text; resolves with the status, or 0 without an answer. */
const sendRaw = async (port: number, text: string): Promise<number> =>
	new Promise((resolve) => {
		const socket = connect(port, '127.0.0.1');
		let answer = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			answer += chunk;
		});
		socket.once('error', () => undefined);
		socket.once('close', () => {
			resolve(Number(statusPattern.exec(answer)?.[1] ?? 0));
		});
		socket.write(text, 'latin1');
	});

const sendBadRequests = async (port: number, each: number) => {
	const wrong: Record<string, number> = {};
	const sends = badRequests.flatMap((badRequest) =>
		Array.from({length: each}, async () => {
			const status = await sendRaw(port, badRequest.text);
			if (!badRequest.statuses.includes(status)) {
				const key = `${badRequest.name}: ${status}`;
				wrong[key] = (wrong[key] ?? 0) + 1;
			}
		}),
	);
	await Promise.all(sends);
	return wrong;
};

const run = async ({short, log}: BenchOptions) => {
	const each = short ? 60 : 200;
	const upstreams = await startUpstreams(4);
	const gateway = await startGullstandGateway(upstreams.ports, {
		headersTimeoutMs: 1000,
		requestTimeoutMs: 2000,
	});
	const startMb = process.memoryUsage().rss / bytesPerMb;
	let peakMb = startMb;
	const timer = setInterval(() => {
		peakMb = Math.max(peakMb, process.memoryUsage().rss / bytesPerMb);
	}, 20);
	const [wrong, good] = await Promise.all([
		sendBadRequests(gateway.port, each),
		sendLoad({
			port: gateway.port,
			token: benchToken,
			callers: 8,
			durationMs: 4000,
			pauseMs: 5,
		}),
	]);
	await delay(100);
	clearInterval(timer);
	const after = await sendLoad({
		port: gateway.port,
		token: benchToken,
		callers: 4,
		durationMs: 500,
		pauseMs: 0,
	});
	await gateway.stop();
	await upstreams.close();
	log(JSON.stringify(wrong));
	const growthMb = Math.round(peakMb - startMb);
	const wrongAnswers = Object.values(wrong).reduce((sum, n) => sum + n, 0);
	return {
		figures: {
			badRequests: badRequests.length * each,
			wrongAnswers,
			peakGrowthMb: growthMb,
			goodAnswers: good.answers,
			goodErrors: good.errors,
			goodP99Ms: good.p99Ms,
			answersAfter: after.answers,
		},
		baselines: {},
		checks: [
			check('wrong answers to bad requests', wrongAnswers, '==', 0),
			check('errors of good requests', good.errors + after.errors, '==', 0),
			check('answers after', after.answers, '>=', 1),
			check('growth of memory, MB', growthMb, '<=', maxHeapGrowthMb),
		],
	};
};

/** The bad-input bench. */
export const bench: Bench = {
	name: 'bad-input',
	summary: 'malformed, oversized and slow requests beside good ones',
	run,
};
