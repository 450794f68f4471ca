import * as tap from 'tap';
import {createSpec} from '../job-world.test.fixture.js';
import {isSameJob} from './submissions.js';

const policy = {
	queue: 'q',
	priority: 0,
	maxAttempts: 2,
	stretch: 2,
	targetLatencyMs: 600,
	needsAdvice: false,
};

const job = {id: '0', policy, spec: createSpec(), acceptedAtEpochMs: 1};

const [step] = job.spec.steps;

/** The same fields in another order, and those without a value left out. */
const reorder = (fields: object): object =>
	Object.fromEntries(
		Object.entries(fields)
			.filter(([, value]) => value !== undefined)
			.toReversed(),
	);

const cases = [
	['itself', job, true],
	['handed in later', {...job, acceptedAtEpochMs: 99}, true],
	[
		'with its fields in another order',
		{
			...job,
			spec: {
				...(reorder(job.spec) as typeof job.spec),
				steps: [reorder(step!) as typeof step],
			},
		},
		true,
	],
	['under a changed policy', {...job, policy: {...policy, priority: 1}}, true],
	['in another queue', {...job, policy: {...policy, queue: 'r'}}, false],
	['with another payload', {...job, spec: {...job.spec, payload: 'x'}}, false],
	[
		'with another count',
		{...job, spec: {...job.spec, steps: [{...step!, count: 2}]}},
		false,
	],
] as const;

for (const [name, other, isSame] of cases) {
	tap.t.test(`a job and one ${name}`, async (t) => {
		t.equal(isSameJob(job, other as typeof job), isSame);
	});
}
