/** Pairs of faults; each pair runs in its own test environment. */
import {setTimeout as wait} from 'node:timers/promises';
import type {Load} from './callers.js';
import {killEntry, startEntry, stopEntry} from './entries.js';
import {runContractChanges, runMoves, startWave} from './operators.js';
import {now} from './recorder.js';
import {setListedState, type TestEnvironment} from './test-environment.js';

/** Two faults that occur together; times in milliseconds. */
export type FaultPair = {
	readonly name: string;
	/** Number of operators that change the contract concurrently. */
	readonly operators: number;
	readonly run: (
		environment: TestEnvironment,
		load: Load,
		lengthMs: number,
	) => Promise<void>;
};

/** Pause of an entry, longer than a lease. */
const pausedMs = 6500;

const outageDuringWave = async (
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await startWave(environment, load, 'quote');
	await wait(0.15 * lengthMs);
	environment.faults.set({isDown: true});
	await wait(0.25 * lengthMs);
	environment.faults.set({isDown: false});
	await wait(0.5 * lengthMs);
};

const loseZone = (environment: TestEnvironment, availabilityZone: string) => {
	const lost = environment.executors.filter(
		(each) => each.availabilityZone === availabilityZone,
	);
	for (const executor of lost) {
		const {id: instance} = executor;
		environment.recorder.losses.push({at: now(), instance, isLost: true});
		setListedState(environment, executor, 'leaving');
		executor.stop(false);
	}

	return async () => {
		for (const executor of lost) {
			const {id: instance} = executor;
			await executor.listen();
			environment.recorder.losses.push({at: now(), instance, isLost: false});
			setListedState(environment, executor, 'live');
		}
	};
};

const hangDuringLoss = async (
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await wait(0.1 * lengthMs);
	for (const executor of environment.executors) {
		if (executor.availabilityZone === 'zone-1') {
			executor.silence();
		}
	}

	const restoreZone = loseZone(environment, 'zone-0');
	await wait(0.1 * lengthMs);
	await startWave(environment, load, 'claims');
	await wait(0.3 * lengthMs);
	await restoreZone();
	await wait(0.4 * lengthMs);
};

const replaceDuringChange = async (
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	const moves = runMoves(environment, load);
	for (const slot of [2, 0]) {
		await wait(0.15 * lengthMs);
		const id = environment.slots[slot]?.id ?? `e${slot + 1}`;
		await stopEntry(environment, slot);
		await startEntry(environment, slot, id);
	}

	await wait(0.5 * lengthMs);
	load.isStopped = true;
	await moves;
};

/** Delays the calls of an entry to the store until its lease has expired. */
const pauseWrites = ({slots}: TestEnvironment, slot: number) => {
	const entry = slots[slot];
	if (entry) {
		entry.storeLink.heldUntil = now() + pausedMs;
	}
};

const loseReplies = async (
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	environment.faults.set({replyLostShare: 0.05, requestLostShare: 0.02});
	const moves = runMoves(environment, load);
	const wave = startWave(environment, load, 'quote');
	await wait(0.2 * lengthMs);
	for (const slot of [0, 1]) {
		pauseWrites(environment, slot);
		await wait(0.25 * lengthMs);
	}

	environment.faults.set({replyLostShare: 0, requestLostShare: 0});
	await wait(0.2 * lengthMs);
	load.isStopped = true;
	await Promise.all([moves, wave]);
};

const killDuringClaims = async (
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
) => {
	await startWave(environment, load, 'claims');
	await wait(0.3 * lengthMs);
	await killEntry(environment, 1);
	await wait(0.2 * lengthMs);
	await startEntry(environment, 1, 'e4');
	await wait(0.4 * lengthMs);
};

/** All pairs; they share the load and the checkers. */
export const faultPairs: readonly FaultPair[] = [
	{
		name: 'store outage during a wave',
		operators: 1,
		run: outageDuringWave,
	},
	{
		name: 'silent connections while a zone is lost',
		operators: 1,
		run: hangDuringLoss,
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

/** Runs one pair with its operators. */
export const runFaultPair = async (
	pair: FaultPair,
	environment: TestEnvironment,
	load: Load,
	lengthMs: number,
): Promise<void> => {
	const operators = Array.from({length: pair.operators}, async () =>
		runContractChanges(environment, load),
	);
	await pair.run(environment, load, lengthMs);
	load.isStopped = true;
	await Promise.all(operators);
};
