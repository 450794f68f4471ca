import {execFileSync} from 'node:child_process';
import * as tap from 'tap';
import {bench} from './soak.js';
import {root} from './soak/environment.js';
import {playOddEntries} from './soak/odd-entries.js';

const maxMs = 240_000;

tap.t.setTimeout(4 * maxMs);

tap.t.before(() => {
	execFileSync('npm', ['run', '--silent', 'bundle'], {cwd: root});
});

const cases: ReadonlyArray<
	readonly [
		name: string,
		seed: number,
		only: readonly string[] | undefined,
		plays: readonly string[],
	]
> = [
	[
		'no accepted job is lost, run twice or left standing while processes, the store and executors fail',
		1,
		undefined,
		['cut', 'back', 'machine moves', 'upkeep begins'],
	],
	[
		'executors that were cut off and are listed as down meanwhile are used again',
		1,
		['service-cut-unlisted'],
		['cut', 'back', 'machine moves'],
	],
	[
		'tasks run once as executors restart under their ids and are cut off soon after',
		3,
		['recuts'],
		['restart under the same id', 'cut', 'back'],
	],
	[
		'tasks run once as starts are carried out late behind a cut, and jobs with advice start',
		2,
		['late-starts'],
		['start carried out late by the next incarnation', 'cut', 'advice'],
	],
];

for (const [name, seed, only, plays] of cases) {
	tap.t.test(name, {timeout: maxMs}, async (t) => {
		const {checks, figures} = await bench.run({
			seed,
			short: true,
			only,
			log(line) {
				t.comment(line);
			},
		});
		for (const {name, value, holds} of checks) {
			t.ok(holds, `${name}: ${value}`);
		}

		for (const kind of plays) {
			t.ok(Number(figures[`${kind}, times`]) > 0, `it plays: ${kind}`);
		}
	});
}

tap.t.test('daemons outlive odd entries and answers', async (t) => {
	const {isReady, ends, accepted, others, polls, lines} = await playOddEntries(
		(line) => {
			t.comment(line);
		},
	);
	t.comment(`${accepted} jobs, ${polls} odd polls`);
	t.ok(isReady, 'the daemons are ready');
	t.same(ends, [], 'no daemon ends by itself');
	t.ok(accepted > 100, 'jobs are accepted');
	t.same(others, [], 'all accepted jobs complete');
	t.ok(polls > 10, 'the odd executor is polled');
	t.notOk(
		/owner failed|fleet runner failed|part failed/v.test(lines),
		'no part fails',
	);
	for (const key of ['i-labels', 'i-zeros', 'i-port', 'i-bytes', 'wave/91']) {
		const line = new RegExp(`"key":"${key}".*row skipped`, 'v');
		t.ok(line.test(lines), `a line names ${key}`);
	}
});
