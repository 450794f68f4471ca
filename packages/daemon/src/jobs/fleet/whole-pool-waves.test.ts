/** Guards against waves and moves that leave nothing to a service that has work. */
import type {WaveRequest} from '@gullstand/ports';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims, moveClaimant} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const roundMs = 150;

/** An evacuation lapses unless it is requested again within this time. */
const evacuationTtlMs = 1500;

const createIds = (count: number): readonly string[] =>
	Array.from({length: count}, (_, index) => `m${index}`);

const createWave = (
	id: string,
	machines: readonly string[],
	changes: Partial<WaveRequest> = {},
): WaveRequest => ({
	id,
	machines,
	durationMs: 60_000,
	maxAway: 30,
	...changes,
});

const createWorld = (platform: FleetPlatform) => {
	const claims = createMachineClaims(platform.now);
	const runner = createMachineWaveRunner(
		platform.context,
		platform.status,
		claims,
	);
	return {
		claims,
		runner,
		async begin(waves: readonly WaveRequest[]) {
			for (const wave of waves) {
				platform.requestWave(wave);
			}

			await runner.acceptRequests(waves);
		},
		async advance(rounds: number, afterRound: () => void = () => undefined) {
			for (let round = 0; round < rounds; round += 1) {
				await runner.runRound(platform.getView());
				afterRound();
				platform.advance(roundMs);
			}
		},
	};
};

/** Counts machines that are up and that nobody has asked for lately. */
const countServing = (platform: FleetPlatform, ids: readonly string[]) =>
	ids.filter((id) => {
		const last = platform.evacuations.get(id)?.at(-1);
		const isAsked =
			last !== undefined && platform.now() - last < evacuationTtlMs;
		return platform.getMachine(id)?.state === 'up' && !isAsked;
	}).length;

type Case = {
	readonly name: string;
	readonly count: number;
	/** Indexes of the machines of each wave. */
	readonly waves: ReadonlyArray<readonly number[]>;
	readonly maxAway?: number;
	readonly waitingCpu: number;
	/** Machines that are emptied for moves. */
	readonly leaving?: readonly string[];
	readonly isBusy?: boolean;
	/** Machines that serve at any time, at least. */
	readonly serving: number;
};

const cases: readonly Case[] = [
	{
		name: 'a wave of a pool whose queues need all of it',
		count: 6,
		waves: [[0, 1, 2, 3, 4, 5]],
		waitingCpu: 100_000,
		serving: 3,
	},
	{
		name: 'a wave of a pool whose queues need a third of it',
		count: 6,
		waves: [[0, 1, 2, 3, 4, 5]],
		waitingCpu: 2000,
		serving: 2,
	},
	{
		name: 'a wave of a pool without work',
		count: 6,
		waves: [[0, 1, 2, 3, 4, 5]],
		waitingCpu: 0,
		serving: 1,
	},
	{
		name: 'two waves that share a pool',
		count: 6,
		waves: [
			[0, 1, 2],
			[3, 4, 5],
		],
		waitingCpu: 100_000,
		serving: 3,
	},
	{
		name: 'a wave beside moves out of the same pool',
		count: 6,
		waves: [[2, 3, 4, 5]],
		waitingCpu: 100_000,
		leaving: ['m0', 'm1'],
		serving: 3,
	},
	{
		name: 'a wave of a pool of two',
		count: 2,
		waves: [[0, 1]],
		waitingCpu: 100_000,
		serving: 1,
	},
	{
		name: 'a wave of a pool of two, with runs on both',
		count: 2,
		waves: [[0, 1]],
		waitingCpu: 100_000,
		isBusy: true,
		serving: 1,
	},
];

for (const each of cases) {
	tap.t.test(`a service keeps machines that serve: ${each.name}`, async (t) => {
		const ids = createIds(each.count);
		const platform = createFleetPlatform(ids);
		const world = createWorld(platform);
		const leaving = each.leaving ?? [];
		world.claims.setLeaving(leaving);
		platform.setLoad({waitingCpu: each.waitingCpu});
		for (const id of each.isBusy ? ids : []) {
			platform.setBusy(id, true);
		}

		const waves = each.waves.map((indexes, number) =>
			createWave(
				String(number),
				indexes.map((index) => ids[index]!),
			),
		);
		await world.begin(waves);
		let serving = each.count;
		await world.advance(300, () => {
			const now = countServing(
				platform,
				ids.filter((id) => !leaving.includes(id)),
			);
			serving = Math.min(serving, now);
			// What runs on a machine ends once it is asked for.
			for (const id of platform.evacuations.keys()) {
				platform.setBusy(id, false);
			}
		});
		t.ok(serving >= each.serving, `${serving} machines serve at least`);
		t.equal(platform.completed.size, waves.length, 'each wave is completed');
		t.same(platform.violations, []);
	});
}

tap.t.test(
	'a machine that its service needs does not hold up the others',
	async (t) => {
		const platform = createFleetPlatform(createIds(4));
		const world = createWorld(platform);
		platform.setNeeded('m0', true);
		await world.begin([createWave('1', ['m0', 'm1', 'm2'], {maxAway: 1})]);
		await world.advance(60);
		t.same(
			platform.commands.map(({machine}) => machine),
			['m1', 'm2'],
		);
		t.notOk(world.runner.isReserved('m0'), 'it is in use');
		platform.setNeeded('m0', false);
		await world.advance(30);
		t.ok(platform.completed.has('1'), 'its turn comes');
	},
);

tap.t.test(
	'a machine is not emptied before the turnover time is over',
	async (t) => {
		const platform = createFleetPlatform(createIds(4));
		const world = createWorld(platform);
		platform.setTurnover('m0', 3000);
		await world.begin([createWave('1', ['m0'])]);
		await world.advance(60);
		const [first] = platform.evacuations.get('m0') ?? [];
		t.ok(first !== undefined && first >= 3000, `asked at ${first} ms`);
		t.ok(platform.completed.has('1'));
	},
);

tap.t.test(
	'machines that can not be commanded are released, and those commanded are not',
	async (t) => {
		const platform = createFleetPlatform(createIds(6));
		const world = createWorld(platform);
		platform.failNext('m0', {answer: 'no-answer'});
		platform.setBusy('m1', true);
		await world.begin([
			createWave('1', ['m0', 'm1'], {durationMs: 3000, maxAway: 2}),
		]);
		await world.advance(1);
		t.ok(world.runner.isReserved('m1'));
		world.runner.releaseHolds();
		t.same(platform.released, ['m1']);
		t.notOk(world.runner.isReserved('m1'));
		t.ok(world.runner.isReserved('m0'), 'its command may yet be carried out');
	},
);

tap.t.test('a machine that moves does not count as returning', async (t) => {
	const platform = createFleetPlatform(createIds(2));
	const world = createWorld(platform);
	world.claims.claim('m0', moveClaimant);
	platform.setLoad({waitingCpu: 100_000});
	await world.begin([createWave('1', ['m1'], {durationMs: 10_000})]);
	await world.advance(20);
	t.notOk(platform.evacuations.has('m1'), 'the last one serves');
	await world.advance(60);
	t.ok(platform.evacuations.has('m1'), 'unless the wave is late otherwise');
});
