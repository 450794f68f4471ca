import * as tap from 'tap';
import {createAccepted} from '../owner.test.fixture.js';
import {checkJob, isJobId, jobLimits} from '../index.js';

const valid = createAccepted('a', [{}, {after: [0]}]).spec;
const [first, second] = valid.steps;

const cases = [
	['a valid job', valid, undefined],
	['no steps', {...valid, steps: []}, 'steps'],
	[
		'a step after itself',
		{...valid, steps: [first!, {...second!, after: [1]}]},
		'steps.1.after',
	],
	[
		'a step after a later one',
		{...valid, steps: [{...first!, after: [1]}, second!]},
		'steps.0.after',
	],
	[
		'too many tasks in a step',
		{
			...valid,
			steps: [{...first!, count: jobLimits.maxTasksPerStep + 1}],
		},
		'steps.0.count',
	],
	[
		'no tasks in a step',
		{...valid, steps: [{...first!, count: 0}]},
		'steps.0.count',
	],
	[
		'too many tasks in total',
		{
			...valid,
			steps: [1, 2, 3].map(() => ({
				...first!,
				count: jobLimits.maxTasksPerStep,
			})),
		},
		'steps',
	],
	[
		'a payload of too many bytes',
		{...valid, payload: 'é'.repeat(jobLimits.maxPayloadBytes / 2 + 1)},
		'spec',
	],
	[
		'too many occurrences',
		{...valid, schedule: {times: 1e9, startAtEpochMs: 0, intervalMs: 1}},
		'times',
	],
] as const;

for (const [name, spec, field] of cases) {
	tap.t.test(name, async (t) => {
		const checked = checkJob(spec);
		t.equal(checked.ok ? undefined : checked.error.field, field);
	});
}

const ids = [
	['0123456789abcdef', true],
	['0123456789ABCDEF', false],
	['0123456789abcde', false],
	['0123456789abcdef0', false],
	['0123456789abcdeg', false],
	['', false],
] as const;

for (const [id, isId] of ids) {
	tap.t.test(`'${id}' as a job id`, async (t) => {
		t.equal(isJobId(id), isId);
	});
}
