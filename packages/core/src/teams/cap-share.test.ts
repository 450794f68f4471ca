/**
 * Guards against a team that runs more than its cap over all services, and
 * against one that waits although its cap has room.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as teams from './index.js';

const toResources = (cpuMillis: number) => ({
	cpuMillis,
	memoryMb: 0,
	accelerators: 0,
});

const cap = toResources(100);

type Need = {used?: number; waiting?: number; largest?: number};

const toNeed = ({used = 0, waiting = 0, largest = 10}: Need) => ({
	used: toResources(used),
	waiting: toResources(waiting),
	largest: toResources(waiting > 0 ? largest : 0),
});

type Held = {
	share: number;
	lacking?: number;
	largest?: number;
	since?: number;
	token?: number;
};

const toShares = (held: Readonly<Record<string, Held>>): teams.CapShares =>
	Object.fromEntries(
		Object.entries(held).map(
			([shard, {share, lacking = 0, largest = 10, since = 1, token = 1}]) => [
				shard,
				{
					token,
					share: toResources(share),
					lacking: toResources(lacking),
					largest: toResources(lacking > 0 ? largest : 0),
					lackingSince: lacking > 0 ? since : 0,
				},
			],
		),
	);

const cases: ReadonlyArray<{
	readonly name: string;
	readonly held: Readonly<Record<string, Held>>;
	readonly need: Need;
	readonly token?: number;
	/** Cap under which the row was written. */
	readonly rowCap?: teams.CapRow['cap'];
	/** The share that is written; absent if the row stays. */
	readonly share: number | undefined;
	readonly lacking?: number;
}> = [
	{name: 'nothing is taken without need', held: {}, need: {}, share: undefined},
	{
		name: 'the first demand takes twice what it needs',
		held: {},
		need: {waiting: 20},
		share: 40,
	},
	{
		name: 'a small demand takes an eighth of the cap',
		held: {},
		need: {waiting: 1},
		share: 12,
	},
	{
		name: 'no more than the others leave',
		held: {b: {share: 70}},
		need: {waiting: 50},
		share: 30,
		lacking: 20,
	},
	{
		name: 'a share that covers the need stays',
		held: {a: {share: 40}},
		need: {used: 30, waiting: 10},
		share: undefined,
	},
	{
		name: 'an idle share stays while nobody lacks it',
		held: {a: {share: 40}},
		need: {},
		share: undefined,
	},
	{
		name: 'an idle share goes once another service lacks it',
		held: {a: {share: 60}, b: {share: 40, lacking: 30}},
		need: {used: 20},
		share: 20,
	},
	{
		name: 'what runs stays covered',
		held: {a: {share: 90}, b: {share: 10, lacking: 60}},
		need: {used: 90},
		share: undefined,
	},
	{
		name: 'two services with more than enough work share evenly',
		held: {a: {share: 90}, b: {share: 10, lacking: 60}},
		need: {used: 40, waiting: 90},
		share: 50,
		lacking: 50,
	},
	{
		name: 'room for the largest task of the service that lacks longest',
		held: {a: {share: 90}, b: {share: 10, lacking: 80, largest: 80}},
		need: {used: 15, waiting: 90},
		share: 20,
		lacking: 80,
	},
	{
		name: 'the service that lacks longest takes room for its largest task',
		held: {
			a: {share: 10, lacking: 80, largest: 80, since: 1},
			b: {share: 20, lacking: 80, largest: 80, since: 2},
		},
		need: {waiting: 80, largest: 80},
		share: 80,
	},
	{
		name: 'after the cap was lowered, the share falls to what runs',
		held: {a: {share: 90}, b: {share: 40}},
		need: {used: 70, waiting: 50},
		share: 70,
		lacking: 30,
	},
	{
		name: 'what ran before there was a cap is entered in the row',
		held: {b: {share: 40}},
		need: {used: 90},
		share: 90,
	},
	{
		name: 'a lowered cap is written, also where the share would do',
		held: {a: {share: 40}},
		rowCap: toResources(200),
		need: {used: 30, waiting: 10},
		share: 80,
	},
	{
		name: 'a row from before there was a cap is written',
		held: {a: {share: 40}},
		rowCap: teams.noResources,
		need: {used: 30, waiting: 10},
		share: 80,
	},
	{
		name: 'a raised cap needs no write by itself',
		held: {a: {share: 40}},
		rowCap: toResources(50),
		need: {used: 30, waiting: 10},
		share: undefined,
	},
	{
		name: 'a new owner takes over the share of the one before',
		held: {a: {share: 40, token: 1}},
		token: 2,
		need: {used: 10, waiting: 10},
		share: 40,
	},
	{
		name: 'an owner that was replaced writes nothing',
		held: {a: {share: 40, token: 3}},
		token: 2,
		need: {used: 10, waiting: 10},
		share: undefined,
	},
];

