/**
 * Services of whose pool the platform lists no machine. Their owners are asked as
 * well, since the list does not tell that their queues wait for machines.
 */
import type {scheduler} from '@gullstand/core';
import {getServiceShard} from '../rows/tables.js';
import type {FleetContext, FleetView} from './fleet-context.js';

export type EmptyPools = {
	/** Asks the owners of the services without a listed machine. */
	readonly refresh: (view: FleetView) => Promise<void>;
	/**
	 * Returns the loads of the services that wait for machines: no list has had
	 * one of theirs since their owner was asked, it knows no executor either, and
	 * has work.
	 */
	readonly listLoads: (
		view: FleetView,
	) => ReadonlyMap<string, scheduler.ServiceLoad>;
};

/** Pause between two questions to the owners, in milliseconds. */
const askIntervalMs = 500;

const needsMachines = ({
	waitingCpu,
	usedCpu,
	arrivingCpu,
	capacityCpu,
}: scheduler.ServiceLoad): boolean =>
	capacityCpu === 0 && waitingCpu + usedCpu + arrivingCpu > 0;

const listPools = ({machines}: FleetView): ReadonlySet<string> =>
	new Set([...machines.values()].map(({pool}) => pool));

/** `listServices` returns the services that have an owner. */
export const createEmptyPools = (
	{owners, clock}: Pick<FleetContext, 'owners' | 'clock'>,
	listServices: () => readonly string[],
): EmptyPools => {
	let loads: ReadonlyMap<string, scheduler.ServiceLoad> = new Map();
	let askedAt = Number.NEGATIVE_INFINITY;

	return {
		async refresh(view) {
			if (clock.now() - askedAt < askIntervalMs) {
				return;
			}

			askedAt = clock.now();
			const pools = listPools(view);
			const empty = listServices().filter((service) => !pools.has(service));
			const answers = await Promise.all(
				empty.map(async (service) => owners.readLoad(getServiceShard(service))),
			);
			loads = new Map(
				empty.flatMap((service, index) => {
					const load = answers[index];
					return load && needsMachines(load) ? [[service, load] as const] : [];
				}),
			);
		},
		listLoads(view) {
			const pools = listPools(view);
			return new Map([...loads].filter(([service]) => !pools.has(service)));
		},
	};
};
