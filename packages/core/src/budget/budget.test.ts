import * as tap from 'tap';
import type {Contract} from '../types/contract.js';
import type {Instance} from '../types/instance.js';
import {createInstance, ids, returnEvidence} from './budget.test.fixture.js';
import * as budget from './index.js';

const createContract = (
	customer: string,
	keepExecutors: number,
	maxAway: number,
): Contract => ({
	customer,
	weight: 1,
	tokenHashes: [],
	services: [
		{
			service: 'quote',
			keepExecutors,
			maxAway,
			answerWithinMs: 500,
			requestsPerSecond: 10,
		},
	],
	jobs: {cores: 1, memoryMb: 1, accelerators: 0, urgentStartMs: 1500},
});

const combineTable: Array<[string, Contract[], Partial<budget.CombinedTerms>]> =
	[
		['no contract', [], budget.noTerms],
		[
			'the strictest of two',
			[createContract('a', 5, 1), createContract('b', 4, 2)],
			{
				keepExecutors: 5,
				keepExecutorsFor: 'a',
				maxAway: 1,
				maxAwayFor: 'a',
			},
		],
		[
			'each term from another customer',
			[createContract('a', 3, 1), createContract('b', 4, 2)],
			{
				keepExecutors: 4,
				keepExecutorsFor: 'b',
				maxAway: 1,
				maxAwayFor: 'a',
			},
		],
	];

for (const [name, contracts, expected] of combineTable) {
	tap.t.test(`terms: ${name}`, async (t) => {
		t.match(budget.combineTerms(contracts, 'quote'), expected);
		t.same(budget.combineTerms(contracts, 'other'), budget.noTerms);
	});
}

const servicesByPool = new Map([['quote', ['quote']]]);

const createTake = (
	terms: [keep: number, away: number],
	lost: string[],
	instances: Instance[],
	reserve = 0,
): budget.WithdrawalRequest => {
	const ledger = budget.createLedger(
		'quote',
		budget.combineTerms([createContract('a', ...terms)], 'quote'),
		ids,
	);
	const loss = budget.markLost({value: ledger, version: 1}, lost, 5);
	return {
		operationId: 'op',
		wave: 'w',
		instances: instances.map((value) => ({value, version: 7})),
		ledgers: new Map([['quote', {value: loss?.value ?? ledger, version: 3}]]),
		servicesByPool,
		reserves: new Map([['quote', reserve]]),
	};
};

const [first, second] = [createInstance('i0'), createInstance('i1')];
const takeTable: Array<[string, budget.WithdrawalRequest, string]> = [
	['one within both terms', createTake([4, 1], [], [first]), 'ok'],
	[
		'two where one may be away',
		createTake([1, 1], [], [first, second]),
		'max-away',
	],
	['two where two may be away', createTake([3, 2], [], [first, second]), 'ok'],
	['kept capacity', createTake([5, 2], [], [first]), 'keep-executors'],
	[
		'loss uses the budget first',
		createTake([1, 1], ['i4'], [first]),
		'max-away',
	],
	[
		'loss lowers what serves',
		createTake([4, 3], ['i4'], [first]),
		'keep-executors',
	],
	[
		'a reserve for a rack',
		createTake([4, 1], [], [first], 1),
		'keep-executors',
	],
	['a lost instance', createTake([1, 3], ['i0'], [first]), 'not-serving'],
	[
		'the same instance twice',
		createTake([1, 3], [], [first, first]),
		'not-serving',
	],
	[
		'one that is away already',
		createTake([1, 3], [], [createInstance('i0', 'quote', 'away')]),
		'not-serving',
	],
	[
		'a service without a ledger',
		{...createTake([1, 3], [], [first]), ledgers: new Map()},
		'no-ledger',
	],
];

for (const [name, request, expected] of takeTable) {
	tap.t.test(`reserveAway: ${name}`, async (t) => {
		const result = budget.withdrawInstances(request, 10);
		t.equal(result.ok ? 'ok' : result.error.kind, expected);
		if (result.ok) {
			t.equal(result.value.writes.length, request.instances.length + 1);
			t.ok(result.value.writes.every(({when}) => when.kind === 'version'));
		}
	});
}

