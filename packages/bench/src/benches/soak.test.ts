import {execFileSync} from 'node:child_process';
import * as tap from 'tap';
import {bench} from './soak.js';
import {root} from './soak/environment.js';

const maxMs = 240_000;

tap.t.setTimeout(2 * maxMs);

tap.t.before(() => {
	execFileSync('npm', ['run', '--silent', 'bundle'], {cwd: root});
});

const cases: ReadonlyArray<
	readonly [
		name: string,
		only: readonly string[] | undefined,
		plays: readonly string[],
	]
> = [
	[
		'no accepted job is lost, run twice or left standing while processes, the store and executors fail',
		undefined,
		['cut', 'back', 'machine moves', 'upkeep begins'],
	],
	[
		'executors that were cut off and are listed as down meanwhile are used again',
		['service-cut-unlisted'],
		['cut', 'back', 'machine moves'],
	],
];

for (const [name, only, plays] of cases) {
	tap.t.test(name, {timeout: maxMs}, async (t) => {
		const {checks, figures} = await bench.run({
			seed: 1,
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
