import * as tap from 'tap';
import * as fleet from './index.js';

const createMembers = (
	serving: number,
	returning = 0,
	down = 0,
): readonly fleet.PoolMember[] => {
	const create = (count: number, isServing: boolean, isReturning: boolean) =>
		Array.from({length: count}, () => ({
			pool: 's',
			isServing,
			isReturning,
			cpuMillis: 1000,
		}));
	return [
		...create(serving, true, false),
		...create(returning, false, true),
		...create(down, false, false),
	];
};

type Case = {
	readonly name: string;
	readonly members: readonly fleet.PoolMember[];
	readonly need: number | 'unknown';
	readonly spare: fleet.PoolSpare;
};

const cases: readonly Case[] = [
	{
		name: 'ten machines without work',
		members: createMembers(10),
		need: 0,
		spare: {normal: 9, urgent: 9},
	},
	{
		name: 'ten machines with work for three',
		members: createMembers(10),
		need: 2500,
		spare: {normal: 7, urgent: 9},
	},
	{
		name: 'ten machines with work for more than there are',
		members: createMembers(10),
		need: 50_000,
		spare: {normal: 5, urgent: 9},
	},
	{
		name: 'ten machines, of which five are away for a wave',
		members: createMembers(5, 5),
		need: 50_000,
		spare: {normal: 0, urgent: 4},
	},
	{
		name: 'ten machines, of which six are down',
		members: createMembers(4, 0, 6),
		need: 50_000,
		spare: {normal: 0, urgent: 3},
	},
	{
		name: 'ten machines of an owner that does not answer',
		members: createMembers(10),
		need: 'unknown',
		spare: {normal: 5, urgent: 9},
	},
	{
		name: 'two machines',
		members: createMembers(2),
		need: 1,
		spare: {normal: 1, urgent: 1},
	},
	{
		name: 'the second of two, while the first is away',
		members: createMembers(1, 1),
		need: 1,
		spare: {normal: 0, urgent: 0},
	},
	{
		name: 'the second of two, while the first is down',
		members: createMembers(1, 0, 1),
		need: 1,
		spare: {normal: 0, urgent: 1},
	},
	{
		name: 'the only machine, with work',
		members: createMembers(1),
		need: 1,
		spare: {normal: 0, urgent: 1},
	},
	{
		name: 'the only machine, without work',
		members: createMembers(1),
		need: 0,
		spare: {normal: 1, urgent: 1},
	},
];

for (const {name, members, need, spare} of cases) {
	tap.t.test(`what a pool can spare: ${name}`, async (t) => {
		t.same(fleet.countSpares(members, new Map([['s', need]])).get('s'), spare);
	});
}

tap.t.test('a pool without queues can spare everything', async (t) => {
	t.equal(fleet.countSpares(createMembers(3), new Map()).get('s'), undefined);
});
