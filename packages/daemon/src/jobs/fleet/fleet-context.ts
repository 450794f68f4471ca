/**
 * State and calls shared by the work on machines while this daemon holds the
 * fleet's shard.
 */
import type {fleet, scheduler} from '@gullstand/core';
import type {Machine, Machines, RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {
	getMaxElapsedMs,
	getMoment,
	isConfirmedWithin,
	type Clock,
	type Moment,
} from '../clock.js';
import type {OwnerChannel} from '../entry/owner-channel.js';
import {getServiceShard} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import type {CommandLog} from './command-log.js';

/** Intervals and time-outs of the work on machines, in milliseconds. */
export const fleetPeriods = {
	/** Pause between two rounds. */
	roundMs: 150,
	/** Moves rest on a list of machines of at most this age. */
	maxViewAgeMs: 500,
	/** Time-out of a call to the platform. */
	platformTimeoutMs: 1500,
	/** Time in which runs may end by themselves before a wave stops them. */
	evacuationGraceMs: 1400,
	/** Expected time per machine of a wave, evacuation included. */
	machineTurnaroundMs: 4500,
	/** Until a machine that its service needs is asked for again. */
	deferMs: 600,
	/** Pause between two commands for a machine that is no longer listed. */
	askMissingMs: 2000,
	/** A move is abandoned if its machine is not evacuated within this time. */
	moveEvacuationTimeoutMs: 4000,
	/** Exceeds the evacuation time-out, so that no run is stopped for a move. */
	moveEvacuationGraceMs: 60_000,
	/** A move that the list does not show within this time is abandoned. */
	moveTimeoutMs: 15_000,
	/** A commanded machine that is not listed for this time is gone. */
	moveMissingMs: 2000,
} as const;

/** Dependencies of a round. */
export type FleetContext = {
	readonly held: HeldShard;
	readonly holder: string;
	readonly store: RowStore;
	readonly machines: Machines;
	readonly owners: OwnerChannel;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Whether a service has an owner, which evacuates its machines. */
	readonly hasOwner: (service: string) => boolean;
	/** Whether commands may be sent now. */
	readonly mayCommand: () => boolean;
	/** Recent commands of this holder and the previous one. */
	readonly commandLog: CommandLog;
	readonly isStopped: () => boolean;
	readonly loseShard: (reason: string) => void;
};

/** Machines and loads as read at the beginning of a round. */
export type FleetView = {
	/** When the list was requested. */
	readonly requestedAt: number;
	readonly machines: ReadonlyMap<string, Machine>;
	/** Load by service; absent if its owner did not answer. */
	readonly loads: ReadonlyMap<string, scheduler.ServiceLoad>;
};

/**
 * Reads machines and loads; `undefined` if the machines could not be listed.
 */
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
		logger.warn('failed to list machines', {reason: listed.error.kind});
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

/** Returns the load of a machine's executor, if its owner has reported it. */
export const getMachineLoad = (
	{loads}: FleetView,
	{pool, executorId}: Pick<Machine, 'pool' | 'executorId'>,
): scheduler.ExecutorLoad | undefined =>
	executorId === undefined ? undefined : loads.get(pool)?.executors[executorId];

/** Confirmation that nothing runs on a machine, and for how long it holds. */
export type Clearance = {
	/** When the owner was asked, so that delays of its answer count. */
	readonly askedAt: Moment;
	/** How long after that nothing starts there, in milliseconds. */
	readonly validMs: number;
};

/** How long ago the owner was asked for a clearance, in whole milliseconds. */
export const getClearanceAgeMs = (
	{clock}: Pick<FleetContext, 'clock'>,
	{askedAt}: Clearance,
): number => Math.round(getMaxElapsedMs(clock, askedAt));

/** Whether a machine stays clear until a command that is sent now has ended. */
export const isStillClear = (
	{clock}: Pick<FleetContext, 'clock'>,
	{askedAt, validMs}: Clearance,
): boolean =>
	isConfirmedWithin(clock, askedAt, validMs - fleetPeriods.platformTimeoutMs);

/** What became of a request to evacuate a machine. */
export type EvacuationAnswer =
	| {readonly kind: 'clear'; readonly clearance: Clearance}
	/** Something runs there, or its owner does not answer. */
	| {readonly kind: 'waiting'}
	/** Its service can't do without it now. */
	| {readonly kind: 'deferred'};

/** Returns the confirmation that nothing runs on a machine, if there is one. */
export const getClearance = (
	answer: EvacuationAnswer,
): Clearance | undefined =>
	answer.kind === 'clear' ? answer.clearance : undefined;

/** How an evacuation is requested. */
export type EvacuationTerms = Omit<scheduler.EvacuationRequest, 'order'>;

/** A machine that no owner uses stays clear. */
const createUnlimited = (askedAt: Moment): Clearance => ({
	askedAt,
	validMs: Number.POSITIVE_INFINITY,
});

const askOwner = async (
	{owners, held}: FleetContext,
	{pool, executorId}: {readonly pool: string; readonly executorId: string},
	terms: EvacuationTerms,
	askedAt: Moment,
): Promise<EvacuationAnswer | {readonly kind: 'unknown-executor'}> => {
	const state = await owners.evacuate(getServiceShard(pool), executorId, {
		...terms,
		order: {token: held.token, at: askedAt.at},
	});
	if (state?.kind === 'unknown-executor' || state?.kind === 'deferred') {
		return {kind: state.kind};
	}

	// Owners of older releases promise nothing.
	return state?.kind === 'clear' && state.remainingMs > 0
		? {kind: 'clear', clearance: {askedAt, validMs: state.remainingMs}}
		: {kind: 'waiting'};
};

/** Asks the pool's owner to evacuate a machine that is up. */
export const evacuateMachine = async (
	context: FleetContext,
	{pool, executorId}: Pick<fleet.WaveMachine, 'pool' | 'executorId'>,
	terms: EvacuationTerms,
): Promise<EvacuationAnswer> => {
	const askedAt = getMoment(context.clock);
	if (!context.hasOwner(pool)) {
		return {kind: 'clear', clearance: createUnlimited(askedAt)};
	}

	// Its executor may run tasks though the list does not show it yet.
	if (executorId === undefined) {
		return {kind: 'waiting'};
	}

	const answer = await askOwner(context, {pool, executorId}, terms, askedAt);
	return answer.kind === 'unknown-executor' ? {kind: 'waiting'} : answer;
};

/**
 * Asks the pool's owner to evacuate the last known executor of a machine that is
 * not listed; one that the owner does not know runs nothing.
 */
export const evacuateMissing = async (
	context: FleetContext,
	{pool, executorId}: Pick<fleet.WaveMachine, 'pool' | 'executorId'>,
	terms: EvacuationTerms,
): Promise<EvacuationAnswer> => {
	const askedAt = getMoment(context.clock);
	const unlimited = {
		kind: 'clear',
		clearance: createUnlimited(askedAt),
	} as const;
	if (executorId === undefined || !context.hasOwner(pool)) {
		return unlimited;
	}

	const answer = await askOwner(context, {pool, executorId}, terms, askedAt);
	return answer.kind === 'unknown-executor' ? unlimited : answer;
};

/** Lets the pool's owner use a machine again that will not be commanded. */
export const releaseMachine = async (
	{owners, hasOwner, clock, held}: FleetContext,
	{pool, executorId}: Pick<fleet.WaveMachine, 'pool' | 'executorId'>,
): Promise<void> => {
	if (executorId !== undefined && hasOwner(pool)) {
		await owners.releaseEvacuation(getServiceShard(pool), executorId, {
			token: held.token,
			at: clock.now(),
		});
	}
};
