/**
 * Guards against jobs that never start: their calls to the advice service were
 * given up as they waited in line and sent again, so that the service worked for
 * callers that had gone.
 */
import {performance} from 'node:perf_hooks';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createTestPlatform,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {startOwnedService} from './owned-services.test.fixture.js';

tap.t.setTimeout(90_000);

type Case = {
	readonly name: string;
	readonly jobs: number;
	readonly executors: number;
	readonly times: ports.AdviceTimes;
	/** How the service fails at first, and for how long. */
	readonly fault?: ports.AdviceFault & {readonly forMs: number};
	/** By when all jobs have started. */
	readonly maxMs: number;
	/** Most calls that are sent, and those of them that nobody hears. */
	readonly maxCalls: number;
	readonly maxUnheard: number;
};

const usual = {decisionMs: 400, eachMs: 10, validMs: 3000} as const;

const cases: readonly Case[] = [
	{
		name: 'many jobs come at once',
		jobs: 24,
		executors: 8,
		times: usual,
		maxMs: 14_000,
		maxCalls: 24,
		maxUnheard: 0,
	},
	{
		name: 'the executors take the service longer than the decision',
		jobs: 1,
		executors: 32,
		times: {...usual, eachMs: 150},
		maxMs: 3000,
		maxCalls: 1,
		maxUnheard: 0,
	},
	{
		name: 'the service answers nothing for some time',
		jobs: 6,
		executors: 4,
		times: {...usual, decisionMs: 200},
		fault: {kind: 'silent', forMs: 3000},
		maxMs: 9000,
		maxCalls: 12,
		maxUnheard: 0,
	},
	{
		name: 'the service refuses calls for some time',
		jobs: 6,
		executors: 4,
		times: {...usual, decisionMs: 200},
		fault: {kind: 'busy', forMs: 3000},
		maxMs: 9000,
		maxCalls: 13,
		maxUnheard: 0,
	},
	{
		name: 'the service takes longer than it states',
		jobs: 4,
		executors: 4,
		times: usual,
		fault: {kind: 'slow', factor: 6, forMs: 60_000},
		maxMs: 14_000,
		maxCalls: 6,
		maxUnheard: 0,
	},
];

for (const each of cases) {
	tap.t.test(
		`jobs that need placement advice start: ${each.name}`,
		async (t) => {
			const {jobs, fault, times, executors, maxMs} = each;
			const ids = Array.from({length: executors}, (_, index) => `x${index}`);
			const platform = createTestPlatform(ids);
			const advice = ports.createMemoryAdvice(times);
			advice.setFault(fault);
			const {decisionMs, eachMs} = times;
			const accepted = Array.from({length: jobs}, (_, index) => {
				const job = createAcceptedJob(createId(index + 1));
				return {
					...job,
					policy: {
						...job.policy,
						needsAdvice: true,
						adviceCost: {decisionMs, eachMs},
					},
				};
			});
			await startOwnedService(t, platform, accepted, {advice});
			const from = performance.now();
			if (fault) {
				setTimeout(() => {
					advice.setFault(undefined);
				}, fault.forMs).unref();
			}

			const countStarted = () =>
				new Set(platform.executors.listStarts().map(({taskId}) => taskId)).size;
			await waitUntil(
				`${jobs} starts`,
				() => countStarted() === jobs,
				2 * maxMs,
			);
			const tookMs = Math.round(performance.now() - from);
			const calls = advice.listCalls();
			const unheard = calls.filter(({outcome}) => outcome === 'unheard').length;
			t.ok(tookMs <= maxMs, `all have started after ${tookMs} ms`);
			t.ok(calls.length <= each.maxCalls, `${calls.length} calls`);
			t.ok(unheard <= each.maxUnheard, `${unheard} of callers that have gone`);
		},
	);
}
