/** The table of fault pairs, each on a world of its own. */
import {setTimeout as wait} from 'node:timers/promises';
import type {Load} from './callers.js';
import {killEntry, startEntry, stopEntry} from './entries.js';
import {runContractChanges, runMoves, startWave} from './operators.js';
import {now} from './recorder.js';
import {setListedState, type TestEnvironment} from './test-environment.js';

/** Two faults that come together; times in milliseconds. */
export type FaultPair = {
	readonly name: string;
	/** Operators that race for the contract. */
	readonly operators: number;
	readonly run: (
		world: TestEnvironment,
		load: Load,
		lengthMs: number,
	) => Promise<void>;
};

/** Longer than a lease. */
const pausedMs = 6500;

const outageDuringWave = async (
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await startWave(world, load, 'quote');
	await wait(0.15 * lengthMs);
	world.faults.set({isDown: true});
	await wait(0.25 * lengthMs);
	world.faults.set({isDown: false});
	await wait(0.5 * lengthMs);
};

const loseZone = (world: TestEnvironment, availabilityZone: string) => {
	const lost = world.executors.filter(
		(each) => each.availabilityZone === availabilityZone,
	);
	for (const executor of lost) {
		const {id: instance} = executor;
		world.recorder.losses.push({at: now(), instance, isLost: true});
		setListedState(world, executor, 'leaving');
		executor.stop(false);
	}

	return async () => {
		for (const executor of lost) {
			const {id: instance} = executor;
			await executor.listen();
			world.recorder.losses.push({at: now(), instance, isLost: false});
			setListedState(world, executor, 'live');
		}
	};
};

const silenceDuringLoss = async (
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await wait(0.1 * lengthMs);
	for (const executor of world.executors) {
		if (executor.availabilityZone === 'zone-1') {
			executor.silence();
		}
	}

	const bringBack = loseZone(world, 'zone-0');
	await wait(0.1 * lengthMs);
	await startWave(world, load, 'claims');
	await wait(0.3 * lengthMs);
	await bringBack();
	await wait(0.4 * lengthMs);
};

const replaceDuringChange = async (
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	const moves = runMoves(world, load);
	for (const slot of [2, 0]) {
		await wait(0.15 * lengthMs);
		const id = world.slots[slot]?.id ?? `e${slot + 1}`;
		await stopEntry(world, slot);
		await startEntry(world, slot, id);
	}

	await wait(0.5 * lengthMs);
	load.isStopped = true;
	await moves;
};

/** What an entry has decided reaches the store after its lease is over. */
const pauseWrites = ({slots}: TestEnvironment, slot: number) => {
	const entry = slots[slot];
	if (entry) {
		entry.storeLink.heldUntil = now() + pausedMs;
	}
};

const loseReplies = async (
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	world.faults.set({replyLostShare: 0.05, requestLostShare: 0.02});
	const moves = runMoves(world, load);
	const wave = startWave(world, load, 'quote');
	await wait(0.2 * lengthMs);
	for (const slot of [0, 1]) {
		pauseWrites(world, slot);
		await wait(0.25 * lengthMs);
	}

	world.faults.set({replyLostShare: 0, requestLostShare: 0});
	await wait(0.2 * lengthMs);
	load.isStopped = true;
	await Promise.all([moves, wave]);
};

const killDuringClaims = async (
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await startWave(world, load, 'claims');
	await wait(0.3 * lengthMs);
	await killEntry(world, 1);
	await wait(0.2 * lengthMs);
	await startEntry(world, 1, 'e4');
	await wait(0.4 * lengthMs);
};

/** All pairs; their load and their judges are the same. */
export const faultPairs: readonly FaultPair[] = [
	{
		name: 'store outage during a wave',
		operators: 1,
		run: outageDuringWave,
	},
	{
		name: 'silent connections while a zone is lost',
		operators: 1,
		run: silenceDuringLoss,
	},
	{
		name: 'entry replaced during contract changes',
		operators: 2,
		run: replaceDuringChange,
	},
	{
		name: 'lost replies while operators race, one entry paused',
		operators: 3,
		run: loseReplies,
	},
	{
		name: 'entry killed while claims are repeated',
		operators: 1,
		run: killDuringClaims,
	},
];

/** Runs one pair with its operators until the time is over. */
export const runFaultPair = async (
	pair: FaultPair,
	world: TestEnvironment,
	load: Load,
	lengthMs: number,
): Promise<void> => {
	const operators = Array.from({length: pair.operators}, async () =>
		runContractChanges(world, load),
	);
	await pair.run(world, load, lengthMs);
	load.isStopped = true;
	await Promise.all(operators);
};
