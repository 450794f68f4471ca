/**
 * Guards against answers to callers whose key could no longer be judged, or was
 * removed, while their call was under way.
 */
import {
	fail,
	succeed,
	type errors,
	type Result,
	type scheduler,
} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createId,
	createJobSpec,
	noLogger,
	now,
	route,
	testConfiguration,
} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import type {Caller} from './caller-access.js';
import {createJobService, type JobService} from './job-service.js';
import {createRoutes} from './routes.js';

const caller: Caller = {kind: 'team', team: 'one', keyHash: 'hash'};

type Verdict = Result<Caller, errors.ErrorKind>;

const valid: Verdict = succeed(caller);

const unconfirmed: Verdict = fail('configuration-unconfirmed');

const removed: Verdict = fail('unauthenticated');

const noCap = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** A service whose calls succeed, and whose caller is judged as given. */
const createService = (
	verdicts: readonly Verdict[],
	cap: scheduler.Resources = noCap,
) => {
	const left = [...verdicts];
	const submitted: string[] = [];
	const routes = createRoutes();
	routes.apply({
		...testConfiguration,
		teams: [{name: 'one', keyHashes: ['hash'], weight: 1, cap}],
	});
	const service = createJobService({
		routes,
		history: {
			listServices: () => ['s'],
			load: async () => true,
			refresh: async () => true,
		},
		submissions: {
			submit: async () => ({kind: 'not-stored'}),
		},
		owners: {
			sendRows: async () => true,
			readJob: async () => ({kind: 'state', state: 'running', team: 'one'}),
			countPending: async () => 0,
			evacuate: async () => undefined,
			releaseEvacuation: async () => undefined,
			async submit({job}) {
				submitted.push(job.id);
				return {kind: 'accepted', isRepeat: false};
			},
			readLoad: async () => undefined,
		},
		tombstones: {put: async () => ({kind: 'buried'})},
		access: {verify: () => left.shift() ?? removed},
		store: ports.createMemoryRowStore(),
		clock: {now, epochNow: () => Date.now()},
		logger: noLogger,
		metrics: createJobMetrics(),
		submitThroughPeer: async () => undefined,
		cancelThroughPeer: async () => 'cancelled',
	});
	return {service, submitted};
};

const id = createId(1);

const calls = {
	submit: async (service: JobService) =>
		service.submit(route, {id, spec: createJobSpec()}, now() + 1000, caller),
	state: async (service: JobService) => service.readState(route, id, caller),
	cancel: async (service: JobService) =>
		service.cancel(route, id, now() + 1000, caller),
} as const;

const cases: ReadonlyArray<{
	readonly name: string;
	readonly call: keyof typeof calls;
	readonly verdicts: readonly Verdict[];
	readonly outcome: string;
	readonly isSubmitted?: boolean;
}> = [
	{
		name: 'a submission with a valid key',
		call: 'submit',
		verdicts: [valid, valid],
		outcome: 'ok',
		isSubmitted: true,
	},
	{
		name: 'a submission whose body arrived after a pause',
		call: 'submit',
		verdicts: [unconfirmed],
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'a submission whose key was removed before its body arrived',
		call: 'submit',
		verdicts: [removed],
		outcome: 'unauthenticated',
	},
	{
		name: 'a submission that was stored before a pause: it may run',
		call: 'submit',
		verdicts: [valid, unconfirmed],
		outcome: 'submission-unknown',
		isSubmitted: true,
	},
	{
		name: 'a state that was read before a pause',
		call: 'state',
		verdicts: [unconfirmed],
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'a state whose key was removed meanwhile',
		call: 'state',
		verdicts: [removed],
		outcome: 'unauthenticated',
	},
	{
		name: 'a cancellation after a pause',
		call: 'cancel',
		verdicts: [unconfirmed],
		outcome: 'configuration-unconfirmed',
	},
];

for (const {name, call, verdicts, outcome, isSubmitted = false} of cases) {
	tap.t.test(name, async (t) => {
		const {service, submitted} = createService(verdicts);
		const result = await calls[call](service);
		t.equal(result.ok ? 'ok' : result.error, outcome);
		t.same(submitted, isSubmitted ? [id] : []);
	});
}

const capCases: ReadonlyArray<{
	readonly name: string;
	readonly cap: scheduler.Resources;
	readonly outcome: string;
}> = [
	{name: 'no cap', cap: noCap, outcome: 'ok'},
	{
		name: 'a cap that its task just fits into',
		cap: {...noCap, cpuMillis: 100, memoryMb: 10},
		outcome: 'ok',
	},
	{
		name: 'a cap that its task exceeds in one resource',
		cap: {...noCap, cpuMillis: 900, memoryMb: 9},
		outcome: 'over-cap',
	},
];

for (const {name, cap, outcome} of capCases) {
	tap.t.test(`a submission under ${name}`, async (t) => {
		const {service, submitted} = createService([valid, valid], cap);
		const result = await calls.submit(service);
		t.equal(result.ok ? 'ok' : result.error, outcome);
		t.equal(submitted.length, result.ok ? 1 : 0);
	});
}
