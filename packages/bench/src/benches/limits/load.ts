/** The list of arrivals, the same for every strategy. */
import type {Random} from '../../frame/random.js';
import * as random from '../../frame/random.js';
import * as settings from './settings.js';

/** One arrival of a request. */
export type Arrival = {
	readonly atMs: number;
	readonly pool: number;
	/** Number in [0, 1) that selects one of the serving entries. */
	readonly entryDraw: number;
	readonly serviceMs: number;
};

/** Rate in a burst relative to the mean rate. */
const burstFactor = 1.35;
const burstMs = 500;
/** Share of a burst's requests that one entry receives. */
const burstSkew = 0.4;

/** Cumulative share of the entries by rank, proportional to 1 / rank. */
const skewedShares = (() => {
	const weights = Array.from(
		{length: settings.entryCount},
		(_, rank) => 1 / (rank + 1),
	);
	const total = weights.reduce((sum, each) => sum + each);
	let sum = 0;
	return weights.map((each) => {
		sum += each / total;
		return sum;
	});
})();

const drawSkewed = (draw: Random, offset: number): number => {
	const value = draw();
	const rank = skewedShares.findIndex((share) => value < share);
	return ((rank + offset) % settings.entryCount) / settings.entryCount;
};

const createPoolArrivals = (
	draw: Random,
	load: settings.Load,
	pool: number,
	untilMs: number,
): Arrival[] => {
	const {executors, ...pooled} = settings.pools[pool]!;
	const meanMs = settings.getMeanMs({executors, ...pooled});
	const slots = executors.length * settings.slotsPerExecutor;
	const perMs = (settings.loadFraction * slots) / meanMs;
	const arrivals: Arrival[] = [];
	let inBurst = false;
	let phaseEndMs = 0;
	let burstEntry = 0;
	for (let atMs = 0; ;) {
		if (load === 'bursty' && atMs >= phaseEndMs) {
			inBurst = !inBurst;
			phaseEndMs = atMs + random.drawExponential(draw, burstMs);
			burstEntry = draw();
		}

		const factor =
			load === 'bursty' ? (inBurst ? burstFactor : 2 - burstFactor) : 1;
		atMs += random.drawExponential(draw, 1 / (perMs * factor));
		if (atMs >= untilMs) {
			return arrivals;
		}

		let entryDraw = load === 'skewed' ? drawSkewed(draw, pool) : draw();
		if (load === 'bursty' && inBurst && draw() < burstSkew) {
			entryDraw = burstEntry;
		}

		const serviceMs = random.drawLogNormal(
			draw,
			pooled.medianMs,
			settings.serviceSigma,
		);
		arrivals.push({atMs, pool, entryDraw, serviceMs});
	}
};

/** Creates all arrivals until a time, in order of time. */
export const createArrivals = (
	seed: number,
	load: settings.Load,
	untilMs: number,
): readonly Arrival[] => {
	const draw = random.createRandom(seed);
	return settings.pools
		.flatMap((_, pool) => createPoolArrivals(draw, load, pool, untilMs))
		.toSorted((a, b) => a.atMs - b.atMs);
};
