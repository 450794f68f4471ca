/** Guards against a write that takes effect late and undoes a later one. */
import type {RowStore} from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard} from '../rows/tables.js';
import {createCommandLog} from './command-log.js';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

/** Holds back the first write of a key, which has no answer. */
const delayFirstWrite = (store: RowStore, key: string) => {
	const delayed: Array<() => Promise<unknown>> = [];
	return {
		store: {
			...store,
			async transact(...args: Parameters<RowStore['transact']>) {
				const isDelayed =
					delayed.length === 0 && args[0].puts.some((put) => put.key === key);
				if (!isDelayed) {
					return store.transact(...args);
				}

				delayed.push(async () => store.transact(...args));
				return {ok: false, error: {kind: 'timeout'}} as const;
			},
		},
		async carryOut() {
			for (const run of delayed) {
				await run();
			}
		},
	};
};

tap.t.test('a wave row does not lose a command', async (t) => {
	const platform = createFleetPlatform(['a', 'b']);
	const {context} = platform;
	const request = {
		id: '1',
		machines: ['a', 'b'],
		durationMs: 30_000,
		maxAway: 1,
	};
	platform.requestWave(request);
	const late = delayFirstWrite(context.store, request.id);
	const open = async (store: RowStore) => {
		const runner = createMachineWaveRunner(
			{...context, store},
			platform.status,
			createMachineClaims(platform.now),
		);
		await runner.load();
		await runner.acceptRequests([request]);
		return runner;
	};

	const first = await open(late.store);
	await first.acceptRequests([request]);
	await first.runRound(platform.getView());
	t.equal(platform.commands.length, 1);
	await late.carryOut();
	const second = await open(context.store);
	for (let round = 0; round < 5; round++) {
		platform.advance(150);
		await second.runRound(platform.getView());
	}

	t.same(platform.violations, []);
});

tap.t.test('the command log does not lose a machine', async (t) => {
	const {context} = createFleetPlatform([]);
	const late = delayFirstWrite(context.store, 'orders');
	const open = async (store: RowStore) => {
		const log = createCommandLog({
			store,
			held: {...context.held, shard: fleetShard},
			clock: {now: () => 0, epochNow: () => 0},
			getStoreTime: () => undefined,
			turnoverMs: 3000,
			logger: context.logger,
			onLost: () => undefined,
		});
		await log.load();
		return log;
	};

	const first = await open(late.store);
	t.notOk(await first.record(['a']));
	t.ok(await first.record(['b']));
	await late.carryOut();
	const second = await open(context.store);
	t.notOk(second.mayCommand('b'));
});
