import fc from 'fast-check';
import * as tap from 'tap';
import {
	defaultAttributionConfig,
	emptyAttribution,
	updateAttribution,
	type FailureAttribution,
	type AttributionEvent,
	type AttributionVerdict,
} from './failure-attribution.js';

const apply = (events: readonly AttributionEvent[]) => {
	let attribution: FailureAttribution = emptyAttribution;
	const verdicts: AttributionVerdict[] = [];
	for (const event of events) {
		const step = updateAttribution(attribution, event);
		attribution = step.attribution;
		verdicts.push(...step.verdicts);
	}

	return {attribution, verdicts};
};

const failed = (worker: string, job: string, at = 0): AttributionEvent => ({
	kind: 'failed',
	worker,
	job,
	at,
});

const succeeded = (worker: string, job: string): AttributionEvent => ({
	kind: 'succeeded',
	worker,
	job,
});

type Row = [name: string, events: AttributionEvent[], verdicts: string[]];

const {windowMs} = defaultAttributionConfig;

const cases: Row[] = [
	['two jobs fail on a worker', [failed('w', 'a'), failed('w', 'b')], []],
	[
		'a third job quarantines the worker',
		[failed('w', 'a'), failed('w', 'b'), failed('w', 'c')],
		['quarantine-worker w'],
	],
	[
		'one job that fails five times quarantines no worker',
		Array.from({length: 5}, () => failed('w', 'a')),
		[],
	],
	[
		'a job fails on three workers',
		[failed('u', 'a'), failed('v', 'a'), failed('w', 'a')],
		['park-job a'],
	],
	[
		'bad jobs do not quarantine a good worker',
		['a', 'b', 'c'].flatMap((job) => [
			failed('u', job),
			failed('v', job),
			failed('w', job),
		]),
		[
			...['park-job a', 'park-job b', 'quarantine-worker u'].slice(0, 2),
			'park-job c',
		],
	],
	[
		'a success clears the worker',
		[failed('w', 'a'), failed('w', 'b'), succeeded('w', 'c'), failed('w', 'd')],
		[],
	],
	[
		'a job that later runs elsewhere counts against the worker',
		[
			failed('w', 'a'),
			failed('v', 'a'),
			failed('w', 'b'),
			failed('w', 'c'),
			succeeded('u', 'a'),
		],
		['quarantine-worker w'],
	],
	[
		'old failures do not count',
		[failed('w', 'a'), failed('w', 'b'), failed('w', 'c', windowMs)],
		[],
	],
	[
		'quarantine of a worker releases a job that was parked because of it',
		[
			failed('w', 'a'),
			failed('v', 'a'),
			failed('u', 'a'),
			failed('w', 'b'),
			failed('w', 'c'),
			failed('w', 'd'),
		],
		['park-job a', 'quarantine-worker w', 'release-job a'],
	],
	[
		'failures on a quarantined worker do not count',
		[
			failed('w', 'a'),
			failed('w', 'b'),
			failed('w', 'c'),
			failed('w', 'd'),
			failed('u', 'd'),
			failed('v', 'd'),
		],
		['quarantine-worker w'],
	],
];

const format = (verdict: AttributionVerdict): string =>
	`${verdict.kind} ${'worker' in verdict ? verdict.worker : verdict.job}`;

for (const [name, events, verdicts] of cases) {
	tap.t.test(name, async (t) => {
		t.same(
			apply(events).verdicts.map((each) => format(each)),
			verdicts,
		);
	});
}

tap.t.test(
	'a worker that fails every task is quarantined within five tasks',
	async (t) => {
		const jobs = fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), {
			minLength: 5,
			maxLength: 5,
		});
		fc.assert(
			fc.property(jobs, (names) => {
				fc.pre(new Set(names).size > 2);
				const {attribution} = apply(names.map((job) => failed('w', job)));
				return attribution.quarantined.has('w');
			}),
			{seed: 3},
		);
		t.pass();
	},
);

tap.t.test('one bad job never quarantines a worker', async (t) => {
	const tasks = fc.array(
		fc.record({
			worker: fc.constantFrom('u', 'v', 'w', 'x'),
			isBad: fc.boolean(),
		}),
		{maxLength: 60},
	);
	fc.assert(
		fc.property(tasks, (events) => {
			const {attribution} = apply(
				events.map(({worker, isBad}, index) =>
					isBad ? failed(worker, 'bad') : succeeded(worker, `good-${index}`),
				),
			);
			return attribution.quarantined.size === 0;
		}),
		{seed: 3, numRuns: 1000},
	);
	t.pass();
});
