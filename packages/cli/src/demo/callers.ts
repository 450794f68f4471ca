/** Callers of the demo: real requests through a real socket. */
import {Agent, request} from 'undici';
import {headerNames} from '@gullstand/daemon';

/** How the callers of one customer call one service. */
export type LoadOptions = {
	readonly url: string;
	readonly token: string;
	readonly path: string;
	readonly requests: number;
	/** Callers that each wait for an answer before they go on. */
	readonly callers: number;
	/** Time between an answer and the caller's next request, in ms. */
	readonly pauseMs: number;
	/** Makes the key of a request that may not be repeated. */
	readonly createKey?: (index: number) => string;
};

/** Counts of answers, by status and by outcome. */
export type LoadReport = {
	readonly answers: number;
	readonly statuses: Readonly<Record<string, number>>;
	readonly outcomes: Readonly<Record<string, number>>;
};

const addTo = (counts: Record<string, number>, name: string) => {
	counts[name] = (counts[name] ?? 0) + 1;
};

/** Sends the load and counts what came back. */
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
		// Read, not dumped: a dump does not tell a cut body.
		await res.body.arrayBuffer();
		addTo(statuses, String(res.statusCode));
		addTo(outcomes, String(res.headers[headerNames.outcome]));
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
