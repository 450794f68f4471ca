/**
 * Guards against reporting an executor as terminated that has started again
 * under its id and is not on the platform's list yet.
 */
import type {scheduler} from '@gullstand/core';
import type {Machine} from '@gullstand/ports';
import * as tap from 'tap';
import {noLogger} from '../job-daemon.test.fixture.js';
import {
	reportTerminated,
	type FleetContext,
	type FleetView,
	type ListedExecutorIds,
} from './fleet-context.js';

/** One round: whether the executor is listed, and for how long it is silent. */
type Round = {
	readonly isListed: boolean;
	readonly unresponsiveMs?: number;
	readonly isReported: boolean;
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly rounds: readonly Round[];
}> = [
	{
		name: 'was listed and is no longer',
		rounds: [
			{isListed: true, isReported: false},
			{isListed: true, unresponsiveMs: 500, isReported: false},
			{isListed: false, unresponsiveMs: 700, isReported: true},
			{isListed: false, unresponsiveMs: 900, isReported: true},
		],
	},
	{
		name: 'has started again and is not listed yet',
		rounds: [
			{isListed: true, isReported: false},
			{isListed: false, unresponsiveMs: 700, isReported: true},
			{isListed: false, isReported: false},
			{isListed: false, unresponsiveMs: 700, isReported: false},
			{isListed: false, unresponsiveMs: 3500, isReported: true},
		],
	},
];

const machine: Machine = {
	id: 'm',
	pool: 's',
	state: 'up',
	availabilityZone: 'a',
	labels: [],
	capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
	executorId: undefined,
};

const createView = ({isListed, unresponsiveMs}: Round): FleetView => {
	const load: Pick<scheduler.ServiceLoad, 'silent'> = {
		silent: unresponsiveMs === undefined ? {} : {x: unresponsiveMs},
	};
	return {
		requestedAt: 0,
		machines: new Map([
			['m', {...machine, executorId: isListed ? 'x' : undefined}],
		]),
		loads: new Map([['s', load as scheduler.ServiceLoad]]),
	};
};

for (const {name, rounds} of cases) {
	tap.t.test(`an executor that ${name}`, async (t) => {
		const listedIds: ListedExecutorIds = new Set();
		const reported: string[] = [];
		const context = {
			owners: {
				async reportTerminated(_shard: string, id: string) {
					reported.push(id);
				},
			},
			clock: {now: () => 0, epochNow: () => 0},
			logger: noLogger,
		} as unknown as FleetContext;
		for (const round of rounds) {
			reported.length = 0;
			await reportTerminated(context, createView(round), listedIds);
			t.same(reported, round.isReported ? ['x'] : []);
		}
	});
}
