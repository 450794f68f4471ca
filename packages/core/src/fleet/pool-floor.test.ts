/**
 * Guards against moves that take the machines which serve a pool while its work
 * waits, and against pools that wait for each other's machines.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as fleet from './index.js';

const runs = {numRuns: 300, seed: 65};

const pools = ['p', 'q', 'r'];

const cfg: fleet.PoolConfig = {
	...fleet.defaultPoolConfig,
	minCpu: 2000,
	yieldAfterMs: 0,
	shrinkAfterMs: 0,
	usesForecast: false,
};

const machines = fc
	.array(
		fc.record({
			pool: fc.constantFrom(...pools, 'standby'),
			isUp: fc.boolean(),
			isArriving: fc.boolean(),
			runs: fc.nat(3),
			longRunning: fc.nat(1),
			isReserved: fc.boolean(),
			/** Pool to which it is being moved, if any. */
			to: fc.option(fc.constantFrom(...pools, 'standby')),
			isCommanded: fc.boolean(),
		}),
		{maxLength: 20},
	)
	.map((all) =>
		all.map((each, index) => ({...each, id: `m${index}`, cpuMillis: 1000})),
	);

const demands = fc.tuple(
	...pools.map((pool) =>
		fc.record({
			pool: fc.constant(pool),
			waitingCpu: fc.nat(6000),
			usedCpu: fc.nat(6000),
			late: fc.constant(fleet.noLateWork),
			arrivingCpu: fc.nat(6000),
			minMachines: fc.nat(3),
		}),
	),
);

const isServing = ({isUp, isReserved}: fleet.PoolMachine) =>
	isUp && !isReserved;

tap.t.test('a plan leaves each pool what it needs', async (t) => {
	fc.assert(
		fc.property(machines, demands, (all, wanted) => {
			const leaving = all.filter(({pool, to}) => to && to !== pool);
			const underWay = new Map(
				leaving.map(({id, pool, to}) => [
					id,
					{machine: id, from: pool, to: to!},
				]),
			);
			const plan = fleet.planPools(
				{
					demands: wanted,
					machines: all,
					underWay,
					revocable: new Set(
						leaving.filter(({isCommanded}) => !isCommanded).map(({id}) => id),
					),
					standbyPool: 'standby',
				},
				fleet.emptyPoolPlanState,
				cfg,
				0,
			);
			const cancelled = new Set(plan.cancelled.map(({machine}) => machine));
			const isLeaving = (id: string) =>
				(underWay.has(id) && !cancelled.has(id)) ||
				plan.moves.some(({machine}) => machine === id);
			for (const {pool} of wanted) {
				const serving = all.filter(
					(each) => each.pool === pool && isServing(each),
				);
				const kept = serving.filter(({id}) => !isLeaving(id));
				const missing = (plan.targets.get(pool) ?? 0) - kept.length;
				const isTaken = serving.some(
					({id, to, isCommanded}) =>
						isLeaving(id) && !(to && to !== pool && isCommanded),
				);
				if (missing > 0 && isTaken) {
					return false;
				}
			}

			return true;
		}),
		runs,
	);
	t.pass();
});
