/** Callers of the demo, which send HTTP requests to the embedded daemon. */
import {Agent, request} from 'undici';
import {headerNames} from '@gullstand/daemon';

/** Load of one customer on one service. */
export type LoadOptions = {
	readonly url: string;
	readonly token: string;
	readonly path: string;
	readonly requests: number;
	/** Number of concurrent callers, with one request in flight each. */
	readonly callers: number;
	/** Time between an answer and the next request, in milliseconds. */
	readonly pauseMs: number;
	/** Creates the idempotency key of a request. */
	readonly createKey?: (index: number) => string;
};

/** Number of answers, in total, by status and by outcome. */
export type LoadReport = {
	readonly answers: number;
	readonly statuses: Readonly<Record<string, number>>;
	readonly outcomes: Readonly<Record<string, number>>;
};

const increment = (counts: Record<string, number>, name: string) => {
	counts[name] = (counts[name] ?? 0) + 1;
};

/** Sends the load and counts the answers. */
export const sendLoad = async (load: LoadOptions): Promise<LoadReport> => {
	const agent = new Agent({connections: load.callers, pipelining: 1});
	const statuses: Record<string, number> = {};
	const outcomes: Record<string, number> = {};
	let next = 0;

	const sendOne = async (index: number) => {
		const res = await request(new URL(load.path, load.url), {
			method: 'POST',
			dispatcher: agent,
			headers: {
				authorization: `Bearer ${load.token}`,
				...(load.createKey && {
					[headerNames.idempotencyKey]: load.createKey(index),
				}),
			},
			body: JSON.stringify({index}),
		});
		// Reads the body instead of dumping it, to detect an incomplete one.
		await res.body.arrayBuffer();
		increment(statuses, String(res.statusCode));
		increment(outcomes, String(res.headers[headerNames.outcome]));
	};

	const runCaller = async () => {
		while (next < load.requests) {
			const index = next;
			next += 1;
			await sendOne(index);
			await new Promise((resolve) => {
				setTimeout(resolve, load.pauseMs);
			});
		}
	};

	await Promise.all(
		Array.from({length: load.callers}, async () => runCaller()),
	);
	await agent.close();
	return {answers: load.requests, statuses, outcomes};
};
