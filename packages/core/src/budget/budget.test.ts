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
			'the stricter of two contracts',
			[createContract('a', 5, 1), createContract('b', 4, 2)],
			{
				keepExecutors: 5,
				keepExecutorsFor: 'a',
				maxAway: 1,
				maxAwayFor: 'a',
			},
		],
		[
			'each term from a different customer',
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

const createWithdrawal = (
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
	const lossWrite = budget.markLost({value: ledger, version: 1}, lost, 5);
	return {
		operationId: 'op',
		wave: 'w',
		instances: instances.map((value) => ({value, version: 7})),
		ledgers: new Map([
			['quote', {value: lossWrite?.value ?? ledger, version: 3}],
		]),
		servicesByPool,
		reserves: new Map([['quote', reserve]]),
	};
};

const [first, second] = [createInstance('i0'), createInstance('i1')];
const withdrawalTable: Array<[string, budget.WithdrawalRequest, string]> = [
	[
		'one instance within both terms',
		createWithdrawal([4, 1], [], [first]),
		'ok',
	],
	[
		'two instances where maxAway is 1',
		createWithdrawal([1, 1], [], [first, second]),
		'max-away',
	],
	[
		'two instances where maxAway is 2',
		createWithdrawal([3, 2], [], [first, second]),
		'ok',
	],
	[
		'the executors to keep',
		createWithdrawal([5, 2], [], [first]),
		'keep-executors',
	],
	[
		'a lost instance uses the budget',
		createWithdrawal([1, 1], ['i4'], [first]),
		'max-away',
	],
	[
		'a lost instance lowers the number that serve',
		createWithdrawal([4, 3], ['i4'], [first]),
		'keep-executors',
	],
	[
		'a reserve for a rack',
		createWithdrawal([4, 1], [], [first], 1),
		'keep-executors',
	],
	['a lost instance', createWithdrawal([1, 3], ['i0'], [first]), 'not-serving'],
	[
		'the same instance twice',
		createWithdrawal([1, 3], [], [first, first]),
		'not-serving',
	],
	[
		'an instance that is already away',
		createWithdrawal([1, 3], [], [createInstance('i0', 'quote', 'away')]),
		'not-serving',
	],
	[
		'a service without a ledger',
		{...createWithdrawal([1, 3], [], [first]), ledgers: new Map()},
		'no-ledger',
	],
];

for (const [name, request, expected] of withdrawalTable) {
	tap.t.test(`withdrawInstances: ${name}`, async (t) => {
		const result = budget.withdrawInstances(request, 10);
		t.equal(result.ok ? 'ok' : result.error.kind, expected);
		if (result.ok) {
			t.equal(result.value.writes.length, request.instances.length + 1);
			t.ok(result.value.writes.every(({when}) => when.kind === 'version'));
		}
	});
}

const evidenceTable: Array<[string, Partial<budget.ReturnEvidence>, string?]> =
	[
		['listed, restarted and probed', {}],
		['absent from the list', {listed: 'absent'}, 'not-listed'],
		['still leaving', {listed: 'leaving'}, 'not-listed'],
		['the old incarnation still listed', {incarnation: 'a'}, 'not-restarted'],
		['too few probes', {probesPassed: 2}, 'not-proved'],
		[
			'the previous incarnation is unknown',
			{incarnationBefore: ''},
			'not-restarted',
		],
	];

for (const [name, change, expected] of evidenceTable) {
	tap.t.test(`returnInstance: ${name}`, async (t) => {
		const result = budget.returnInstance({
			operationId: 'back',
			instance: {value: createInstance('i0', 'quote', 'returning'), version: 9},
			ledgers: createWithdrawal([1, 1], [], []).ledgers,
			servicesByPool,
			evidence: {...returnEvidence, ...change},
			settings: budget.returnDefaults,
		});
		t.equal(result.ok ? undefined : result.error.kind, expected);
	});
}

for (const state of ['serving', 'draining', 'away'] as const) {
	tap.t.test(`returnInstance: an instance that is ${state}`, async (t) => {
		const result = budget.returnInstance({
			operationId: 'back',
			instance: {value: createInstance('i0', 'quote', state), version: 9},
			ledgers: createWithdrawal([1, 1], [], []).ledgers,
			servicesByPool,
			evidence: returnEvidence,
			settings: budget.returnDefaults,
		});
		t.match(result, {ok: false, error: {kind: 'not-returning'}});
	});
}

tap.t.test('a worker is in no ledger', async (t) => {
	const worker: Instance = {...createInstance('x'), kind: 'worker'};
	const withdrawal = budget.withdrawInstances(
		createWithdrawal([5, 0], [], [worker]),
		10,
	);
	t.match(withdrawal, {value: {writes: [{table: budget.tables.instances}]}});
	t.match(withdrawal, {value: {writes: {length: 1}}});
});

tap.t.test(
	'a move withdraws the instance and then changes ledgers',
	async (t) => {
		const {ledgers} = createWithdrawal([4, 1], [], []);
		const otherLedger = budget.createLedger('rate', budget.noTerms, ['x']);
		const both = new Map([
			...ledgers,
			['rate', {value: otherLedger, version: 4}],
		]);
		const pools = new Map([...servicesByPool, ['rate', ['rate']]]);
		const request = {
			...createWithdrawal([4, 1], [], [createInstance('i0')]),
			wave: budget.noWaveId,
		};
		const withdrawn = budget.withdrawInLedgers(request, 10);
		t.ok(withdrawn.ok);
		t.match(withdrawn, {value: [{value: {entries: {i0: {kind: 'away'}}}}]});
		const ended = budget.moveLedgers({
			instance: createInstance('i0', 'quote', 'away'),
			to: 'rate',
			ledgers: both,
			servicesByPool: pools,
		});
		const entries = ended.ok ? ended.value.map(({value}) => value.entries) : [];
		t.notOk(entries[0]?.i0);
		t.match(entries[1], {i0: {kind: 'serving'}, x: {kind: 'serving'}});
	},
);

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

tap.t.test(
	'reserve: size of the largest failure domain of a kind',
	async (t) => {
		const instances = ['a0', 'b0', 'c1'].map((id) => createInstance(id));
		t.equal(budget.getReserve(instances, 'none'), 0);
		t.equal(budget.getReserve(instances, 'rack'), 1);
		t.equal(budget.getReserve(instances, 'availability-zone'), 2);
		t.equal(budget.getReserve([], 'rack'), 0);
	},
);