for (const {
	name,
	held,
	need,
	token = 1,
	rowCap = cap,
	share,
	lacking = 0,
} of cases) {
	tap.t.test(name, async (t) => {
		const shares = toShares(held);
		const wanted = toNeed(need);
		const self = {shard: 'a', token};
		const row = {shares, cap: rowCap, version: 9};
		const next = teams.planShare(row, cap, self, wanted);
		const isWritten =
			next !== undefined && teams.needsWrite(row, self, next, {...wanted, cap});
		t.equal(isWritten ? next.share.cpuMillis : undefined, share);
		t.notOk(
			isWritten && teams.isSettled(row, cap, self, wanted),
			'a share that must be written is not settled',
		);
		if (isWritten) {
			t.equal(next.lacking.cpuMillis, lacking);
			t.equal(next.token, token);
		}
	});
}

const startCases: ReadonlyArray<{
	readonly name: string;
	readonly share: number;
	readonly isOverCap?: boolean;
	readonly used: number;
	readonly demand: number;
	readonly mayStart: boolean;
}> = [
	{name: 'within the share', share: 50, used: 40, demand: 10, mayStart: true},
	{name: 'beyond the share', share: 50, used: 41, demand: 10, mayStart: false},
	{
		name: 'while the shares exceed the cap',
		share: 50,
		isOverCap: true,
		used: 0,
		demand: 10,
		mayStart: false,
	},
	{
		name: 'wider than the cap, alone, with the whole cap',
		share: 100,
		used: 0,
		demand: 140,
		mayStart: true,
	},
	{
		name: 'wider than the cap, beside another task',
		share: 100,
		used: 1,
		demand: 140,
		mayStart: false,
	},
	{
		name: 'wider than the cap, while another service holds part of it',
		share: 90,
		used: 0,
		demand: 140,
		mayStart: false,
	},
];

for (const {
	name,
	share,
	isOverCap = false,
	used,
	demand,
	mayStart,
} of startCases) {
	tap.t.test(`a start ${name}`, async (t) => {
		const limit = {cap, share: toResources(share), isOverCap};
		t.equal(
			teams.mayStartWithin(limit, toResources(used), toResources(demand)),
			mayStart,
		);
	});
}

tap.t.test('resources without a cap are not limited', async (t) => {
	const limit = {
		cap: {cpuMillis: 0, memoryMb: 10, accelerators: 0},
		share: {cpuMillis: 0, memoryMb: 10, accelerators: 0},
		isOverCap: false,
	};
	const demand = {cpuMillis: 900, memoryMb: 10, accelerators: 2};
	t.ok(teams.mayStartWithin(limit, teams.noResources, demand));
	t.notOk(teams.isCapped(teams.noResources));
	t.ok(teams.isWithinCap(demand, limit.cap));
	t.notOk(teams.isWithinCap({...demand, memoryMb: 11}, limit.cap));
});

tap.t.test('only what fits into the cap counts as demand', async (t) => {
	const part = (used: number, waiting: number) =>
		teams.getPartWithinCap(cap, toNeed({used, waiting}));
	t.equal(part(0, 50), 1);
	t.equal(part(50, 100), 0.5);
	t.equal(part(120, 100), 0);
	t.equal(part(50, 0), 1);
});

