/** Each checker accepts correct records and reports broken ones. */
import * as tap from 'tap';
import type {Contract, Instance, InstanceState, Service} from '@gullstand/core';
import {checkedProperties} from './checkers.js';
import {
	emptyRecords,
	type AnswerRecord,
	type Records,
	type RunRecord,
	type StoreRecord,
} from './records.js';

const contract: Contract = {
	customer: 'brokers',
	weight: 1,
	tokenHashes: [],
	services: [
		{
			service: 'quoting',
			keepExecutors: 1,
			maxAway: 1,
			answerWithinMs: 500,
			requestsPerSecond: 1,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const service: Service = {
	name: 'quoting',
	pool: 'p',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: []},
};

const row = (
	at: number,
	id: string,
	state: InstanceState,
	pool = 'p',
): StoreRecord => {
	const value: Instance = {
		id,
		kind: 'executor',
		address: '127.0.0.1:1',
		region: 'r',
		availabilityZone: 'z',
		rack: 'k',
		pool,
		epoch: at,
		state,
	};
	return {at, kind: 'instance', value};
};

const fleet: StoreRecord[] = [
	{at: 0, kind: 'contract', value: contract},
	{at: 0, kind: 'service', value: service},
	row(0, 'a', 'serving'),
	row(0, 'b', 'serving'),
	row(0, 'c', 'serving'),
];

const run = (change: Partial<RunRecord> = {}): RunRecord => ({
	executor: 'a',
	requestId: '1',
	pool: 'p',
	startedAt: 10,
	endedAt: 20,
	...change,
});

const answer = (change: Partial<AnswerRecord> = {}): AnswerRecord => ({
	requestId: '1',
	outcome: 'ran',
	expectedBody: 'x',
	body: 'x',
	isExecutorAnswer: true,
	...change,
});

type Row = [
	property: string,
	name: string,
	records: Partial<Records>,
	violations: number,
];

const budget = 'no availability budget is overspent';
const onePool = 'each instance belongs to exactly one pool';
const whole = 'whole answers to their own requests';
const notRun = 'told not-run means not run';
const once = 'what may not be repeated runs at most once';
const leaving = 'a leaving upstream receives no new work';
const graceful = 'a planned stop cuts off no request';
const changes = 'an accepted change is in force and never reverts';

const withdrawal = row(100, 'a', 'draining');
const probe = (at: number, change: number) => ({at, entry: 'e', change});

const table: Row[] = [
	[budget, 'one withdrawn', {store: [...fleet, withdrawal]}, 0],
	[
		budget,
		'two withdrawn',
		{store: [...fleet, withdrawal, row(101, 'b', 'draining')]},
		1,
	],
	[
		budget,
		'one withdrawn while two are lost',
		{
			store: [...fleet, withdrawal],
			losses: [
				{at: 1, instance: 'b', isLost: true},
				{at: 2, instance: 'c', isLost: true},
			],
		},
		1,
	],
	[
		budget,
		'one withdrawn after a lost one returned',
		{
			store: [...fleet, withdrawal],
			losses: [
				{at: 1, instance: 'b', isLost: true},
				{at: 2, instance: 'c', isLost: true},
				{at: 3, instance: 'c', isLost: false},
			],
		},
		0,
	],
	[onePool, 'a run in its pool', {store: fleet, runs: [run()]}, 0],
	[
		onePool,
		'a run of another pool',
		{store: fleet, runs: [run({pool: 'q'})]},
		1,
	],
	[
		onePool,
		'a run that spans a move',
		{
			store: [...fleet, row(5, 'a', 'away'), row(15, 'a', 'away', 'q')],
			runs: [run()],
		},
		1,
	],
	[
		onePool,
		'a move of a serving instance',
		{store: [...fleet, row(5, 'a', 'serving', 'q')]},
		1,
	],
	[whole, 'its own answer', {answers: [answer()]}, 0],
	[whole, 'a truncated answer', {answers: [answer({body: ''})]}, 1],
	[
		notRun,
		'refused and not run',
		{answers: [answer({outcome: 'not-run'})], runs: [run({requestId: '2'})]},
		0,
	],
	[
		notRun,
		'reported as not-run, but ran',
		{answers: [answer({outcome: 'not-run'})], runs: [run()]},
		1,
	],
	[once, 'two keys', {runs: [run({key: 'k'}), run({key: 'l'})]}, 0],
	[once, 'one key twice', {runs: [run({key: 'k'}), run({key: 'k'})]}, 1],
	[
		leaving,
		'work within the bound',
		{store: [...fleet, withdrawal], runs: [run({startedAt: 3000})]},
		0,
	],
	[
		leaving,
		'work after the bound',
		{store: [...fleet, withdrawal], runs: [run({startedAt: 3200})]},
		1,
	],
	[
		leaving,
		'work after it returned',
		{
			store: [...fleet, withdrawal, row(3100, 'a', 'serving')],
			runs: [run({startedAt: 3200})],
		},
		0,
	],
	[
		graceful,
		'a stop after the last request',
		{reboots: [{at: 20, instance: 'a'}], runs: [run()]},
		0,
	],
	[
		graceful,
		'a stop within a request',
		{reboots: [{at: 15, instance: 'a'}], runs: [run()]},
		1,
	],
	[
		graceful,
		'a request that never ended',
		{
			reboots: [{at: 15, instance: 'a'}],
			runs: [{executor: 'a', requestId: '1', pool: 'p', startedAt: 10}],
		},
		1,
	],
	[
		changes,
		'in force in time',
		{acceptances: [{at: 0, change: 1}], probes: [probe(1, 0), probe(9, 1)]},
		0,
	],
	[changes, 'reverted', {probes: [probe(1, 2), probe(2, 1)]}, 1],
	[
		changes,
		'not in force in time',
		{acceptances: [{at: 0, change: 1}], probes: [probe(20_000, 0)]},
		1,
	],
];

for (const [property, name, records, violations] of table) {
	tap.t.test(`${property}: ${name}`, async (t) => {
		const checked = checkedProperties.find(
			(each) => each.property === property,
		);
		const verdict = checked?.checkRecords({...emptyRecords, ...records});
		t.equal(verdict?.violations.length, violations);
		t.ok(verdict && verdict.checked > 0, 'something was checked');
	});
}

tap.t.test('every checker has a passing and a failing case', async (t) => {
	for (const {property} of checkedProperties) {
		const counts = table.filter((each) => each[0] === property);
		t.ok(counts.some((each) => each[3] > 0));
		t.ok(counts.some((each) => each[3] === 0));
	}
});
