/** `bench rollout`: contract changes until they are in force everywhere. */
import {check} from '../frame/check.js';
import type {Bench, Figures} from '../frame/types.js';
import {getQuantile} from './agreement/quantile.js';
import {runRollout} from './rollout/run-rollout.js';
import type {RolloutOptions, RolloutResult} from './rollout/simulation.js';

const changes = 1000;

const entries = 9;

const plannedEntries = 243;

const changesPerDay = 3000;

const msPerDay = 86_400_000;

const operators = 4;

const healthy = {latencyMs: 8, lostReplies: 0, timeoutMs: 2000};

type Scenario = Pick<RolloutOptions, 'store' | 'lostMessages' | 'hasPauses'>;

const scenarios = {
	healthy: {store: healthy, lostMessages: 0, hasPauses: false},
	slowStore: {
		store: {latencyMs: 1000, lostReplies: 0, timeoutMs: 4000},
		lostMessages: 0,
		hasPauses: false,
	},
	lostReplies: {
		store: {...healthy, lostReplies: 0.1},
		lostMessages: 0.1,
		hasPauses: false,
	},
	pausedEntry: {store: healthy, lostMessages: 0, hasPauses: true},
} as const satisfies Record<string, Scenario>;

const getFigures = (result: RolloutResult): Figures => ({
	accepted: result.accepted,
	refusedToLosers: result.refused,
	inForceP50Ms: Number(getQuantile(result.inForceMs, 0.5).toFixed(1)),
	inForceP99Ms: Number(getQuantile(result.inForceMs, 0.99).toFixed(1)),
	lost: result.lost,
	reverted: result.reverted,
});

/** Resources that the whole fleet uses per second. */
type Usage = {
	readonly reads: number;
	readonly writes: number;
	readonly bytes: number;
};

const getUsage = (result: RolloutResult): Usage => {
	const seconds = result.simulatedMs / 1000;
	return {
		reads: result.storeReads / seconds,
		writes: result.storeWrites / seconds,
		bytes: (result.storeBytes + result.peerBytes) / seconds,
	};
};

/** Fits a line by least squares and evaluates it at `at`. */
const extrapolate = (
	points: ReadonlyArray<readonly [number, number]>,
	at: number,
): number => {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	let above = 0;
	let below = 0;
	for (const [x, y] of points) {
		above += (x - meanX) * (y - meanY);
		below += (x - meanX) ** 2;
	}

	return meanY + (above / below) * (at - meanX);
};

/** Fleet sizes at which the periods grow with the number of entries. */
const measuredSizes = [108, 135, 162, 189];

const runPlanned = async (
	seed: number,
	count: number,
	short: boolean,
): Promise<RolloutResult> =>
	runRollout({
		...scenarios.healthy,
		seed,
		entries: count,
		changes: short ? 8 : 30,
		meanGapMs: (operators * msPerDay) / changesPerDay,
	});

/** The rollout bench. */
export const bench: Bench = {
	name: 'rollout',
	summary: 'contract changes in force on every entry, and what they cost',
	async run({seed, short, log}) {
		const results: Record<string, RolloutResult> = {};
		for (const [name, scenario] of Object.entries(scenarios)) {
			results[name] = await runRollout({
				...scenario,
				seed,
				entries,
				changes,
				meanGapMs: 400,
			});
			log(`${name}: ${results[name].accepted} changes`);
		}

		const usages: Array<readonly [number, Usage]> = [];
		for (const count of measuredSizes) {
			const result = await runPlanned(seed, count, short);
			usages.push([count, getUsage(result)]);
			log(`${count} entries: ${JSON.stringify(getUsage(result))}`);
		}

		const today = getUsage(await runPlanned(seed, entries, short));
		const planned = await runPlanned(seed, plannedEntries, short);
		const plannedMs = Math.max(...planned.inForceMs);
		const atPlanned = (get: (usage: Usage) => number) =>
			extrapolate(
				usages.map(([count, usage]) => [count, get(usage)] as const),
				plannedEntries,
			);
		const measured = getUsage(planned);
		const bytes =
			Math.max(
				atPlanned((usage) => usage.bytes),
				measured.bytes,
			) / plannedEntries;
		const all = Object.values(results);
		const sum = (get: (result: RolloutResult) => number) =>
			all.reduce((total, result) => total + get(result), 0);
		const rounded = (value: number) => Number(value.toFixed(2));
		return {
			figures: {
				...getFigures(results.healthy!),
				plannedInForceMaxMs: rounded(plannedMs),
				plannedReadsPerSecondOfFleet: rounded(
					atPlanned((usage) => usage.reads),
				),
				plannedWritesPerSecondOfFleet: rounded(
					atPlanned((usage) => usage.writes),
				),
				plannedBytesPerSecondOfDaemon: rounded(
					atPlanned((usage) => usage.bytes) / plannedEntries,
				),
				measuredReadsPerSecondAtPlanned: rounded(measured.reads),
				measuredWritesPerSecondAtPlanned: rounded(measured.writes),
				measuredBytesPerSecondOfDaemonAtPlanned: rounded(
					measured.bytes / plannedEntries,
				),
				todayBytesPerSecondOfDaemon: rounded(today.bytes / entries),
			},
			baselines: {
				slowStore: getFigures(results.slowStore!),
				lostReplies: getFigures(results.lostReplies!),
				pausedEntry: getFigures(results.pausedEntry!),
			},
			checks: [
				check(
					'changes accepted in each of four runs',
					Math.min(...all.map(({accepted}) => accepted)),
					'>=',
					changes,
				),
				check(
					'changes lost',
					sum(({lost}) => lost),
					'==',
					0,
				),
				check(
					'changes reverted',
					sum(({reverted}) => reverted),
					'==',
					0,
				),
				check(
					'healthy in force p99, ms',
					getQuantile(results.healthy!.inForceMs, 0.99),
					'<=',
					2000,
				),
				check('planned in force, ms', plannedMs, '<=', 15_000),
				check('planned bytes a second of a daemon', bytes, '<=', 8192),
			],
		};
	},
};
