import {execFileSync} from 'node:child_process';
import * as tap from 'tap';
import {bench} from './soak.js';
import {root} from './soak/environment.js';

const maxMs = 240_000;

tap.t.setTimeout(maxMs);

tap.t.test(
	'no accepted job is lost, run twice or left standing while processes, the store and executors fail',
	{timeout: maxMs},
	async (t) => {
		execFileSync('npm', ['run', '--silent', 'bundle'], {cwd: root});
		const {checks, figures} = await bench.run({
			seed: 1,
			short: true,
			log(line) {
				t.comment(line);
			},
		});
		for (const {name, value, holds} of checks) {
			t.ok(holds, `${name}: ${value}`);
		}

		for (const kind of ['cut', 'back', 'machine moves', 'upkeep begins']) {
			t.ok(Number(figures[`${kind}, times`]) > 0, `it plays: ${kind}`);
		}
	},
);
