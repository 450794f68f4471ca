/** Credits granted by the credit coordinator of each pool, as in the daemon. */
import * as core from '@gullstand/core';
import type {CreditEnvelope, CreditMessage, PoolLimits} from '@gullstand/core';
import type {EntryQueue} from './queues.js';
import * as queues from './queues.js';
import * as settings from './settings.js';
import type {Strategy} from './simple-strategies.js';
import type {Request, Simulation} from './simulation.js';
import * as simulations from './simulation.js';

type Entry = {
	readonly name: string;
	readonly limits: PoolLimits[];
	readonly queues: EntryQueue[];
	readonly heardAt: core.unresponsiveMembers.LastContactAt;
	readonly flushAtMs: number[];
	readonly connections: Map<string, number>;
	listed: readonly string[];
	ended: ReadonlySet<string>;
	silent: ReadonlySet<string>;
};

/** Minimum time between two reports of one pool. */
const reportGapMs = 0;

const getDeadlines = (waiting: readonly Request[]) =>
	waiting.map((request) => request.deadlineMs);

/** Creates the credit strategy with the given settings. */
export const createCreditStrategy =
	(creditSettings: core.CreditSettings) =>
	(simulation: Simulation): Strategy => {
		const entries = new Map<string, Entry>();

		const deliver = (
			from: Entry,
			to: string,
			envelopes: ReadonlyArray<{pool: number; message: CreditMessage}>,
		) => {
			simulations.send(simulation, to, () => {
				const entry = entries.get(to);
				if (!entry) {
					return;
				}

				entry.heardAt.set(from.name, simulation.nowMs);
				for (const {pool, message} of envelopes) {
					const limits = entry.limits[pool]!;
					const answers = core.poolLimits.receiveMessage(
						limits,
						message,
						simulation.nowMs,
					);
					sendAll(entry, pool, answers);
					queues.dispatchWaiting(entry.queues[pool]!);
				}
			});
		};

		const sendAll = (
			entry: Entry,
			pool: number,
			envelopes: readonly CreditEnvelope[],
		) => {
			for (const {to, message} of envelopes) {
				deliver(entry, to, [{pool, message}]);
			}
		};

		const updateConnections = (entry: Entry, pool: number) => {
			const {borrower} = entry.limits[pool]!;
			for (const executor of borrower.members.slots.keys()) {
				const limit = core.staticShare.getConnectionLimit(
					settings.connectionsPerExecutor,
					settings.slotsPerExecutor,
					entry.listed.length,
					core.creditBorrower.getHeld(borrower, executor),
				);
				const inFlight = borrower.inFlight.get(executor) ?? 0;
				const openBefore = entry.connections.get(executor) ?? 0;
				// An idle connection is closed only if the limit requires it.
				const open = Math.max(inFlight, Math.min(openBefore, limit));
				if (open !== openBefore) {
					entry.connections.set(executor, open);
					simulations.setConnections(simulation, entry.name, executor, open);
				}
			}
		};

		const flush = (entry: Entry, pool: number) => {
			const limits = entry.limits[pool]!;
			const queue = entry.queues[pool]!;
			const isCoordinator = limits.borrower.coordinator === entry.name;
			const dueMs = limits.borrower.lastReportMs + reportGapMs;
			if (!isCoordinator && simulation.nowMs < dueMs) {
				if (entry.flushAtMs[pool]! < dueMs) {
					entry.flushAtMs[pool] = dueMs;
					simulations.schedule(simulation, dueMs, () => {
						if (limits.borrower.dirty && simulation.alive.has(entry.name)) {
							flush(entry, pool);
						}
					});
				}

				return;
			}

			const envelopes = core.poolLimits.flushReport(
				limits,
				getDeadlines(queue.waiting),
				simulation.nowMs,
			);
			sendAll(entry, pool, envelopes);
			if (isCoordinator) {
				queues.dispatchWaiting(queue);
			}
		};

		const createEntry = (name: string): Entry => {
			const entry: Entry = {
				name,
				limits: settings.pools.map((pool) =>
					core.poolLimits.createPoolLimits(
						pool.name,
						name,
						{
							...creditSettings,
							longestAttemptMs: pool.answerWithinMs + settings.slotReuseDelayMs,
						},
						simulation.nowMs,
					),
				),
				queues: [],
				heardAt: new Map(),
				flushAtMs: settings.pools.map(() => 0),
				connections: new Map(),
				listed: [],
				ended: new Set(),
				silent: new Set(),
			};
			for (const pool of settings.pools.keys()) {
				const {borrower} = entry.limits[pool]!;
				let reported = 0;
				const queue = queues.createQueue(simulation, pool, {
					acquire: (request) =>
						core.creditSlots.acquireSlot(
							borrower,
							simulation.nowMs,
							request.deadlineMs,
							() => 1,
						),
					finish(executor) {
						core.creditSlots.finishSlot(borrower, executor);
					},
					onQueueChange(waiting) {
						core.creditSlots.releaseSpares(
							borrower,
							waiting.length,
							simulation.nowMs,
						);
						updateConnections(entry, pool);
						if (waiting.length > reported) {
							borrower.dirty = true;
						}

						reported = waiting.length;
						if (borrower.dirty) {
							flush(entry, pool);
						}
					},
				});
				entry.queues.push(queue);
			}

			entries.set(name, entry);
			simulations.schedule(simulation, simulation.nowMs, () => {
				tick(entry);
			});
			return entry;
		};

		const updateMembers = (entry: Entry) => {
			for (const [pool, limits] of entry.limits.entries()) {
				const slots = new Map(
					settings.pools[pool]!.executors.map((name) => [
						name,
						settings.slotsPerExecutor,
					]),
				);
				core.poolLimits.updatePool(
					limits,
					{
						listed: entry.listed,
						unresponsive: entry.silent,
						leaving: new Set(),
						ended: entry.ended,
						slots,
					},
					simulation.nowMs,
				);
				queues.dispatchWaiting(entry.queues[pool]!);
			}
		};

		const tick = (entry: Entry) => {
			if (!simulation.alive.has(entry.name)) {
				return;
			}

			const silent = core.unresponsiveMembers.getUnresponsiveMembers(
				entry.heardAt,
				entry.listed.filter((each) => each !== entry.name),
				simulation.nowMs,
				core.unresponsiveMembers.defaultUnresponsiveAfterMs,
			);
			if ([...silent].join(' ') !== [...entry.silent].join(' ')) {
				entry.silent = silent;
				updateMembers(entry);
			}

			const batches = new Map<
				string,
				Array<{pool: number; message: CreditMessage}>
			>(
				entry.listed
					.filter((each) => each !== entry.name)
					.map((each) => [each, []]),
			);
			for (const [pool, limits] of entry.limits.entries()) {
				const envelopes = [
					...core.poolLimits.tickPool(limits, simulation.nowMs),
					...core.poolLimits.flushReport(
						limits,
						getDeadlines(entry.queues[pool]!.waiting),
						simulation.nowMs,
					),
				];
				for (const {to, message} of envelopes) {
					batches.get(to)?.push({pool, message});
				}

				queues.dispatchWaiting(entry.queues[pool]!);
			}

			for (const [to, batch] of batches) {
				deliver(entry, to, batch);
			}

			simulations.schedule(
				simulation,
				simulation.nowMs + creditSettings.heartbeatMs,
				() => {
					tick(entry);
				},
			);
		};

		return {
			arrive(request) {
				const entry = entries.get(request.entry)!;
				queues.enqueue(entry.queues[request.arrival.pool]!, request);
			},
			applyMembership(name, listed, ended) {
				const entry = entries.get(name) ?? createEntry(name);
				entry.listed = listed;
				entry.ended = ended;
				updateMembers(entry);
			},
			removeEntry(name) {
				for (const queue of entries.get(name)?.queues ?? []) {
					queues.drop(queue);
				}
			},
		};
	};
