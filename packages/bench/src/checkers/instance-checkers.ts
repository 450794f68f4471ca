/** Checks instances: the platform's records against executors' logs. */
import type {Contract, Instance, Service} from '@gullstand/core';
import type {Checker, Records, RunRecord, StoreRecord} from './records.js';

/** Time after which a leaving upstream must receive no new work. */
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

/** Describes a contract whose availability budget is exceeded in the pool. */
const findExceededBudget = (fleet: Fleet, pool: string): string | undefined => {
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

/** Checks that no planned step withdraws an instance beyond a budget. */
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
		const isWithdrawal =
			record.kind === 'instance' &&
			before === 'serving' &&
			record.value.state !== 'serving';
		if (isWithdrawal) {
			checked += 1;
			const exceeded = findExceededBudget(fleet, record.value.pool);
			if (exceeded) {
				violations.push(`${record.value.id} withdrawn: ${exceeded}`);
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

/** Checks that an instance runs only requests of the pool it belongs to. */
export const checkOnePool: Checker = (records) => {
	const rows = listInstanceRecords(records);
	const violations: string[] = [];
	const known = new Map<string, Instance>();
	for (const row of rows) {
		if (isMovedWhileServing(row, known.get(row.value.id))) {
			violations.push(
				`${row.value.id}: moved to ${row.value.pool} without draining`,
			);
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

type Absence = {instance: string; from: number; to: number};

/** Lists the periods in which an instance is not serving. */
const listAbsences = (rows: readonly InstanceRecord[]): Absence[] => {
	const absences: Absence[] = [];
	const open = new Map<string, Absence>();
	for (const {at, value} of rows) {
		const absence = open.get(value.id);
		if (value.state === 'serving' && absence) {
			absence.to = at;
			open.delete(value.id);
		} else if (value.state !== 'serving' && !absence) {
			const created = {instance: value.id, from: at, to: Infinity};
			open.set(value.id, created);
			absences.push(created);
		}
	}

	return absences;
};

/** Checks that a leaving upstream receives no new work after the bound. */
export const checkLeaving: Checker = (records) => {
	const absences = listAbsences(listInstanceRecords(records));
	const isLate = (run: RunRecord, absence: Absence) =>
		run.executor === absence.instance &&
		run.startedAt > absence.from + leavingBoundMs &&
		run.startedAt < absence.to;
	return {
		checked: absences.length,
		violations: records.runs
			.filter((run) => absences.some((absence) => isLate(run, absence)))
			.map((run) => `${run.executor}: received ${run.requestId} while leaving`),
	};
};

/** Checks that a planned stop interrupts no request in flight. */
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
			.map((run) => `${instance}: rebooted while running ${run.requestId}`),
	),
});
