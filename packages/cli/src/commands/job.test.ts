import * as tap from 'tap';
import {startFixture} from './commands.test.fixture.js';
import {exitCodes} from './io.js';

const id = '0123456789abcdef';

const job = `
payload = "a schedule of works"
[[steps]]
count = 2
cpuMillis = 500
memoryMb = 256
[[steps]]
cpuMillis = 99000
memoryMb = 256
after = [0]
`;

type Row = readonly [
	name: string,
	words: readonly string[],
	code: number,
	text: RegExp,
];

tap.t.test('jobs on the command line', async (t) => {
	const {run, write} = await startFixture(t);
	const file = await write('job.toml', job);
	const selfDependent = await write(
		'bad.toml',
		job.replace('after = [0]', 'after = [1]'),
	);
	const unknownField = await write('odd.toml', `colour = "red"\n${job}`);
	const rows: readonly Row[] = [
		[
			'submit',
			['job', 'submit', 'rating', file, '--id', id],
			exitCodes.done,
			/^0123456789abcdef$/v,
		],
		[
			'submit again',
			['job', 'submit', 'rating', file, '--id', id],
			exitCodes.done,
			/accepted before/v,
		],
		[
			'another job under the id',
			[
				'job',
				'submit',
				'rating',
				await write('other.toml', job.replace('count = 2', 'count = 3')),
				'--id',
				id,
			],
			exitCodes.conflict,
			/job-conflict/v,
		],
		[
			'teams',
			['team', 'list'],
			exitCodes.done,
			/^brokers: weight 10, 1 keys, cap 8 cores, 0 MB, 0 accelerators$/v,
		],
		[
			'no such queue',
			['job', 'submit', 'none', file, '--id', id],
			exitCodes.failed,
			/unknown-queue/v,
		],
		[
			'an invalid id',
			['job', 'submit', 'rating', file, '--id', 'x'],
			exitCodes.usage,
			/16 hexadecimal digits/v,
		],
		[
			'a step that depends on itself',
			['job', 'submit', 'rating', selfDependent],
			exitCodes.usage,
			/steps\.1\.after 1 is not an earlier step/v,
		],
		[
			'an unknown field',
			['job', 'submit', 'rating', unknownField],
			exitCodes.usage,
			/colour/v,
		],
		[
			'show',
			['job', 'show', 'rating', id],
			exitCodes.done,
			/0123456789abcdef (?:queued|running)/v,
		],
		[
			'show an unknown job',
			['job', 'show', 'rating', 'f'.repeat(16)],
			exitCodes.failed,
			/unknown-job/v,
		],
	];
	for (const [name, words, code, text] of rows) {
		await t.test(name, async (t) => {
			const done = await run(...words);
			t.equal(done.code, code, done.text);
			t.match(done.text, text);
		});
	}

	await t.test('list, once the service has an owner', async (t) => {
		for (;;) {
			const {code, text} = await run('job', 'list');
			if (code !== exitCodes.done || text !== '') {
				t.equal(code, exitCodes.done, text);
				t.match(text, /0123456789abcdef rating/v);
				return;
			}
		}
	});

	await t.test('explain names the step that can never be placed', async (t) => {
		for (;;) {
			const {text} = await run('explain', 'rating', id);
			if (text.includes('no executor is large enough')) {
				t.match(text, /0\.0\.0 done/v);
				return;
			}

			await new Promise((resolve) => {
				setTimeout(resolve, 20);
			});
		}
	});

	await t.test('cancel', async (t) => {
		const cancelled = await run('job', 'cancel', 'rating', id);
		t.equal(cancelled.code, exitCodes.done);
		const shown = await run('job', 'show', 'rating', id);
		t.match(shown.text, /cancelled/v);
	});
});
