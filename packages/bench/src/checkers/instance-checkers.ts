/** Judges of instances: the platform's records against executors' logs. */
import type {Contract, Instance, Service} from '@gullstand/core';
import type {Checker, Records, RunRecord, StoreRecord} from './records.js';

/** Time after which a leaving upstream receives no new work. */
export const leavingBoundMs = 3000;

type InstanceRecord = Extract<StoreRecord, {kind: 'instance'}>;

const listInstanceRecords = (records: Records): readonly InstanceRecord[] =>
	records.store.filter((each) => each.kind === 'instance');

type Fleet = {
	readonly instances: Map<string, Instance>;
	readonly contracts: Map<string, Contract>;
	readonly services: Map<string, Service>;
	readonly lost: Set<string>;
};

/** Why a fleet may not have an instance of this pool taken away just now. */
const findOverspend = (fleet: Fleet, pool: string): string | undefined => {
	const members = [...fleet.instances.values()].filter(
		(each) => each.pool === pool,
	);
	const away = members.filter((each) => each.state !== 'serving').length;
	const serving = members.filter(
		(each) => each.state === 'serving' && !fleet.lost.has(each.id),
	).length;
	for (const contract of fleet.contracts.values()) {
		for (const terms of contract.services) {
			const isOfPool = fleet.services.get(terms.service)?.pool === pool;
			const isBroken = away > terms.maxAway || serving < terms.keepExecutors;
			if (isOfPool && isBroken) {
				return `${contract.customer}/${terms.service}: ${away} away, ${serving} serving`;
			}
		}
	}

	return undefined;
};

const applyRecord = (fleet: Fleet, record: StoreRecord) => {
	switch (record.kind) {
		case 'instance': {
			fleet.instances.set(record.value.id, record.value);
			break;
		}

		case 'contract': {
			fleet.contracts.set(record.value.customer, record.value);
			break;
		}

		case 'service': {
			fleet.services.set(record.value.name, record.value);
			break;
		}
	}
};

const createFleet = (): Fleet => ({
	instances: new Map(),
	contracts: new Map(),
	services: new Map(),
	lost: new Set(),
});

/** No planned step takes an instance that a budget does not allow. */
export const checkBudgets: Checker = ({store, losses}) => {
	const fleet = createFleet();
	const violations: string[] = [];
	let checked = 0;
	let nextLoss = 0;
	for (const record of store) {
		for (; (losses[nextLoss]?.at ?? Infinity) <= record.at; nextLoss += 1) {
			const {instance, isLost} = losses[nextLoss]!;
			fleet.lost[isLost ? 'add' : 'delete'](instance);
		}

		const before =
			record.kind === 'instance'
				? fleet.instances.get(record.value.id)?.state
				: undefined;
		applyRecord(fleet, record);
		const isTake =
			record.kind === 'instance' &&
			before === 'serving' &&
			record.value.state !== 'serving';
		if (isTake) {
			checked += 1;
			const overspend = findOverspend(fleet, record.value.pool);
			if (overspend) {
				violations.push(`${record.value.id} taken: ${overspend}`);
			}
		}
	}

	return {checked, violations};
};

const getPoolAt = (
	records: readonly InstanceRecord[],
	executor: string,
	at: number,
): string | undefined =>
	records.findLast((each) => each.value.id === executor && each.at <= at)?.value
		.pool;

const isMovedWhileServing = (
	record: InstanceRecord,
	previous: Instance | undefined,
): boolean =>
	previous !== undefined &&
	previous.pool !== record.value.pool &&
	previous.state === 'serving';

/** An instance runs requests of the one pool that it belongs to. */
export const checkOnePool: Checker = (records) => {
	const rows = listInstanceRecords(records);
	const violations: string[] = [];
	const known = new Map<string, Instance>();
	for (const row of rows) {
		if (isMovedWhileServing(row, known.get(row.value.id))) {
			violations.push(`${row.value.id}: moved to ${row.value.pool} undrained`);
		}

		known.set(row.value.id, row.value);
	}

	for (const run of records.runs) {
		const first = getPoolAt(rows, run.executor, run.startedAt);
		const last = getPoolAt(rows, run.executor, run.endedAt ?? run.startedAt);
		if (first !== run.pool || last !== run.pool) {
			violations.push(
				`${run.executor}: ran ${run.requestId} of ${run.pool} in ${first}, ${last}`,
			);
		}
	}

	return {checked: rows.length + records.runs.length, violations};
};

type Leave = {instance: string; from: number; to: number};

/** Times in which an instance is not serving, by the platform's rows. */
const listLeaves = (rows: readonly InstanceRecord[]): Leave[] => {
	const leaves: Leave[] = [];
	const open = new Map<string, Leave>();
	for (const {at, value} of rows) {
		const leave = open.get(value.id);
		if (value.state === 'serving' && leave) {
			leave.to = at;
			open.delete(value.id);
		} else if (value.state !== 'serving' && !leave) {
			const created = {instance: value.id, from: at, to: Infinity};
			open.set(value.id, created);
			leaves.push(created);
		}
	}

	return leaves;
};

/** An upstream that is leaving gets no new work after a few seconds. */
export const checkLeaving: Checker = (records) => {
	const leaves = listLeaves(listInstanceRecords(records));
	const isLate = (run: RunRecord, leave: Leave) =>
		run.executor === leave.instance &&
		run.startedAt > leave.from + leavingBoundMs &&
		run.startedAt < leave.to;
	return {
		checked: leaves.length,
		violations: records.runs
			.filter((run) => leaves.some((leave) => isLate(run, leave)))
			.map((run) => `${run.executor}: got ${run.requestId} while leaving`),
	};
};

/** A planned stop cuts off no request in flight. */
export const checkGracefulStops: Checker = ({reboots, runs}) => ({
	checked: reboots.length,
	violations: reboots.flatMap(({at, instance}) =>
		runs
			.filter(
				(run) =>
					run.executor === instance &&
					run.startedAt <= at &&
					(run.endedAt ?? Infinity) > at,
			)
			.map((run) => `${instance}: rebooted while it ran ${run.requestId}`),
	),
});
