import * as fc from 'fast-check';
import * as tap from 'tap';
import type {Instance} from '../types/instance.js';
import {createInstance, ids, returnEvidence} from './budget.test.fixture.js';
import * as budget from './index.js';

/** A table with versions, as the platform promises it. */
type TestRow = {version: number; value: unknown; operationId: string};
type TestTable = Map<string, TestRow>;

const commit = (
	rows: TestTable,
	{writes, operationId}: budget.BudgetChange,
): boolean => {
	const holds = writes.every(
		({table, key, when}) =>
			when.kind === 'version' &&
			rows.get(`${table}/${key}`)?.version === when.version,
	);
	if (holds) {
		for (const {table, key, value} of writes) {
			const {version} = rows.get(`${table}/${key}`)!;
			rows.set(`${table}/${key}`, {version: version + 1, value, operationId});
		}
	}

	return holds;
};

const services = ['quote', 'rate'];
const sharedPool = new Map([['quote', services]]);
const readInstance = (rows: TestTable, id: string) =>
	rows.get(`instance/${id}`) as budget.Versioned<Instance> & TestRow;
const readLedgers = (rows: TestTable): budget.Ledgers =>
	new Map(
		services.map((each) => [
			each,
			rows.get(`ledger/${each}`) as budget.Versioned<budget.Ledger> & TestRow,
		]),
	);

const createTable = (): TestTable => {
	const terms = {...budget.noTerms, keepExecutors: 2, maxAway: 2};
	const stricter = {...terms, maxAway: 1};
	const rows: TestTable = new Map();
	for (const id of ids) {
		const value = createInstance(id);
		rows.set(`instance/${id}`, {version: 1, value, operationId: ''});
	}

	for (const [service, each] of [
		['quote', terms],
		['rate', stricter],
	] as const) {
		const value = budget.createLedger(service, each, ids);
		rows.set(`ledger/${service}`, {version: 1, value, operationId: ''});
	}

	return rows;
};

/** What one planner read and wants to commit, and what it knows of it. */
type Planner = {
	pending: budget.BudgetChange | undefined;
	taken: string | undefined;
	versionBefore: number;
};

type Step = {
	planner: number;
	kind: 'read' | 'commit' | 'lose-reply' | 'loss' | 'recover' | 'give-back';
	instance: number;
};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	planner: fc.nat(2),
	kind: fc.constantFrom(
		'read',
		'read',
		'read',
		'commit',
		'commit',
		'lose-reply',
		'loss',
		'recover',
		'recover',
		'give-back',
		'give-back',
	),
	instance: fc.nat(ids.length - 1),
});

const applyLoss = (rows: TestTable, step: Step) => {
	for (const [service, ledger] of readLedgers(rows)) {
		const id = ids[step.instance]!;
		const write =
			step.kind === 'loss'
				? budget.markLost(ledger, [id], 0)
				: budget.markRecovered(ledger, [readInstance(rows, id).value]);
		if (write) {
			commit(rows, {writes: [write], operationId: `loss-${service}`});
		}
	}
};

/** Drained, restarted and listed: the row says that it returns. */
const createReturning = (rows: TestTable, id: string) => {
	const {value, version} = readInstance(rows, id);
	const state = value.state === 'serving' ? 'serving' : 'returning';
	return {value: {...value, state} as const, version};
};

const applyGiveBack = (rows: TestTable, id: string) => {
	const change = budget.returnInstance({
		operationId: `back-${id}`,
		instance: createReturning(rows, id),
		ledgers: readLedgers(rows),
		servicesByPool: sharedPool,
		evidence: returnEvidence,
		settings: budget.returnDefaults,
	});
	if (change.ok) {
		commit(rows, change.value);
	}
};

/** Judges a committed take by the rows alone, not by the decision. */
const isOverspent = (rows: TestTable) =>
	services.some((service) => {
		const {value} = readLedgers(rows).get(service)!;
		const kinds = Object.values(value.entries).map(({kind}) => kind);
		const away = kinds.filter((kind) => kind !== 'serving').length;
		return (
			away > value.terms.maxAway ||
			ids.length - away < value.terms.keepExecutors
		);
	});

