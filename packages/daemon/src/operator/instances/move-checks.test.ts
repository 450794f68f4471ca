import * as tap from 'tap';
import * as core from '@gullstand/core';
import type {Contract, Instance, InstanceState, View} from '@gullstand/core';
import {findLeaveProblems} from './move-checks.js';

const createInstance = (id: string, state: InstanceState): Instance => ({
	id,
	state,
	kind: 'executor',
	address: '127.0.0.1:1',
	pool: 'p',
	epoch: 1,
	region: 'r',
	availabilityZone: 'z',
	rack: 'k',
});

const createView = (
	states: readonly InstanceState[],
	keepExecutors: number,
	maxAway: number,
): View => {
	const contract: Contract = {
		customer: 'north',
		weight: 1,
		tokenHashes: [],
		services: [
			{
				service: 's',
				keepExecutors,
				maxAway,
				answerWithinMs: 1,
				requestsPerSecond: 1,
			},
		],
		jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1},
	};
	const service = {
		name: 's',
		pool: 'p',
		slotsPerExecutor: 1,
		connectionsPerExecutor: 1,
		idempotent: true,
		nonRepeatableRoutes: [],
		refusal: {statuses: []},
	};
	const instances = states.map((state, index) =>
		createInstance(`x${index}`, state),
	);
	return {
		...core.emptyView,
		contracts: new Map([['north', contract]]),
		services: new Map([['s', service]]),
		instances: new Map(instances.map((each) => [each.id, each])),
	};
};

const serving = 'serving';

const cases: Array<[string, View, string[]]> = [
	[
		'enough executors remain',
		createView([serving, serving, serving], 2, 1),
		[],
	],
	[
		'too few executors remain',
		createView([serving, serving], 2, 1),
		['keep-executors'],
	],
	[
		'one is already draining',
		createView([serving, serving, serving, 'draining'], 2, 1),
		['max-away'],
	],
	[
		'one is away and too few remain',
		createView([serving, serving, 'away'], 2, 1),
		['keep-executors', 'max-away'],
	],
	['none may be away', createView([serving, serving], 1, 0), ['max-away']],
];

for (const [name, view, expected] of cases) {
	tap.t.test(`a move out of a pool: ${name}`, async (t) => {
		const problems = findLeaveProblems(view, view.instances.get('x0')!);
		t.same(
			problems.map(({problem}) => problem),
			expected,
		);
		const worker = {...view.instances.get('x0')!, kind: 'worker' as const};
		t.same(findLeaveProblems(view, worker), []);
	});
}

tap.t.test('an executor not listed as live counts as away', async (t) => {
	const view = createView([serving, serving, serving], 2, 1);
	const moved = view.instances.get('x0')!;
	const all = new Set(['x0', 'x1', 'x2']);
	t.same(findLeaveProblems(view, moved, all), []);
	const problems = findLeaveProblems(view, moved, new Set(['x0', 'x1']));
	t.same(
		problems.map(({problem, after}) => [problem, after]),
		[
			['keep-executors', 1],
			['max-away', 2],
		],
	);
});
