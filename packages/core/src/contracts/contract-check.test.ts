import {Buffer} from 'node:buffer';
import * as tap from 'tap';
import type {Contract, ServiceTerms} from '../types/contract.js';
import type {Instance} from '../types/instance.js';
import type {Service} from '../types/service.js';
import type {View} from '../types/view.js';
import {checkContract, type MeasuredCapacity} from './contract-check.js';
import {findBlockingContracts, listCustomersOfService} from './pool-check.js';
import {getAwayAllowance, getServicePromise} from './service-promise.js';

const createTerms = (terms: Partial<ServiceTerms> = {}): ServiceTerms => ({
	service: 'quote',
	keepExecutors: 4,
	maxAway: 2,
	answerWithinMs: 500,
	requestsPerSecond: 100,
	...terms,
});

const createHash = (text: string) =>
	Buffer.from(text.padEnd(32, '.')).toString('hex').slice(0, 64);

const createContract = (
	customer: string,
	terms: Partial<ServiceTerms> = {},
	cores = 0,
): Contract => ({
	customer,
	weight: 1,
	tokenHashes: [createHash(customer)],
	services: [createTerms(terms)],
	jobs: {cores, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
});

const service: Service = {
	name: 'quote',
	pool: 'quoting',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
};

const createExecutor = (id: string): Instance => ({
	id,
	kind: 'executor',
	address: '127.0.0.1:1',
	pool: 'quoting',
	epoch: 1,
	state: 'serving',
	region: 'r',
	availabilityZone: 'a',
	rack: 'k',
});

const createView = (...contracts: Contract[]): View => ({
	revision: 1,
	contracts: new Map(contracts.map((each) => [each.customer, each])),
	services: new Map([['quote', service]]),
	instances: new Map(
		['a', 'b', 'c', 'd', 'e', 'f'].map((id) => [id, createExecutor(id)]),
	),
});

const existing = createView(
	createContract('north', {requestsPerSecond: 300}, 20),
	createContract('south', {requestsPerSecond: 150, keepExecutors: 5}, 50),
);

const capacity: MeasuredCapacity = {
	executorRates: new Map([['quote', 100]]),
	workers: {cores: 100, memoryMb: 100, accelerators: 0},
};

const cases: ReadonlyArray<readonly [string, Contract, object[]]> = [
	['fits', createContract('west', {requestsPerSecond: 50}, 30), []],
	['replaces its own terms', createContract('north', {}, 50), []],
	[
		'more executors than the pool has',
		createContract('west', {keepExecutors: 7, requestsPerSecond: 0}),
		[{kind: 'pool-too-small', pool: 'quoting', needed: 7, executors: 6}],
	],
	[
		'names the one conflicting contract',
		createContract('west', {requestsPerSecond: 200}),
		[{kind: 'rate-too-high', needed: 650, capacity: 500, inTheWay: ['north']}],
	],
	[
		'names both conflicting contracts',
		createContract('west', {requestsPerSecond: 400}),
		[{kind: 'rate-too-high', inTheWay: ['north', 'south']}],
	],
	[
		'names no other contract if its own rate is too high',
		createContract('west', {requestsPerSecond: 501}),
		[{kind: 'rate-too-high', inTheWay: []}],
	],
	[
		'cores used by other contracts',
		createContract('west', {requestsPerSecond: 0}, 40),
		[{kind: 'jobs-too-large', resource: 'cores', inTheWay: ['south']}],
	],
	[
		'unknown service',
		createContract('west', {service: 'none'}),
		[{kind: 'unknown-service', service: 'none'}],
	],
	[
		'malformed fields',
		{...createContract('', {maxAway: -1, answerWithinMs: 0}), weight: 0},
		[
			{kind: 'malformed', field: 'customer'},
			{kind: 'malformed', field: 'weight'},
			{kind: 'malformed', field: 'services[0].maxAway'},
			{kind: 'malformed', field: 'services[0].answerWithinMs'},
		],
	],
	[
		'a token that is not a hash, besides one of another customer',
		{...createContract('west'), tokenHashes: [createHash('south'), 'secret']},
		[{kind: 'malformed', field: 'tokenHashes[1]'}],
	],
	[
		'a token of another customer',
		{
			...createContract('west', {requestsPerSecond: 0}),
			tokenHashes: [createHash('west'), createHash('south')],
		},
		[{kind: 'token-taken', customer: 'south', index: 1}],
	],
	[
		'the same service twice',
		{...createContract('west'), services: [createTerms(), createTerms()]},
		[{kind: 'malformed', field: 'services[1].service'}],
	],
];

for (const [name, contract, wanted] of cases) {
	tap.t.test(name, async (t) => {
		const problems = checkContract(contract, existing, capacity);
		t.equal(problems.length, wanted.length);
		t.match(problems, wanted);
	});
}

tap.t.test('the strictest terms of a service apply', async (t) => {
	const promise = getServicePromise(existing.contracts.values(), 'quote')!;
	t.match(promise, {
		keepExecutors: {value: 5, customer: 'south'},
		maxAway: {value: 2, customer: 'north'},
		requestsPerSecond: 450,
	});
	t.same(getAwayAllowance(promise, 6), {value: 1, customer: 'south'});
	t.same(getAwayAllowance(promise, 9), {value: 2, customer: 'north'});
	t.equal(getServicePromise(existing.contracts.values(), 'none'), undefined);
});

tap.t.test('contracts block the removal of executors', async (t) => {
	t.same(findBlockingContracts(existing, 'quoting', 1), []);
	t.match(findBlockingContracts(existing, 'quoting', 2), [
		{customer: 'south', keepExecutors: 5, executorsLeft: 4},
	]);
	t.same(listCustomersOfService(existing, 'quote'), ['north', 'south']);
});
