import fc from 'fast-check';
import * as tap from 'tap';
import {emptyView, type Contract, type Service} from '@gullstand/core';
import {selectAnswerHeaders, selectRequestHeaders} from './headers.js';
import {hashToken, indexTokens, parseHead} from './parse-call.js';

const service: Service = {
	name: 'claims',
	pool: 'claims',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: ['/intake'],
	refusal: {statuses: [503]},
};

const contract: Contract = {
	customer: 'brokers',
	weight: 1,
	tokenHashes: [hashToken('secret')],
	services: [
		{
			service: 'claims',
			keepExecutors: 1,
			maxAway: 1,
			answerWithinMs: 500,
			requestsPerSecond: 1,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const view = {
	...emptyView,
	services: new Map([[service.name, service]]),
	contracts: new Map([[contract.customer, contract]]),
};

const index = indexTokens(view);

const parse = (url: string, headers: Record<string, string | string[]>) =>
	parseHead({method: 'GET', url, headers}, view, (hash) => index.get(hash));

const authorization = 'Bearer secret';

const routes: Array<[url: string, path: string, idempotent: boolean]> = [
	['/s/claims', '/', true],
	['/s/claims?a=1', '/?a=1', true],
	['/s/claims/list', '/list', true],
	['/s/claims/intake', '/intake', false],
	['/s/claims/intake/7?x=%00', '/intake/7?x=%00', false],
	// Paths that an executor may normalize to a non-repeatable route.
	['/s/claims//intake', '//intake', false],
	['/s/claims/./intake', '/./intake', false],
	['/s/claims/a/../intake', '/a/../intake', false],
	['/s/claims/%69ntake', '/%69ntake', false],
	['/s/claims/INTAKE', '/INTAKE', false],
	['/s/claims/%2569ntake', '/%2569ntake', true],
	['/s/claims/%zz', '/%zz', false],
];

for (const [url, path, idempotent] of routes) {
	tap.t.test(`reads ${url}`, async (t) => {
		const head = parse(url, {authorization});
		t.ok(head.ok);
		t.match(head.ok && head.value, {path, idempotent, budgetMs: 500});
	});
}

const header = fc.oneof(fc.string(), fc.array(fc.string(), {maxLength: 3}));

const headers = fc.dictionary(
	fc.oneof(
		fc.constantFrom(
			'authorization',
			'connection',
			'gullstand-service',
			'gullstand-class',
			'gullstand-deadline-ms',
			'gullstand-customer',
		),
		fc.string(),
	),
	header,
);

const runs = {seed: 7, numRuns: 2000};

tap.t.test('requests without the token are refused', async (t) => {
	fc.assert(
		fc.property(fc.string(), headers, (url, fields) => {
			const {authorization: found} = fields;
			fc.pre(found !== authorization);
			return !parse(url, fields).ok;
		}),
		runs,
	);
	t.pass();
});

tap.t.test('budgets are positive integers within the terms', async (t) => {
	fc.assert(
		fc.property(fc.oneof(fc.string(), fc.nat().map(String)), (text) => {
			const head = parse('/s/claims/', {
				authorization,
				'gullstand-deadline-ms': text,
			});
			return (
				!head.ok ||
				(Number.isInteger(head.value.budgetMs) &&
					head.value.budgetMs > 0 &&
					head.value.budgetMs <= 500)
			);
		}),
		runs,
	);
	t.pass();
});

tap.t.test('connection headers are not forwarded', async (t) => {
	fc.assert(
		fc.property(headers, (fields) => {
			const kept = selectRequestHeaders(fields);
			const answered = selectAnswerHeaders(fields);
			return (
				!('connection' in kept) &&
				!('authorization' in kept) &&
				answered.every(([name]) => !name.startsWith('gullstand-'))
			);
		}),
		runs,
	);
	t.same(
		selectRequestHeaders({connection: 'X-Hop, close', 'x-hop': '1', a: '2'}),
		{
			a: '2',
		},
	);
});
