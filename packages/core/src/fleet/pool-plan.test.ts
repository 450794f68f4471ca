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
	usesForecast: true,
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

const leaveP = (ids: readonly string[], to: string): fleet.MovesUnderWay =>
	new Map(ids.map((machine) => [machine, {machine, from: 'p', to}]));

type Case = {
	readonly name: string;
	readonly changes?: Partial<fleet.PoolConfig>;
	readonly demands: readonly fleet.PoolDemand[];
	readonly machines: readonly fleet.PoolMachine[];
	readonly underWay?: fleet.MovesUnderWay;
	/** Moves under way that have been commanded; none by default. */
	readonly commanded?: ReadonlySet<string>;
	/** Duration of the surplus, in milliseconds. */
	readonly surplusMs?: number;
	readonly expected?: fleet.ExpectedDemand;
	/** Machines whose evacuation has just failed. */
	readonly failed?: readonly string[];
	/** Moves that the platform has just rejected. */
	readonly rejected?: ReadonlyArray<Pick<fleet.PoolMove, 'machine' | 'to'>>;
	readonly moves: readonly string[];
	/** Machines whose moves are cancelled; none by default. */
	readonly cancelled?: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'a pool with a deficit gets machines from standby',
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
		name: 'machines on their way count',
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
		name: 'a new surplus stays',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		moves: [],
	},
	{
		name: 'a lasting surplus goes to standby',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		surplusMs: 1000,
		moves: ['a to standby'],
	},
	{
		name: 'a machine with a long-running task stays',
		demands: [createDemand('p', {usedCpu: 100})],
		machines: [
			createMachine('a', 'p', {runs: 1, longRunning: 1}),
			createMachine('b', 'p', {runs: 2, longRunning: 1}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'the least busy machine leaves first',
		demands: [createDemand('p', {usedCpu: 100})],
		machines: [
			createMachine('a', 'p', {runs: 2}),
			createMachine('b', 'p', {runs: 1}),
		],
		surplusMs: 1000,
		moves: ['b to standby'],
	},
	{
		name: 'a machine under maintenance or down stays',
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p', {isReserved: true}),
			createMachine('b', 'p', {isUp: false}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'a pool with a deficit gets machines from one with a surplus',
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
		name: 'the largest deficit comes first',
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
		name: 'tasks that must run on different machines keep them',
		demands: [createDemand('p', {minMachines: 2})],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'moves in progress are limited',
		demands: [createDemand('p', {waitingCpu: 9000})],
		machines: Array.from({length: 9}, (_, index) =>
			createMachine(`s${index}`, 'standby'),
		),
		moves: [0, 1, 2, 3].map((index) => `s${index} to p`),
	},
	{
		name: 'a larger fleet may have more moves in progress',
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
		name: 'a surplus goes to a pool with a deficit sooner than to standby',
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
		name: 'machines under maintenance are replaced',
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
		name: 'machines that are down are replaced, arriving ones count',
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
		name: 'late work gets no machine while another pool has a deficit',
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
		name: 'a pool with late work releases machines to one that can be in time',
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
		name: 'late work gets the standby machines that no other pool needs',
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
		name: 'machines that late work uses do not go to standby',
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
		name: 'machines out of service are not a surplus',
		demands: [createDemand('p', {usedCpu: 1000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('b', 'p', {isUp: false, isReserved: true}),
			createMachine('c', 'p', {isReserved: true}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'an expected rise leaves half of the machines to present demand',
		demands: [createDemand('p'), createDemand('r', {waitingCpu: 2000})],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r', {runs: 1}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
		],
		expected: {machines: new Map([['p', 4]]), endedRises: new Set()},
		moves: ['s1 to p', 's2 to r'],
	},
	{
		name: 'an expected rise takes no machine that its pool uses',
		demands: [createDemand('p'), createDemand('r', {usedCpu: 2000})],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'r', {runs: 1}),
			createMachine('c', 'r', {runs: 1}),
		],
		surplusMs: 1000,
		expected: {machines: new Map([['p', 3]]), endedRises: new Set(['r'])},
		moves: [],
	},
	{
		name: 'a pool whose rise has ended releases machines to an expected rise',
		demands: [createDemand('p'), createDemand('r'), createDemand('q')],
		machines: [
			createMachine('a', 'p'),
			...['b', 'c', 'd'].map((id) => createMachine(id, 'r')),
			...['e', 'f', 'g'].map((id) => createMachine(id, 'q')),
		],
		expected: {machines: new Map([['p', 2]]), endedRises: new Set(['r'])},
		moves: ['b to p', 'c to standby'],
	},
	{
		name: 'an expected rise keeps a surplus, also of an ended rise',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		surplusMs: 1000,
		expected: {machines: new Map([['p', 2]]), endedRises: new Set(['p'])},
		moves: [],
	},
	{
		name: 'another machine leaves standby in place of a rejected one',
		demands: [createDemand('p', {waitingCpu: 2000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('s1', 'standby'),
			createMachine('s2', 'standby'),
		],
		rejected: [{machine: 's1', to: 'p'}],
		moves: ['s2 to p'],
	},
	{
		name: 'a machine whose move was rejected goes to another pool',
		demands: [
			createDemand('p', {waitingCpu: 1000}),
			createDemand('q', {waitingCpu: 1000}),
		],
		machines: [createMachine('s1', 'standby'), createMachine('s2', 'standby')],
		rejected: [{machine: 's1', to: 'p'}],
		moves: ['s2 to p', 's1 to q'],
	},
	{
		name: 'another machine of a surplus leaves in place of a rejected one',
		demands: [createDemand('p')],
		machines: [createMachine('a', 'p'), createMachine('b', 'p')],
		rejected: [{machine: 'a', to: 'standby'}],
		surplusMs: 1000,
		moves: ['b to standby'],
	},
	{
		name: 'another machine leaves in place of one that was not emptied',
		demands: [createDemand('p'), createDemand('r', {waitingCpu: 2000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('b', 'p', {runs: 2}),
			createMachine('c', 'p', {runs: 3}),
			createMachine('d', 'r'),
		],
		failed: ['a'],
		surplusMs: 500,
		moves: ['b to r'],
	},
	{
		name: 'a machine that was not emptied is tried again later',
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('b', 'p', {runs: 2}),
		],
		failed: ['a'],
		surplusMs: 5000,
		moves: ['a to standby'],
	},
	{
		name: 'machines that serve stay until those on their way have arrived',
		changes: {minCpu: 2000},
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p'),
			createMachine('c', 'p', {isUp: false, isArriving: true}),
			createMachine('d', 'p', {isUp: false, isArriving: true}),
		],
		surplusMs: 1000,
		moves: [],
	},
	{
		name: 'machines that serve stay until those under way have arrived',
		changes: {minCpu: 2000},
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p'),
			createMachine('c', 'p'),
			createMachine('s', 'standby'),
		],
		underWay: new Map([['s', {machine: 's', from: 'standby', to: 'p'}]]),
		surplusMs: 1000,
		moves: ['a to standby'],
	},
	{
		name: 'a pool whose demand is back keeps the machines that would leave last',
		demands: [createDemand('p', {waitingCpu: 2000})],
		machines: [
			createMachine('a', 'p', {runs: 1}),
			createMachine('b', 'p', {runs: 3}),
			createMachine('c', 'p', {runs: 2}),
		],
		underWay: leaveP(['a', 'b', 'c'], 'standby'),
		moves: [],
		cancelled: ['b', 'c'],
	},
	{
		name: 'a commanded move is not cancelled',
		demands: [createDemand('p', {waitingCpu: 2000})],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p'),
			createMachine('s', 'standby'),
		],
		underWay: leaveP(['a', 'b'], 'standby'),
		commanded: new Set(['b']),
		moves: ['s to p'],
		cancelled: ['a'],
	},
	{
		name: 'two pools do not exchange machines',
		demands: [createDemand('p', {waitingCpu: 2000}), createDemand('r')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p'),
			createMachine('c', 'r'),
			createMachine('d', 'r'),
		],
		surplusMs: 500,
		underWay: leaveP(['b'], 'r'),
		moves: [],
		cancelled: ['b'],
	},
	{
		name: 'a machine that fails is replaced by one that is leaving',
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p', {isUp: false}),
			createMachine('b', 'p', {runs: 1}),
		],
		underWay: leaveP(['b'], 'standby'),
		moves: [],
		cancelled: ['b'],
	},
	{
		name: 'machines on their way do not stand in for one that is leaving',
		demands: [createDemand('p')],
		machines: [
			createMachine('b', 'p', {runs: 1}),
			createMachine('c', 'p', {isUp: false, isArriving: true}),
		],
		underWay: leaveP(['b'], 'standby'),
		moves: [],
		cancelled: ['b'],
	},
	{
		name: 'an expected rise cancels no move',
		demands: [createDemand('p')],
		machines: [
			createMachine('a', 'p'),
			createMachine('b', 'p', {runs: 1}),
			createMachine('c', 'p', {runs: 1}),
		],
		underWay: leaveP(['b', 'c'], 'standby'),
		expected: {machines: new Map([['p', 3]]), endedRises: new Set()},
		moves: [],
	},
	{
		name: 'a machine that is down or in a wave is not kept for its pool',
		demands: [createDemand('p', {waitingCpu: 3000})],
		machines: [
			createMachine('a', 'p', {isUp: false}),
			createMachine('b', 'p', {isReserved: true}),
			createMachine('c', 'p'),
		],
		underWay: leaveP(['a', 'b', 'c'], 'standby'),
		moves: [],
		cancelled: ['c'],
	},
];

for (const each of cases) {
	const {name, demands, machines, underWay, surplusMs, expected, moves} = each;
	tap.t.test(name, async (t) => {
		const caseCfg = {...cfg, ...each.changes};
		let rejected: fleet.RejectedMoves = new Map();
		for (const move of each.rejected ?? []) {
			rejected = fleet.recordRejectedMove(rejected, move, 0);
		}

		let failed: fleet.FailedEvacuations = new Map();
		for (const machine of each.failed ?? []) {
			failed = fleet.recordFailedEvacuation(failed, machine, 0);
		}

		const situation = {
			demands,
			machines,
			underWay: underWay ?? new Map(),
			revocable: new Set(
				[...(underWay?.keys() ?? [])].filter((id) => !each.commanded?.has(id)),
			),
			standbyPool: 'standby',
			expected,
			rejected,
			failed,
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
		t.same(
			plan.cancelled.map(({machine}) => machine),
			each.cancelled ?? [],
		);
	});
}

tap.t.test('a surplus that ended starts from zero', async (t) => {
	const machines = [createMachine('a', 'p'), createMachine('b', 'p')];
	const plan = (state: fleet.PoolPlanState, waitingCpu: number, now: number) =>
		fleet.planPools(
			{
				demands: [createDemand('p', {waitingCpu})],
				machines,
				underWay: new Map(),
				standbyPool: 'standby',
			},
			state,
			cfg,
			now,
		);
	const first = plan(fleet.emptyPoolPlanState, 0, 0);
	const busy = plan(first.state, 2000, 900);
	t.same(plan(busy.state, 0, 1100).moves, []);
});

tap.t.test('each plan during a steep rise can move machines', async (t) => {
	const machines = Array.from({length: 40}, (_, index) =>
		createMachine(`m${index}`, index < 3 ? 'p' : 'standby', {
			cpuMillis: 32_000,
		}),
	);
	// Demand in thousandths of a core, reported by an owner within two seconds.
	const reports = [
		{waitingCpu: 41_000, usedCpu: 91_000, arrivingCpu: 68_000},
		{waitingCpu: 65_000, usedCpu: 87_000, arrivingCpu: 96_000},
		{waitingCpu: 159_000, usedCpu: 93_000, arrivingCpu: 203_000},
		{waitingCpu: 354_000, usedCpu: 96_000, arrivingCpu: 333_000},
	];
	const underWay = new Map<string, fleet.PoolMove>();
	const counts = reports.map((demand, index) => {
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
	t.same(counts, [6, 8, 18, 37], 'all of standby by the fourth plan');
});
