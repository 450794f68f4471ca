import * as tap from 'tap';
import * as fleet from './index.js';

const cfg: fleet.PoolConfig = {
	headroom: 1,
	surge: 0,
	minCpu: 1000,
	minShare: 0,
	lateDrainMs: 1000,
	spareMachines: 0,
	shrinkAfterMs: 1000,
	yieldAfterMs: 500,
	maxMoves: 4,
	maxMoveShare: 0,
};

const createMachine = (
	id: string,
	pool: string,
	changes: Partial<fleet.PoolMachine> = {},
): fleet.PoolMachine => ({
	id,
	pool,
	isUp: true,
	isArriving: false,
	cpuMillis: 1000,
	runs: 0,
	longRunning: 0,
	isReserved: false,
	...changes,
});

const createDemand = (
	pool: string,
	changes: Partial<fleet.PoolDemand> = {},
): fleet.PoolDemand => ({
	pool,
	waitingCpu: 0,
	usedCpu: 0,
	late: {waitingCpu: 0, usedCpu: 0, work: 0},
	arrivingCpu: 0,
	minMachines: 0,
	...changes,
});

type Case = {
	readonly name: string;
	readonly changes?: Partial<fleet.PoolConfig>;
	readonly demands: readonly fleet.PoolDemand[];
	readonly machines: readonly fleet.PoolMachine[];
	readonly underWay?: fleet.MovesUnderWay;
	/** For how long there has been too much, in milliseconds. */
	readonly surplusMs?: number;
	readonly moves: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'a queue that asks for more gets machines from standby',
		demands: [createDemand('p', {waitingCpu: 2500, usedCpu: 500})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
			createMachine('s3', 'standby'),
		],
		moves: ['s1 to p', 's2 to p'],
	},
	{
		name: 'those on their way count',
		demands: [createDemand('p', {waitingCpu: 3000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
		],
		underWay: new Map([['s1', {machine: 's1', from: 'standby', to: 'p'}]]),
		moves: ['s2 to p'],
	},
	{
		name: 'a surplus that has just begun stays',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		moves: [],
	},
	{
		name: 'a surplus that has lasted goes to standby',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		surplusMs: 1000,
		moves: ['a to standby'],
	},
	{
		name: 'a machine with a lasting task stays',
		demands: [createDemand('p', {usedCpu: 100})],
		machines: [
			createMachine('a', 'p', {runs: 1, longRunning: 1}),
			createMachine('b', 'p', {runs: 2, longRunning: 1}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'of machines at work the one with the least goes',
		demands: [createDemand('p', {usedCpu: 100})],
		machines: [
			createMachine('a', 'p', {runs: 2}),
			createMachine('b', 'p', {runs: 1}),
		],
		surplusMs: 1000,
		moves: ['b to standby'],
	},
	{
		name: 'a machine that is maintained or down stays',
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p', {isReserved: true}),
			createMachine('b', 'p', {isUp: false}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'a pool that lacks gets from one that has too much',
		demands: [createDemand('p', {waitingCpu: 2000}), createDemand('r')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r'),
			createMachine('c', 'r'),
		],
		surplusMs: 1000,
		moves: ['b to p'],
	},
	{
		name: 'the pool that lacks most comes first',
		demands: [
			createDemand('p', {waitingCpu: 2000}),
			createDemand('r', {waitingCpu: 3000}),
		],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r'),
			createMachine('s', 'standby'),
		],
		moves: ['s to r'],
	},
	{
		name: 'tasks that must be apart keep their machines',
		demands: [createDemand('p', {minMachines: 2})],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'no more moves than may be under way',
		demands: [createDemand('p', {waitingCpu: 9000})],
		machines: Array.from({length: 9}, (_, index) =>
			createMachine(`s${index}`, 'standby'),
		),
		moves: [0, 1, 2, 3].map((index) => `s${index} to p`),
	},
	{
		name: 'a larger fleet may have more moves under way',
		changes: {maxMoveShare: 0.5},
		demands: [createDemand('p', {waitingCpu: 20_000})],
		machines: Array.from({length: 12}, (_, index) =>
			createMachine(`s${index}`, 'standby'),
		),
		moves: [0, 1, 2, 3, 4, 5].map((index) => `s${index} to p`),
	},
	{
		name: 'in a larger fleet a pool without demand keeps more',
		changes: {minShare: 0.5},
		demands: [createDemand('p'), createDemand('r')],
		machines: Array.from({length: 12}, (_, index) =>
			createMachine(`m${index}`, index < 6 ? 'p' : 'r'),
		),
		surplusMs: 1000,
		moves: ['m0', 'm1', 'm2', 'm3'].map((id) => `${id} to standby`),
	},
	{
		name: 'a pool yields sooner to one that lacks than to standby',
		demands: [createDemand('p', {waitingCpu: 2000}), createDemand('r')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r'),
			createMachine('c', 'r'),
			createMachine('d', 'r'),
		],
		surplusMs: 500,
		moves: ['b to p'],
	},
	{
		name: 'machines that are away for maintenance are made up for',
		demands: [createDemand('p', {waitingCpu: 3000})],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p', {isUp: false, isReserved: true}),
			createMachine('c', 'p', {isReserved: true, runs: 1}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
			createMachine('s3', 'standby'),
		],
		moves: ['s1 to p', 's2 to p'],
	},
	{
		name: 'machines that are down are made up for, those that arrive count',
		demands: [createDemand('p', {waitingCpu: 3000})],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p', {isUp: false}),
			createMachine('c', 'p', {isUp: false, isArriving: true}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
		],
		moves: ['s1 to p'],
	},
	{
		name: 'work that is late asks for no machine while another pool lacks',
		demands: [
			createDemand('p', {
				waitingCpu: 9000,
				late: {waitingCpu: 9000, usedCpu: 0, work: 9_000_000},
			}),
			createDemand('r', {waitingCpu: 4000}),
		],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r'),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
		],
		moves: ['s1 to r', 's2 to r'],
	},
	{
		name: 'a pool at late work yields to one that can be in time',
		demands: [
			createDemand('p', {
				usedCpu: 3000,
				late: {waitingCpu: 0, usedCpu: 3000, work: 3_000_000},
			}),
			createDemand('r', {waitingCpu: 2000}),
		],
		machines: [
			createMachine('a', 'p', {runs: 3}),
			createMachine('b', 'p', {runs: 1}),
			createMachine('c', 'p', {runs: 2}),
			createMachine('d', 'r'),
		],
		surplusMs: 500,
		moves: ['b to r'],
	},
	{
		name: 'late work gets what nobody else wants, to be done in its time',
		demands: [
			createDemand('p', {
				waitingCpu: 9000,
				late: {waitingCpu: 9000, usedCpu: 0, work: 2_000_000},
			}),
			createDemand('r'),
		],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r'),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
			createMachine('s3', 'standby'),
		],
		moves: ['s1 to p', 's2 to p'],
	},
	{
		name: 'what late work holds is not given to standby',
		demands: [
			createDemand('p', {
				usedCpu: 2000,
				late: {waitingCpu: 0, usedCpu: 2000, work: 1_000_000},
			}),
		],
		machines: [
			createMachine('a', 'p', {runs: 2}),
			createMachine('b', 'p', {runs: 1}),
			createMachine('c', 'p'),
		],
		surplusMs: 1000,
		moves: ['c to standby'],
	},
	{
		name: 'machines that are away are no surplus',
		demands: [createDemand('p', {usedCpu: 1000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('b', 'p', {isUp: false, isReserved: true}),
			createMachine('c', 'p', {isReserved: true}),
		],
		surplusMs: 1000,
		moves: [],
	},
];

for (const each of cases) {
	const {name, demands, machines, underWay, surplusMs, moves} = each;
	tap.t.test(name, async (t) => {
		const caseCfg = {...cfg, ...each.changes};
		const situation = {
			demands,
			machines,
			underWay: underWay ?? new Map(),
			standbyPool: 'standby',
		};
		const first = fleet.planPools(
			situation,
			fleet.emptyPoolPlanState,
			caseCfg,
			0,
		);
		const plan =
			surplusMs === undefined
				? first
				: fleet.planPools(situation, first.state, caseCfg, surplusMs);
		t.same(
			plan.moves.map(({machine, to}) => `${machine} to ${to}`),
			moves,
		);
	});
}

tap.t.test('a surplus that is over begins anew', async (t) => {
	const machines = [createMachine('a', 'p'), createMachine('b', 'p')];
	const plan = (memory: fleet.PoolPlanState, waitingCpu: number, now: number) =>
		fleet.planPools(
			{
				demands: [createDemand('p', {waitingCpu})],
				machines,
				underWay: new Map(),
				standbyPool: 'standby',
			},
			memory,
			cfg,
			now,
		);
	const first = plan(fleet.emptyPoolPlanState, 0, 0);
	const busy = plan(first.state, 2000, 900);
	t.same(plan(busy.state, 0, 1100).moves, []);
});

tap.t.test('each look at a steep rise finds machines to move', async (t) => {
	const machines = Array.from({length: 40}, (_, index) =>
		createMachine(`m${index}`, index < 3 ? 'p' : 'standby', {
			cpuMillis: 32_000,
		}),
	);
	// Thousandths of a core, as an owner told them within two seconds.
	const looks = [
		{waitingCpu: 41_000, usedCpu: 91_000, arrivingCpu: 68_000},
		{waitingCpu: 65_000, usedCpu: 87_000, arrivingCpu: 96_000},
		{waitingCpu: 159_000, usedCpu: 93_000, arrivingCpu: 203_000},
		{waitingCpu: 354_000, usedCpu: 96_000, arrivingCpu: 333_000},
	];
	const underWay = new Map<string, fleet.PoolMove>();
	const counts = looks.map((demand, index) => {
		const {moves} = fleet.planPools(
			{
				demands: [createDemand('p', demand)],
				machines,
				underWay,
				standbyPool: 'standby',
			},
			fleet.emptyPoolPlanState,
			fleet.defaultPoolConfig,
			index * 300,
		);
		for (const move of moves) {
			underWay.set(move.machine, move);
		}

		return underWay.size;
	});
	t.same(counts, [6, 8, 18, 37], 'all of standby by the fourth look');
});
