/** Guards against waves that complete without the maintenance of a machine. */
import type {WaveRequest} from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard} from '../rows/tables.js';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const roundMs = 150;
const maxRounds = 200;

type Case = {
	readonly name: string;
	/** Requested waves; by default one of all machines, one away at once. */
	readonly waves?: readonly WaveRequest[];
	/** Row of a wave that another holder has stored. */
	readonly storedRow?: unknown;
	/** Round after which another holder takes over. */
	readonly takeoverRound?: number;
	readonly prepare?: (platform: FleetPlatform) => void;
	/** What happens, by time in milliseconds. */
	readonly events: ReadonlyArray<
		readonly [at: number, run: (platform: FleetPlatform) => void]
	>;
};

const ids = ['a', 'b'];

const createRequest = (id: string, machines: readonly string[] = ids) => ({
	id,
	machines,
	durationMs: 30_000,
	maxAway: 1,
});

const lose = (platform: FleetPlatform) => {
	platform.failNext('a', {answer: 'no-answer'});
};

const createOldRow = (isAnswered: boolean, isBack: boolean) => ({
	request: createRequest('1'),
	seenAtEpochMs: 0,
	begun: {
		a: {
			executorId: 'e-0',
			begunAtEpochMs: 0,
			isAnswered,
			wasInMaintenance: false,
			isBack,
		},
	},
	isCompleted: false,
});

const cases: readonly Case[] = [
	{
		name: 'the executor of a command without an answer crashes',
		prepare: lose,
		events: [
			[
				0,
				(platform) => {
					platform.crash('a');
				},
			],
		],
	},
	{
		name: 'the machine of a command without an answer moves',
		prepare: lose,
		events: [
			[
				0,
				(platform) => {
					platform.move('a', 't');
				},
			],
		],
	},
	{
		name: 'another wave maintains the machine of a command without an answer',
		waves: [createRequest('1', ['a']), createRequest('2', ['a'])],
		prepare(platform) {
			platform.failNext('a', {answer: 'done', carriedOutAfterMs: 0});
			platform.failNext('a', {answer: 'no-answer'});
		},
		events: [],
	},
	{
		name: 'the list leaves out the machine of a command without an answer',
		prepare: lose,
		events: [
			[
				0,
				(platform) => {
					platform.setListed('a', false);
				},
			],
			[
				150,
				(platform) => {
					platform.setListed('a', true);
				},
			],
		],
	},
	{
		name: 'the list leaves out a machine that is not begun',
		events: [
			[
				1500,
				(platform) => {
					platform.setListed('b', false);
				},
			],
			[
				4000,
				(platform) => {
					platform.setListed('b', true);
				},
			],
		],
	},
	{
		name: 'the list leaves out a machine for long',
		events: [
			[
				0,
				(platform) => {
					platform.setListed('b', false);
				},
			],
			[
				12_000,
				(platform) => {
					platform.setListed('b', true);
				},
			],
		],
	},
	{
		name: 'another holder finds a command without an answer after a crash',
		prepare: lose,
		takeoverRound: 0,
		events: [
			[
				0,
				(platform) => {
					platform.crash('a');
				},
			],
		],
	},
	{
		name: 'another holder finds a command that was never sent',
		storedRow: createOldRow(false, false),
		prepare(platform) {
			platform.crash('a');
		},
		events: [],
	},
	{
		name: 'a row of the older format has a machine back without an answer',
		storedRow: createOldRow(false, true),
		events: [],
	},
	{
		name: 'a repeat is refused while the first may still be carried out',
		prepare(platform) {
			platform.failNext('a', {answer: 'no-answer', carriedOutAfterMs: 400});
			platform.failNext('a', {answer: 'busy'});
		},
		events: [
			[
				0,
				(platform) => {
					platform.setBusy('a', true);
				},
			],
			[
				300,
				(platform) => {
					platform.setBusy('a', false);
				},
			],
		],
	},
	{
		name: 'the platform does not know a machine that it lists',
		prepare(platform) {
			platform.failNext('a', {answer: 'invalid'});
		},
		events: [],
	},
	{
		name: 'the platform does not know yet that a machine is in the wave',
		prepare(platform) {
			for (let answers = 0; answers < 5; answers++) {
				platform.failNext('a', {answer: 'not-in-wave'});
			}
		},
		events: [],
	},
	{
		name: 'tasks start on the machine of a command without an answer',
		prepare: lose,
		events: [
			[
				0,
				(platform) => {
					platform.setBusy('a', true);
				},
			],
			[
				1500,
				(platform) => {
					platform.setBusy('a', false);
				},
			],
		],
	},
	{
		name: 'a machine is removed',
		prepare: lose,
		events: [
			[
				300,
				(platform) => {
					platform.remove('a');
					platform.remove('b');
				},
			],
		],
	},
];

const storeRow = async ({store}: FleetPlatform, row: unknown) =>
	store.transact(
		{
			checks: [],
			puts: [
				{
					table: 'wave',
					part: fleetShard,
					key: '1',
					value: JSON.stringify(row),
				},
			],
			removes: [],
		},
		100,
	);

const runCase = async (each: Case) => {
	const waves = each.waves ?? [createRequest('1')];
	const platform = createFleetPlatform(ids);
	for (const wave of waves) {
		platform.requestWave(wave);
	}

	if (each.storedRow) {
		await storeRow(platform, each.storedRow);
	}

	each.prepare?.(platform);
	const open = async () => {
		const runner = createMachineWaveRunner(
			platform.context,
			platform.status,
			createMachineClaims(platform.now),
		);
		await runner.load();
		return runner;
	};

	let runner = await open();
	await runner.acceptRequests(waves);
	for (let round = 0; round < maxRounds; round++) {
		await runner.runRound(platform.getView());
		for (const [at, run] of each.events) {
			if (Math.ceil(at / roundMs) === round) {
				run(platform);
			}
		}

		if (each.takeoverRound === round) {
			runner = await open();
		}

		platform.advance(roundMs);
	}

	return {platform, waves};
};

for (const each of cases) {
	tap.t.test(each.name, async (t) => {
		const {platform, waves} = await runCase(each);
		t.same(platform.violations, []);
		t.same(
			[...platform.completed].toSorted(),
			waves.map(({id}) => id),
		);
	});
}
