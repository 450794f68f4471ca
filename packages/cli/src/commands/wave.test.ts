import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import type {Command} from 'commander';
import * as tap from 'tap';
import {
	createDaemon,
	createEmbeddedSettings,
	createLogger,
	startEmbeddedPlatform,
} from '@gullstand/daemon';
import {runCommandLine} from './commands.test.fixture.js';
import {exitCodes, type Io} from './io.js';
import {formatDuration, formatWait} from './wave-format.js';
import {registerWave} from './wave.js';

const startFixture = async (t: tap.Test) => {
	const now = () => performance.now();
	const settings = createEmbeddedSettings();
	const {platform, close} = await startEmbeddedPlatform(now);
	const logger = createLogger(settings.log, 'test', new PassThrough().resume());
	const daemon = createDaemon({settings, platform, logger, now});
	await daemon.start((err) => {
		throw err;
	});
	t.teardown(async () => {
		await daemon.stop();
		await close();
	});
	const drawn: string[] = [];
	const run = async (...words: string[]) => {
		const register = (program: Command, io: Io) => {
			registerWave(program, io, {
				isTerminal: words.includes('--watch') && !words.includes('--json'),
				redraw: (text) => drawn.push(text),
			});
		};

		return runCommandLine(daemon, register, ['wave', ...words]);
	};

	return {run, drawn};
};

tap.t.test('plan, start, watch to the end', async (t) => {
	const {run, drawn} = await startFixture(t);
	const plan = await run('plan', 'w', '--pool', 'quoting', '--hours', '2');
	t.match(plan.text, /3 instances in 3 racks/);
	t.match(plan.text, /expected end after 45 min, 0 moves/);
	t.match(plan.text, /3 rounds by contract demo/);
	const again = await run('plan', 'w', '--pool', 'quoting', '--hours', '2');
	t.equal(again.code, exitCodes.conflict);
	t.match(await run('pause', 'w'), {code: exitCodes.conflict});
	t.match(await run('start', 'w'), {code: 0, text: 'wave w: running'});
	const watched = await run('status', 'w', '--watch', '20');
	t.equal(watched.code, exitCodes.done);
	t.match(drawn.at(-1), /3\/3 done, 0 at work, done/);
	const json = await run('status', 'w', '--watch', '--json');
	t.match(JSON.parse(json.lines.at(-1)!), {counts: {done: 3}});
	t.match(await run('list'), {text: /w done quoting/});
	t.match(await run('status', 'w'), {text: /3\/3 done/});
});

const refusals: Array<[string, string[], number, RegExp]> = [
	[
		'an unknown pool',
		['plan', 'x', '--pool', 'nothing', '--hours', '2'],
		exitCodes.failed,
		/promise-impossible[^]*empty[^]*nothing/,
	],
	[
		'a deadline that a contract makes impossible',
		['plan', 'x', '--pool', 'quoting', '--hours', '0.5'],
		exitCodes.failed,
		/too-slow[^]*demo/,
	],
	[
		'a reserve that leaves nothing',
		[
			'plan',
			'x',
			'--pool',
			'quoting',
			'--hours',
			'2',
			'--reserve',
			'availability-zone',
		],
		exitCodes.failed,
		/never-allowed[^]*demo/,
	],
	[
		'unknown weights',
		['plan', 'x', '--pool', 'quoting', '--hours', '2', '--weights', 'none'],
		exitCodes.usage,
		/weights/,
	],
	['no such wave', ['start', 'x'], exitCodes.failed, /not-found/],
];

tap.t.test('refused wave commands', async (t) => {
	const {run} = await startFixture(t);
	for (const [name, words, code, text] of refusals) {
		const result = await run(...words);
		t.equal(result.code, code, name);
		t.match(result.text, text, name);
	}
});

tap.t.test('formatDuration', async (t) => {
	t.equal(formatDuration(59_000), '1 min');
	t.equal(formatDuration(125 * 60_000), '2 h 05 min');
});

tap.t.test('a wait for a budget names the contract', async (t) => {
	const text = formatWait({
		kind: 'budget',
		pool: 'quoting',
		refusal: {
			kind: 'max-away',
			service: 'quoting',
			customer: 'brokers',
			maxAway: 1,
			planned: 0,
			lost: 1,
		},
	});
	t.match(text, /0 away and 1 lost of 1 that contract brokers allows/);
});