/** Services on one row, with tasks that wait, start and end in any order. */
const shards = ['a', 'b', 'c'] as const;

const sizes = fc.integer({min: 1, max: 60});

const action = fc.oneof(
	fc.record({
		kind: fc.constant('submit' as const),
		shard: fc.constantFrom(...shards),
		size: sizes,
	}),
	fc.record({
		kind: fc.constant('plan' as const),
		shard: fc.constantFrom(...shards),
		isStored: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('end' as const),
		shard: fc.constantFrom(...shards),
	}),
);

type Service = {
	waiting: number[];
	running: number[];
};

const sum = (sizesOf: readonly number[]): number =>
	sizesOf.reduce((total, each) => total + each, 0);

const needOf = ({waiting, running}: Service): teams.CapNeed => ({
	used: toResources(sum(running)),
	waiting: toResources(sum(waiting)),
	largest: toResources(Math.max(0, ...waiting)),
});

const startTasks = (
	services: Readonly<Record<string, Service>>,
	row: teams.CapRow,
	shard: string,
) => {
	const service = services[shard]!;
	const limit = {
		cap,
		share: teams.getUsableShare(
			row,
			cap,
			{shard, token: 1},
			row.shares[shard]?.share ?? teams.noResources,
		),
		isOverCap: teams.isOverCap(row, cap) || !teams.isCapAdopted(row, cap),
	};
	service.waiting = service.waiting.filter((size) => {
		const mayStart = teams.mayStartWithin(
			limit,
			toResources(sum(service.running)),
			toResources(size),
		);
		if (mayStart) {
			service.running.push(size);
		}

		return !mayStart;
	});
};

const createServices = (): Record<string, Service> =>
	Object.fromEntries(
		shards.map((shard) => [shard, {waiting: [], running: []}]),
	);

const planOne = (
	services: Readonly<Record<string, Service>>,
	row: teams.CapRow,
	shard: string,
): teams.CapRow => {
	const need = needOf(services[shard]!);
	const self = {shard, token: 1};
	const next = teams.planShare(row, cap, self, need);
	const mustWrite =
		next !== undefined && teams.needsWrite(row, self, next, {...need, cap});
	const seen: teams.CapRow = mustWrite
		? {shares: {...row.shares, [shard]: next}, cap, version: row.version + 1}
		: row;
	startTasks(services, seen, shard);
	return seen;
};

tap.t.test('the sum of what runs never exceeds the cap', async () => {
	fc.assert(
		fc.property(fc.array(action, {maxLength: 60}), (actions) => {
			const services = createServices();
			let row = teams.emptyCapRow;
			for (const each of actions) {
				const service = services[each.shard]!;
				if (each.kind === 'submit') {
					service.waiting.push(each.size);
				} else if (each.kind === 'end') {
					service.running.shift();
				} else if (each.isStored) {
					row = planOne(services, row, each.shard);
				}

				const total = sum(
					Object.values(services).flatMap(({running}) => running),
				);
				if (total > cap.cpuMillis) {
					return false;
				}
			}

			return true;
		}),
		{seed: 7, numRuns: 2000},
	);
});

tap.t.test('every task runs in the end, wide ones too', async () => {
	fc.assert(
		fc.property(
			fc.array(fc.tuple(fc.constantFrom(...shards), sizes), {
				minLength: 1,
				maxLength: 25,
			}),
			(tasks) => {
				const services = createServices();
				let row = teams.emptyCapRow;
				for (const [shard, size] of tasks) {
					services[shard]!.waiting.push(size);
				}

				for (let round = 0; round < 400; round++) {
					for (const shard of shards) {
						row = planOne(services, row, shard);
					}

					services[shards[round % shards.length]!]!.running.shift();
				}

				return shards.every((shard) => services[shard]!.waiting.length === 0);
			},
		),
		{seed: 8, numRuns: 500},
	);
});
