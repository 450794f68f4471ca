/** What the work on machines shares while this daemon holds the fleet's shard. */
import type {fleet, scheduler} from '@gullstand/core';
import type {Machine, Machines, RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import type {OwnerChannel} from '../entry/owner-channel.js';
import {getServiceShard} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import type {CommandLog} from './command-log.js';

/** Times of the fleet's work, in milliseconds. */
export const fleetPeriods = {
	/** Between two rounds. */
	roundMs: 150,
	/** A call to the platform. */
	platformTimeoutMs: 1500,
	/** How long work may end by itself before it is stopped. */
	evacuationGraceMs: 1400,
	/** Time that one machine of a wave takes, emptying included. */
	machineTurnaroundMs: 4500,
	/** A machine that is not empty within this time does not move ... */
	moveEvacuationTimeoutMs: 4000,
	/** ... and its work is never stopped for a move. */
	moveEvacuationGraceMs: 60_000,
	/** A move that does not show in the list within this time is given up. */
	moveTimeoutMs: 15_000,
} as const;

/** What a round of work needs. */
export type FleetContext = {
	readonly held: HeldShard;
	readonly holder: string;
	readonly store: RowStore;
	readonly machines: Machines;
	readonly owners: OwnerChannel;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Services whose owner must agree before a machine goes. */
	readonly hasOwner: (service: string) => boolean;
	/** Whether orders may be given now. */
	readonly mayCommand: () => boolean;
	/** Machines ordered lately, by this holder and the one before. */
	readonly commandLog: CommandLog;
	readonly isStopped: () => boolean;
	readonly loseShard: (reason: string) => void;
};

/** Machines and loads as read at the beginning of a round. */
export type FleetView = {
	/** When the list was asked for. */
	readonly requestedAt: number;
	readonly machines: ReadonlyMap<string, Machine>;
	/** By service; absent where its owner did not answer. */
	readonly loads: ReadonlyMap<string, scheduler.ServiceLoad>;
};

/** Silence before it is asked whether an executor is gone, milliseconds. */
const silentMs = 200;

/**
 * Silence after which an executor that no list has shown counts too: the list
 * may be behind by a second when one has just started. In milliseconds.
 */
const neverListedMs = 3000;

/** Executors that the lists have shown so far. */
export type ListedExecutorIds = Set<string>;

/**
 * Tells owners which silent executors are on no machine any more: the platform
 * knows that a machine is down before any lease there is over, and still lists
 * one that is only cut off.
 */
export const reportTerminated = async (
	{owners, clock, logger}: FleetContext,
	{machines, loads, requestedAt}: FleetView,
	seen: ListedExecutorIds,
): Promise<void> => {
	const present = new Set(
		[...machines.values()].flatMap(({executorId}) => executorId ?? []),
	);
	const ageMs = clock.now() - requestedAt;
	const gone = [...loads].flatMap(([pool, {silent}]) =>
		Object.entries(silent).flatMap(([id, forMs]) => {
			const wasListed = seen.has(id) || forMs > neverListedMs + ageMs;
			return !present.has(id) && wasListed && forMs > silentMs + ageMs
				? [{pool, id, forMs}]
				: [];
		}),
	);
	await Promise.all(
		gone.map(async ({pool, id, forMs}) => {
			logger.info('executor is on no machine', {
				executor: id,
				pool,
				silentMs: Math.round(forMs),
			});
			await owners.reportTerminated(getServiceShard(pool), id);
		}),
	);
	for (const id of present) {
		seen.add(id);
	}
};

/** Reads machines and loads; `undefined` if the platform does not answer. */
export const readFleetView = async ({
	machines,
	owners,
	clock,
	logger,
	hasOwner,
}: FleetContext): Promise<FleetView | undefined> => {
	const requestedAt = clock.now();
	const listed = await machines.list(fleetPeriods.platformTimeoutMs);
	if (!listed.ok) {
		logger.warn('machines not read', {reason: listed.error.kind});
		return undefined;
	}

	const pools = new Set(listed.value.map(({pool}) => pool));
	const owned = [...pools].filter((pool) => hasOwner(pool));
	const loads = await Promise.all(
		owned.map(async (pool) => owners.readLoad(getServiceShard(pool))),
	);
	return {
		requestedAt,
		machines: new Map(listed.value.map((each) => [each.id, each])),
		loads: new Map(
			owned.flatMap((pool, index) => {
				const load = loads[index];
				return load ? [[pool, load] as const] : [];
			}),
		),
	};
};

/** Load of a machine's executor, if its owner has told it. */
export const getMachineLoad = (
	{loads}: FleetView,
	{pool, executorId}: Pick<Machine, 'pool' | 'executorId'>,
): scheduler.ExecutorLoad | undefined =>
	executorId === undefined ? undefined : loads.get(pool)?.executors[executorId];

/** Whether nothing runs on a machine any more, by its pool's owner. */
export const evacuateMachine = async (
	{owners, hasOwner}: FleetContext,
	{pool, executorId}: Pick<fleet.WaveMachine, 'pool' | 'executorId'>,
	patienceMs: number,
): Promise<boolean> => {
	if (executorId === undefined || !hasOwner(pool)) {
		return true;
	}

	const state = await owners.evacuate(
		getServiceShard(pool),
		executorId,
		patienceMs,
	);
	return state?.kind === 'clear';
};
