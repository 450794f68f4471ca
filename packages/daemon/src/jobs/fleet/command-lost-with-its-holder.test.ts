/** Guards against rows that a holder stored before a command it never sent. */
import * as tap from 'tap';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import type {FleetContext} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const roundMs = 150;
const maxRounds = 200;

type Case = {
	readonly name: string;
	/** How the first holder is lost: before it sends, or after a refusal. */
	readonly loss: 'before-send' | 'after-refusal';
	/** What happens between the two holders. */
	readonly between?: (platform: FleetPlatform) => void;
	/** Expected commands of the second holder. */
	readonly commands: number;
};

const cases: readonly Case[] = [
	{
		name: 'tasks that started since end before the command',
		loss: 'before-send',
		between(platform) {
			platform.setBusy('a', true);
		},
		commands: 1,
	},
	{
		name: 'a crash since is no maintenance',
		loss: 'before-send',
		between(platform) {
			platform.crash('a');
		},
		commands: 1,
	},
	{
		name: 'a refused command is sent again after a crash',
		loss: 'after-refusal',
		between(platform) {
			platform.crash('a');
		},
		commands: 1,
	},
	{
		name: 'a refused command is sent again to an empty machine only',
		loss: 'after-refusal',
		between(platform) {
			platform.setBusy('a', true);
		},
		commands: 1,
	},
];

const request = {id: '1', machines: ['a'], durationMs: 30_000, maxAway: 1};

const open = async (platform: FleetPlatform, context: FleetContext) => {
	const runner = createMachineWaveRunner(
		context,
		platform.status,
		createMachineClaims(platform.now),
	);
	await runner.load();
	return runner;
};

/** Runs the holder that is lost right after its row is stored. */
const runLostHolder = async (platform: FleetPlatform, loss: Case['loss']) => {
	let writes = 0;
	const first = await open(platform, {
		...platform.context,
		store: {
			...platform.context.store,
			async transact(...args) {
				writes += 1;
				// The request and the record of the command; nothing after these.
				return writes <= 2
					? platform.context.store.transact(...args)
					: {ok: false, error: {kind: 'timeout'}};
			},
		},
		commandLog: {
			...platform.context.commandLog,
			record: async () => loss === 'after-refusal',
		},
	});
	if (loss === 'after-refusal') {
		platform.failNext('a', {answer: 'busy'});
	}

	await first.acceptRequests([request]);
	await first.runRound(platform.getView());
	platform.advance(roundMs);
};

for (const {name, loss, between, commands} of cases) {
	tap.t.test(`a holder lost ${loss}: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a']);
		platform.requestWave(request);
		await runLostHolder(platform, loss);
		const sent = platform.commands.length;
		t.equal(sent, loss === 'before-send' ? 0 : 1);
		between?.(platform);
		const second = await open(platform, platform.context);
		for (let round = 0; round < maxRounds; round++) {
			await second.runRound(platform.getView());
			if (round === 10) {
				platform.setBusy('a', false);
			}

			platform.advance(roundMs);
		}

		t.same(platform.violations, []);
		t.ok(platform.completed.has('1'));
		t.equal(platform.commands.length - sent, commands);
	});
}