const planTake = (rows: TestTable, planner: Planner, id: string, n: number) => {
	const instance = readInstance(rows, id);
	const change = budget.withdrawInstances(
		{
			operationId: `take-${n}`,
			wave: 'w',
			instances: [instance],
			ledgers: readLedgers(rows),
			servicesByPool: sharedPool,
		},
		n,
	);
	planner.pending = change.ok ? change.value : undefined;
	planner.taken = id;
	planner.versionBefore = instance.version;
};

const readOutcome = (rows: TestTable, planner: Planner) => {
	const row = readInstance(rows, planner.taken!);
	return budget.getWithdrawalOutcome(
		{
			expectedVersion: planner.versionBefore,
			version: row.version,
			operationId: row.operationId,
			instance: row.value,
			ledgers: [...readLedgers(rows).values()].map(({value}) => value),
		},
		planner.pending!.operationId,
	);
};

/** Commits what a planner has pending, if anything, and judges it. */
const commitPending = (
	rows: TestTable,
	planner: Planner,
	kind: 'commit' | 'lose-reply',
) => {
	if (!planner.pending) {
		return {hasCommitted: false, isSound: true};
	}

	const hasCommitted = commit(rows, planner.pending);
	const isRead =
		kind === 'commit' ||
		(readOutcome(rows, planner) === 'committed') === hasCommitted;
	planner.pending = undefined;
	return {
		hasCommitted,
		isSound: isRead && !(hasCommitted && isOverspent(rows)),
	};
};

/** Runs one interleaving; returns the takes, or -1 if a promise broke. */
const runSteps = (steps: readonly Step[]): number => {
	const rows = createTable();
	const planners: Planner[] = Array.from({length: 3}, () => ({
		pending: undefined,
		taken: undefined,
		versionBefore: 0,
	}));
	let takes = 0;
	for (const [n, step] of steps.entries()) {
		const planner = planners[step.planner]!;
		const id = ids[step.instance]!;
		switch (step.kind) {
			case 'read': {
				planTake(rows, planner, id, n);
				break;
			}

			case 'give-back': {
				applyGiveBack(rows, id);
				break;
			}

			case 'loss':
			case 'recover': {
				applyLoss(rows, step);
				break;
			}

			case 'commit':
			case 'lose-reply': {
				const result = commitPending(rows, planner, step.kind);
				if (!result.isSound) {
					return -1;
				}

				takes += result.hasCommitted ? 1 : 0;
				break;
			}
		}
	}

	return takes;
};

tap.t.test(
	'racing planners, lost replies and losses never overspend',
	async (t) => {
		let takes = 0;
		const steps = fc.array(stepArbitrary, {minLength: 60, maxLength: 120});
		const property = fc.property(steps, (each) => {
			const seen = runSteps(each);
			takes += Math.max(0, seen);
			return seen >= 0;
		});
		fc.assert(property, {seed: 5, numRuns: 2000});
		t.ok(takes > 1000, `the property saw ${takes} takes`);
	},
);

tap.t.test(
	'a take without preconditions overspends: the judge sees it',
	async (t) => {
		const rows = createTable();
		const planners = ids.slice(0, 2).map((id, n) => {
			const planner: Planner = {
				pending: undefined,
				taken: undefined,
				versionBefore: 0,
			};
			planTake(rows, planner, id, n);
			return planner;
		});
		for (const {pending} of planners) {
			const writes = pending!.writes.map((write) => ({
				...write,
				when: {
					kind: 'version' as const,
					version: rows.get(`${write.table}/${write.key}`)!.version,
				},
			}));
			commit(rows, {...pending!, writes});
		}

		// Both planners read the same ledger; the later write hides the earlier.
		const isAway = (id: string) =>
			readInstance(rows, id).value.state !== 'serving';
		t.equal(ids.filter((id) => isAway(id)).length, 2);
	},
);
