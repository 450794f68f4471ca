/** Simulation of entries, callers and an executor on a virtual clock. */
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

/** Time from a kill to the entry's next incarnation, in milliseconds. */
const restartMs = 200;
/** Time a caller waits beyond its deadline, in milliseconds. */
const graceMs = 500;
const maxAttempts = 10_000;
/** Maximum skew of an entry's clock in either direction, in milliseconds. */
const maxSkewMs = 4000;
/** Unix time at the start, in milliseconds; keeps skewed clocks above 0. */
const startDate = 1_000_000_000;

/** Options of a simulation. */
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

/** A simulation of entries and callers. */
export type Simulation = {
	readonly clock: standIn.VirtualClock;
	readonly counts: steps.StepCounts;
	readonly log: readonly Run[];
	readonly results: readonly SendResult[];
	/** Times from the arrival of a request to its dispatch. */
	readonly dispatchDelaysMs: readonly number[];
	/** Schedules a sending; resolves with the caller's result. */
	readonly send: (sending: Sending) => Promise<SendResult>;
	/** Number of attempts that are open on live entries. */
	readonly getOpenCount: () => number;
	/** Number of transactions sent by all incarnations. */
	readonly getCommitCount: () => number;
};

/** A reply and the time at which the entry gave it. */
type TimedReply = {
	readonly reply: core.idempotency.Reply;
	readonly decidedAt: number;
};

type Entry = {
	entryProcess: EntryProcess;
	keeper: daemon.idempotency.RequestDeduplicator;
};

const readReply = (
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

/** Creates a simulation at time 0. */
export const createSimulation = (options: SimulationOptions): Simulation => {
	const {plan, random, variant} = options;
	const clock = standIn.createVirtualClock();
	const tables = platform.createMemoryTableService();
	const objects = platform.createMemoryObjectStore();
	const counts: steps.StepCounts = {steps: 0, calls: 0};
	const log: Run[] = [];
	const results: SendResult[] = [];
	const dispatchDelaysMs: number[] = [];
	const entries: Entry[] = [];
	const keepers: daemon.idempotency.RequestDeduplicator[] = [];
	let ids = 0;

	const context: StepContext = {
		clock,
		plan,
		counts,
		onKill(entryProcess) {
			clock.callAt(clock.getNow() + restartMs, () => {
				entries[entryProcess.entry] = startEntry(entryProcess.entry);
			});
		},
	};

	const skewsMs = Array.from(
		{length: options.entries},
		() => startDate + (random() * 2 - 1) * maxSkewMs,
	);

	const startEntry = (entry: number): Entry => {
		const entryProcess: EntryProcess = {
			entry,
			incarnation: `life-${++ids}`,
			isAlive: true,
		};
		const faultyTables = steps.createFaultyTables(
			context,
			entryProcess,
			tables,
		);
		const keeper = daemon.idempotency.createRequestDeduplicator({
			tables: variant.wrapTables(faultyTables),
			objects: steps.createFaultyObjects(context, entryProcess, objects),
			clock: {
				getTime: () => ({
					now: clock.getNow(),
					date: clock.getNow() + (skewsMs[entry] ?? 0),
				}),
				callAt: (at, callback) =>
					clock.callAt(at, () => {
						if (entryProcess.isAlive) {
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
			incarnation: entryProcess.incarnation,
		});
		keepers.push(keeper);
		return {entryProcess, keeper};
	};

	const handleSending = async (
		sending: Sending,
		id: number,
	): Promise<TimedReply> => {
		const entry = entries[sending.entry];
		if (!entry?.entryProcess.isAlive) {
			return steps.waitForever();
		}

		const {entryProcess, keeper} = entry;
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
				return variant.wrapResult(
					await dispatchJob(context, entryProcess, log, job),
				);
			},
		});
		const decidedAt = clock.getNow();
		await steps.passStep(context, entryProcess);
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

		const timedReply = await Promise.race([
			handleSending(sending, id),
			noReply(),
		]);
		const at = clock.getNow();
		const decidedAt = timedReply?.decidedAt ?? at;
		const tookMs = at - sending.at;
		const result = {
			sending: id,
			key,
			body,
			decidedAt,
			at,
			tookMs,
			...readReply(timedReply?.reply),
		};
		results.push(result);
		return result;
	};

	for (let entry = 0; entry < options.entries; entry++) {
		entries.push(startEntry(entry));
	}

	return {
		clock,
		counts,
		log,
		results,
		dispatchDelaysMs,
		send,
		getOpenCount: () =>
			entries
				.filter(({entryProcess}) => entryProcess.isAlive)
				.reduce((sum, {keeper}) => sum + keeper.getOpenCount(), 0),
		getCommitCount: () =>
			keepers.reduce((sum, keeper) => sum + keeper.getCommitCount(), 0),
	};
};
