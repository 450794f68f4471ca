/** The lower bounds and the strategies without credits. */
import * as core from '@gullstand/core';
import type {EntryQueue} from './queues.js';
import * as queues from './queues.js';
import * as settings from './settings.js';
import type {Request, Simulation} from './simulation.js';
import * as simulations from './simulation.js';

/** A strategy in one run. */
export type Strategy = {
	readonly arrive: (request: Request) => void;
	/** Called when an entry has read a new list or found ended processes. */
	readonly applyMembership: (
		entry: string,
		listed: readonly string[],
		ended: ReadonlySet<string>,
	) => void;
	readonly removeEntry: (entry: string) => void;
};

const poolSlots = settings.pools.map(
	(pool) =>
		new Map(pool.executors.map((name) => [name, settings.slotsPerExecutor])),
);

/**
 * Creates one queue per pool for all requests and slots. A slot is free again
 * when the answer arrives or, with `knowsExecutors`, as soon as the executor is
 * done, which no real sender can know.
 */
const createOneQueue = (
	simulation: Simulation,
	knowsExecutors: boolean,
): Strategy => {
	const waiting: Request[][] = settings.pools.map(() => []);
	const assigned = new Map<string, number>();
	const dispatchPool = (pool: number) => {
		for (;;) {
			const request = waiting[pool]![0];
			let executor: string | undefined;
			let least = settings.slotsPerExecutor;
			for (const name of poolSlots[pool]!.keys()) {
				const count = assigned.get(name) ?? 0;
				if (count < least) {
					executor = name;
					least = count;
				}
			}

			if (!request || executor === undefined) {
				return;
			}

			const picked = executor;
			assigned.set(picked, least + 1);
			waiting[pool]!.shift();
			simulations.addWaiting(simulation, pool, -1);
			const onFree = () => {
				assigned.set(picked, assigned.get(picked)! - 1);
				dispatchPool(pool);
			};

			simulations.dispatch(
				simulation,
				request,
				picked,
				knowsExecutors ? {onFree} : {onEnd: onFree, endsWhenLost: true},
			);
		}
	};

	const remove = (pool: number, request: Request): boolean => {
		const index = waiting[pool]!.indexOf(request);
		if (index !== -1) {
			waiting[pool]!.splice(index, 1);
			simulations.addWaiting(simulation, pool, -1);
		}

		return index !== -1;
	};

	return {
		arrive(request) {
			const {pool} = request.arrival;
			waiting[pool]!.push(request);
			simulations.addWaiting(simulation, pool, 1);
			simulations.schedule(simulation, request.giveUpAtMs, () => {
				if (remove(pool, request)) {
					simulations.giveUp(simulation, request);
				}
			});
			dispatchPool(pool);
		},
		applyMembership: () => undefined,
		removeEntry(entry) {
			for (const [pool, requests] of waiting.entries()) {
				for (const request of requests.filter((each) => each.entry === entry)) {
					remove(pool, request);
				}
			}
		},
	};
};

/** Lower bound for strategies that learn of free slots from answers. */
export const createOmniscient = (simulation: Simulation) =>
	createOneQueue(simulation, false);

/** Lower bound with immediate knowledge of the executors. */
export const createClairvoyant = (simulation: Simulation) =>
	createOneQueue(simulation, true);

/** State of one entry; counts are by executor. */
type EntryState = {
	readonly entry: string;
	readonly queues: EntryQueue[];
	readonly inFlight: Map<string, number>;
	readonly peers: Map<string, ReadonlyMap<string, number>>;
	peerSums: ReadonlyMap<string, number>;
	listed: readonly string[];
	shares: ReadonlyArray<ReadonlyMap<string, number>>;
};

type Pick = (
	state: EntryState,
	pool: number,
	simulation: Simulation,
) => string | undefined;

const createLocalStrategy =
	(pick: Pick, exchangeMs?: number) =>
	(simulation: Simulation): Strategy => {
		const states = new Map<string, EntryState>();
		const createState = (entry: string): EntryState => {
			const state: EntryState = {
				entry,
				queues: [],
				inFlight: new Map(),
				peers: new Map(),
				peerSums: new Map(),
				listed: [],
				shares: [],
			};
			for (const pool of settings.pools.keys()) {
				const queue = queues.createQueue(simulation, pool, {
					acquire() {
						const executor = pick(state, pool, simulation);
						if (executor !== undefined) {
							core.creditMessages.addCount(state.inFlight, executor, 1);
						}

						return executor;
					},
					finish(executor) {
						core.creditMessages.addCount(state.inFlight, executor, -1);
					},
				});
				state.queues.push(queue);
			}

			states.set(entry, state);
			if (exchangeMs !== undefined) {
				exchange(state, exchangeMs);
			}

			return state;
		};

		const exchange = (state: EntryState, everyMs: number) => {
			if (!simulation.alive.has(state.entry)) {
				return;
			}

			const counts = new Map(state.inFlight);
			for (const to of state.listed) {
				const peer = states.get(to);
				if (peer && peer !== state) {
					simulations.send(simulation, to, () => {
						peer.peers.set(state.entry, counts);
						peer.peerSums = core.powerOfTwo.sumPeerCounts(peer.peers.values());
						for (const queue of peer.queues) {
							queues.dispatchWaiting(queue);
						}
					});
				}
			}

			simulations.schedule(simulation, simulation.nowMs + everyMs, () => {
				exchange(state, everyMs);
			});
		};

		return {
			arrive(request) {
				const state = states.get(request.entry)!;
				queues.enqueue(state.queues[request.arrival.pool]!, request);
			},
			applyMembership(entry, listed) {
				const state = states.get(entry) ?? createState(entry);
				state.listed = listed;
				state.shares = poolSlots.map((slots) =>
					core.staticShare.getStaticShares(slots, listed, entry),
				);
				for (const peer of state.peers.keys()) {
					if (!listed.includes(peer)) {
						state.peers.delete(peer);
					}
				}

				for (const queue of state.queues) {
					queues.dispatchWaiting(queue);
				}
			},
			removeEntry(entry) {
				for (const queue of states.get(entry)?.queues ?? []) {
					queues.drop(queue);
				}
			},
		};
	};

/** Each entry uses only its static share of each executor. */
export const createStatic = createLocalStrategy((state, pool) => {
	let picked: string | undefined;
	let least = Number.POSITIVE_INFINITY;
	for (const [executor, share] of state.shares[pool]!) {
		const count = state.inFlight.get(executor) ?? 0;
		if (count < share && count < least) {
			picked = executor;
			least = count;
		}
	}

	return picked;
});

const pickOfTwo = (
	{draw}: Simulation,
	pool: number,
	getInFlight: (executor: string) => number,
) =>
	core.powerOfTwo.pickOfTwo(
		[...poolSlots[pool]!].map(([executor, slots]) => ({
			executor,
			slots,
			inFlight: getInFlight(executor),
			weight: 1,
		})),
		[draw(), draw()],
	);

/** Power of two choices by the entry's own requests in flight. */
export const createPowerOfTwoLocal = createLocalStrategy(
	(state, pool, simulation) =>
		pickOfTwo(
			simulation,
			pool,
			(executor) => state.inFlight.get(executor) ?? 0,
		),
);

const exchangeMs = 20;

/** Power of two choices with the counts of peers, exchanged every 20 ms. */
export const createPowerOfTwoPeers = createLocalStrategy(
	(state, pool, simulation) =>
		pickOfTwo(
			simulation,
			pool,
			(executor) =>
				(state.inFlight.get(executor) ?? 0) +
				(state.peerSums.get(executor) ?? 0),
		),
	exchangeMs,
);
