/** Closed-loop callers that time every answer. */
import {performance} from 'node:perf_hooks';
import * as hdr from 'hdr-histogram-js';
import {Pool} from 'undici';

/** Options of one round of load. */
export type LoadOptions = {
	readonly port: number;
	readonly token: string;
	readonly callers: number;
	readonly durationMs: number;
	/** Time between an answer and the caller's next request. */
	readonly pauseMs: number;
};

/** Figures of one round of load. */
export type LoadFigures = {
	readonly answers: number;
	readonly errors: number;
	readonly perSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

const body = JSON.stringify({schedule: 'plant', sum: 250_000});

const pause = async (ms: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Sends load for a time and returns its figures. */
export const sendLoad = async (options: LoadOptions): Promise<LoadFigures> => {
	const {port, token, callers, durationMs, pauseMs} = options;
	const pool = new Pool(`http://127.0.0.1:${port}`, {
		connections: callers,
		pipelining: 1,
	});
	const histogram = hdr.build({useWebAssembly: false});
	const startedAt = performance.now();
	const endAt = startedAt + durationMs;
	let answers = 0;
	let errors = 0;

	const sendOne = async () => {
		const sentAt = performance.now();
		const res = await pool.request({
			path: '/s/quoting/quote',
			method: 'POST',
			headers: {
				authorization: `Bearer ${token}`,
				'content-type': 'application/json',
			},
			body,
		});
		await res.body.arrayBuffer();
		histogram.recordValue(Math.round((performance.now() - sentAt) * 1000));
		answers += 1;
		errors += res.statusCode === 200 ? 0 : 1;
	};

	const runCaller = async () => {
		while (performance.now() < endAt) {
			await sendOne();
			if (pauseMs > 0) {
				await pause(pauseMs);
			}
		}
	};

	await Promise.all(Array.from({length: callers}, async () => runCaller()));
	const seconds = (performance.now() - startedAt) / 1000;
	await pool.close();
	return {
		answers,
		errors,
		perSecond: answers / seconds,
		p50Ms: histogram.getValueAtPercentile(50) / 1000,
		p99Ms: histogram.getValueAtPercentile(99) / 1000,
	};
};
