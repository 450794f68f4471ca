/** `bench ownership`: moves of instances between pools under faults. */
import {check} from '../frame/check.js';
import type {Bench, Figures} from '../frame/types.js';
import {getQuantile} from './agreement/quantile.js';
import {runSimulation, type RunResult} from './ownership/run-simulation.js';
import type {MoveRule} from './ownership/simulation.js';

const moves = 10_000;

const getFigures = (result: RunResult): Figures => ({
	movesStarted: result.started,
	movesDone: result.moved,
	movesCancelled: result.cancelled,
	requests: result.requests,
	requestsForTwoPools: result.violations,
	leftBetween: result.leftBetween,
	moveP50Ms: Math.round(getQuantile(result.moveMs, 0.5)),
	moveP99Ms: Math.round(getQuantile(result.moveMs, 0.99)),
	moveMaxMs: Math.round(getQuantile(result.moveMs, 1)),
	entriesForgotten: result.forgotten,
	crashes: result.crashes,
	pauses: result.pauses,
	cutOff: result.cuts,
	droppedFromList: result.drops,
	shardTakeovers: result.takeovers,
	commitsRefused: result.lostConflicts,
	simulatedS: Math.round(result.simulatedMs / 1000),
});

/** The ownership bench. */
export const bench: Bench = {
	name: 'ownership',
	summary: 'moves between pools under pauses, cuts, crashes and lost replies',
	async run({seed, short, log}) {
		const run = async (rule: MoveRule, count: number, hasFaults = true) => {
			const result = await runSimulation({seed, rule, moves: count, hasFaults});
			log(`${rule}: ${result.moved} of ${result.started} moves done`);
			return result;
		};

		const result = await run('acknowledged', moves);
		const baselineMoves = short ? 1000 : moves;
		return {
			figures: getFigures(result),
			baselines: {
				healthy: getFigures(await run('acknowledged', baselineMoves, false)),
				listed: getFigures(await run('listed', baselineMoves)),
				timer: getFigures(await run('timer', baselineMoves)),
			},
			checks: [
				check('moves done', result.moved, '>=', moves),
				check('requests routed for two pools', result.violations, '==', 0),
				check('instances left between', result.leftBetween, '==', 0),
				check(
					'moves neither done nor cancelled',
					result.started - result.moved - result.cancelled,
					'==',
					0,
				),
			],
		};
	},
};
