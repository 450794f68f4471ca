/** Entries, callers and an executor over one store, on a virtual clock. */
import {Buffer} from 'node:buffer';
import * as core from '@gullstand/core';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import * as standIn from '@gullstand/stand-in';
import type {Random} from '../../frame/random.js';
import {type ExecutorKind, type Run, dispatchJob} from './executor.js';
import type {SendResult} from './log-checker.js';
import type {EntryProcess, Plan, StepContext} from './steps.js';
import * as steps from './steps.js';
import type {Variant} from './variants.js';

/** Time from a kill to the entry's next life, in milliseconds. */
const restartMs = 200;
/** Wait of a caller beyond its deadline, in milliseconds. */
const graceMs = 500;
const maxAttempts = 10_000;
/** Clocks of entries differ by up to twice this, in milliseconds. */
const maxSkewMs = 4000;
/** Unix time at the start; entries' clocks never go below 0. */
const startDate = 1_000_000_000;

/** What a run is made of. */
export type SimulationOptions = {
	readonly entries: number;
	readonly plan: Plan;
	readonly random: Random;
	readonly variant: Variant;
	readonly settings?: core.idempotency.Settings;
	readonly groupSettings?: daemon.idempotency.GroupSettings;
};

/** One sending of a request to one entry. */
export type Sending = {
	readonly key: string;
	readonly body: string;
	readonly entry: number;
	readonly at: number;
	readonly deadlineMs: number;
	readonly executor: ExecutorKind;
};

/** A run of entries and callers. */
export type Simulation = {
	readonly clock: standIn.VirtualClock;
	readonly counts: steps.StepCounts;
	readonly log: readonly Run[];
	readonly results: readonly SendResult[];
	/** Times from the arrival of a request to its dispatch. */
	readonly dispatchDelaysMs: readonly number[];
	/** Plans a sending; the promise ends with what the caller was told. */
	readonly send: (sending: Sending) => Promise<SendResult>;
	/** Attempts that are open on entries that live. */
	readonly getOpenCount: () => number;
	/** Transactions sent by all lives. */
	readonly getCommitCount: () => number;
};

/** A reply, and when the entry gave it. */
type Given = {
	readonly reply: core.idempotency.Reply;
	readonly decidedAt: number;
};

type Entry = {life: EntryProcess; keeper: daemon.idempotency.Keeper};

const readTold = (
	reply: core.idempotency.Reply | undefined,
): Pick<SendResult, 'outcome' | 'error' | 'answer'> => {
	if (reply === undefined) {
		return {outcome: 'none', error: undefined, answer: undefined};
	}

	if (reply.kind === 'error') {
		const {outcome, error} = reply;
		return {outcome, error, answer: undefined};
	}

	const answer = Buffer.from(reply.answer.body).toString();
	return {outcome: 'ran', error: undefined, answer};
};

/** Makes a world at time 0. */
export const createSimulation = (options: SimulationOptions): Simulation => {
	const {plan, random, variant} = options;
	const clock = standIn.createVirtualClock();
	const tables = platform.createMemoryTableService();
	const objects = platform.createMemoryObjectStore();
	const counts: steps.StepCounts = {steps: 0, calls: 0};
	const log: Run[] = [];
	const told: SendResult[] = [];
	const dispatchDelaysMs: number[] = [];
	const entries: Entry[] = [];
	const keepers: daemon.idempotency.Keeper[] = [];
	let ids = 0;

	const context: StepContext = {
		clock,
		plan,
		counts,
		onKill(life) {
			clock.callAt(clock.getNow() + restartMs, () => {
				entries[life.entry] = startEntry(life.entry);
			});
		},
	};

	const skewsMs = Array.from(
		{length: options.entries},
		() => startDate + (random() * 2 - 1) * maxSkewMs,
	);

	const startEntry = (entry: number): Entry => {
		const life: EntryProcess = {
			entry,
			incarnation: `life-${++ids}`,
			isAlive: true,
		};
		const lifeTables = steps.createFaultyTables(context, life, tables);
		const keeper = daemon.idempotency.createKeeper({
			tables: variant.wrapTables(lifeTables),
			objects: steps.createFaultyObjects(context, life, objects),
			clock: {
				getTime: () => ({
					now: clock.getNow(),
					date: clock.getNow() + (skewsMs[entry] ?? 0),
				}),
				callAt: (at, callback) =>
					clock.callAt(at, () => {
						if (life.isAlive) {
							callback();
						}
					}),
			},
			randomness: {createId: () => `op-${++ids}`, draw: random},
			settings: options.settings ?? core.idempotency.defaultSettings,
			groupSettings:
				options.groupSettings ?? daemon.idempotency.defaultGroupSettings,
			maxAttempts,
			entry: `entry-${entry}`,
			incarnation: life.incarnation,
		});
		keepers.push(keeper);
		return {life, keeper};
	};

	const ask = async (sending: Sending, id: number): Promise<Given> => {
		const entry = entries[sending.entry];
		if (!entry?.life.isAlive) {
			return steps.waitForever();
		}

		const {life, keeper} = entry;
		const arrivedAt = clock.getNow();
		const reply = await keeper.handle({
			customer: 'broker',
			key: sending.key,
			service: 'claims',
			method: 'POST',
			path: '/claims',
			bodyHash: sending.body,
			deadline: arrivedAt + sending.deadlineMs,
			async dispatch(dispatchBy) {
				dispatchDelaysMs.push(clock.getNow() - arrivedAt);
				const {key, executor: kind} = sending;
				const job = {key, sending: id, kind, dispatchBy};
				return variant.wrapResult(await dispatchJob(context, life, log, job));
			},
		});
		const decidedAt = clock.getNow();
		await steps.passStep(context, life);
		return {reply, decidedAt};
	};

	const send = async (sending: Sending): Promise<SendResult> => {
		const id = ++ids;
		const {key, body} = sending;
		await clock.wait(sending.at - clock.getNow());
		const noReply = async () => {
			await clock.wait(sending.deadlineMs + graceMs);
			return undefined;
		};

		const given = await Promise.race([ask(sending, id), noReply()]);
		const at = clock.getNow();
		const decidedAt = given?.decidedAt ?? at;
		const tookMs = at - sending.at;
		const result = {
			sending: id,
			key,
			body,
			decidedAt,
			at,
			tookMs,
			...readTold(given?.reply),
		};
		told.push(result);
		return result;
	};

	for (let entry = 0; entry < options.entries; entry++) {
		entries.push(startEntry(entry));
	}

	return {
		clock,
		counts,
		log,
		results: told,
		dispatchDelaysMs,
		send,
		getOpenCount: () =>
			entries
				.filter(({life}) => life.isAlive)
				.reduce((sum, {keeper}) => sum + keeper.getOpenCount(), 0),
		getCommitCount: () =>
			keepers.reduce((sum, keeper) => sum + keeper.getCommitCount(), 0),
	};
};