const proofTable: Array<[string, Partial<budget.ReturnEvidence>, string?]> = [
	['listed, restarted and probed', {}],
	['absent from the list', {listed: 'absent'}, 'not-listed'],
	['still leaving', {listed: 'leaving'}, 'not-listed'],
	['the old life still listed', {incarnation: 'a'}, 'not-restarted'],
	['too few probes', {probesPassed: 2}, 'not-proved'],
	['the life before is unknown', {incarnationBefore: ''}, 'not-restarted'],
];

for (const [name, change, expected] of proofTable) {
	tap.t.test(`giveBack: ${name}`, async (t) => {
		const result = budget.returnInstance({
			operationId: 'back',
			instance: {value: createInstance('i0', 'quote', 'returning'), version: 9},
			ledgers: createTake([1, 1], [], []).ledgers,
			servicesByPool,
			evidence: {...returnEvidence, ...change},
			settings: budget.returnDefaults,
		});
		t.equal(result.ok ? undefined : result.error.kind, expected);
	});
}

for (const state of ['serving', 'draining', 'away'] as const) {
	tap.t.test(`giveBack: an instance that is ${state}`, async (t) => {
		const result = budget.returnInstance({
			operationId: 'back',
			instance: {value: createInstance('i0', 'quote', state), version: 9},
			ledgers: createTake([1, 1], [], []).ledgers,
			servicesByPool,
			evidence: returnEvidence,
			settings: budget.returnDefaults,
		});
		t.match(result, {ok: false, error: {kind: 'not-returning'}});
	});
}

tap.t.test('a worker is in no ledger', async (t) => {
	const worker: Instance = {...createInstance('x'), kind: 'worker'};
	const taken = budget.withdrawInstances(createTake([5, 0], [], [worker]), 10);
	t.match(taken, {value: {writes: [{table: budget.tables.instances}]}});
	t.match(taken, {value: {writes: {length: 1}}});
});

tap.t.test('a move is booked away, then changes ledgers', async (t) => {
	const {ledgers} = createTake([4, 1], [], []);
	const other = budget.createLedger('rate', budget.noTerms, ['x']);
	const both = new Map([...ledgers, ['rate', {value: other, version: 4}]]);
	const pools = new Map([...servicesByPool, ['rate', ['rate']]]);
	const request = {
		...createTake([4, 1], [], [createInstance('i0')]),
		wave: budget.noWaveId,
	};
	const booked = budget.withdrawInLedgers(request, 10);
	t.ok(booked.ok);
	t.match(booked, {value: [{value: {entries: {i0: {kind: 'away'}}}}]});
	const ended = budget.moveLedgers({
		instance: createInstance('i0', 'quote', 'away'),
		to: 'rate',
		ledgers: both,
		servicesByPool: pools,
	});
	const entries = ended.ok ? ended.value.map(({value}) => value.entries) : [];
	t.notOk(entries[0]?.i0);
	t.match(entries[1], {i0: {kind: 'serving'}, x: {kind: 'serving'}});
});

tap.t.test('a lost instance recovers only if its row serves', async (t) => {
	const ledger = {
		value: budget.createLedger('quote', budget.noTerms, ['i0', 'i1']),
		version: 1,
	};
	const lost = budget.markLost(ledger, ['i0', 'i1'], 5)!;
	const recovered = budget.markRecovered({value: lost.value, version: 2}, [
		createInstance('i0'),
		createInstance('i1', 'quote', 'away'),
	]);
	t.match(recovered?.value.entries, {
		i0: {kind: 'serving'},
		i1: {kind: 'lost'},
	});
});

tap.t.test('reserve: the largest domain of a kind', async (t) => {
	const instances = ['a0', 'b0', 'c1'].map((id) => createInstance(id));
	t.equal(budget.getReserve(instances, 'none'), 0);
	t.equal(budget.getReserve(instances, 'rack'), 1);
	t.equal(budget.getReserve(instances, 'availability-zone'), 2);
	t.equal(budget.getReserve([], 'rack'), 0);
});
