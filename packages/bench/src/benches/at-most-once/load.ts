/** Measures the cost of at-most-once requests: store calls and delay. */
import * as daemon from '@gullstand/daemon';
import {createRandom, drawBelow, drawExponential} from '../../frame/random.js';
import type {Figures} from '../../frame/types.js';
import {type CallKind, noFaultPlan} from './steps.js';
import {variants} from './variants.js';
import {createSimulation} from './simulation.js';

const entryCount = 9;
const repeatShare = 0.05;
const deadlineMs = 3000;
/** Load on all entries together. */
export type LoadOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly seconds: number;
	readonly group: daemon.idempotency.GroupSettings;
};

/** Settings without group commit: each write is sent at once. */
export const noGroup: daemon.idempotency.GroupSettings = {
	...daemon.idempotency.defaultGroupSettings,
	maxRows: 1,
	spacingMs: 0,
	windowMs: 0,
	maxCommits: 1000,
};

const getPercentile = (sorted: readonly number[], share: number): number =>
	sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ??
	Number.NaN;

const round = (value: number): number => Number(value.toFixed(2));

/** Runs a load without faults and returns its cost. */
export const runLoad = async (options: LoadOptions): Promise<Figures> => {
	const {seed, requestsPerSecond, seconds, group} = options;
	const random = createRandom(seed);
	const calls: Record<CallKind, number> = {read: 0, commit: 0, put: 0, get: 0};
	const simulation = createSimulation({
		entries: entryCount,
		random,
		variant: variants.correct,
		groupSettings: group,
		plan: {
			...noFaultPlan,
			getFault(_call, kind) {
				calls[kind]++;
				return 'none';
			},
		},
	});
	const count = requestsPerSecond * seconds;
	let at = 0;
	for (let index = 0; index < count; index++) {
		at += drawExponential(random, 1000 / requestsPerSecond);
		const sends = random() < repeatShare ? 2 : 1;
		for (let send = 0; send < sends; send++) {
			void simulation.send({
				key: `k${index}`,
				body: 'b',
				entry: drawBelow(random, entryCount),
				at: at + send * 10 * random(),
				deadlineMs,
				executor: 'answers',
			});
		}
	}

	await simulation.clock.runUntil(at + deadlineMs * 2);
	const delays = [...simulation.dispatchDelaysMs].sort((a, b) => a - b);
	const commitsPerRequest = calls.commit / count;
	return {
		requestsPerSecond,
		commitsPerRequest: round(commitsPerRequest),
		commitsPerSecond: round(commitsPerRequest * requestsPerSecond),
		readsPerRequest: round(calls.read / count),
		addedDelayP50Ms: round(getPercentile(delays, 0.5)),
		addedDelayP99Ms: round(getPercentile(delays, 0.99)),
	};
};
