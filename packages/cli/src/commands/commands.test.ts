import * as tap from 'tap';
import {startFixture} from './commands.test.fixture.js';
import {exitCodes} from './io.js';

const brokers = `customer = "brokers"
weight = 1
tokenHashes = []

[[services]]
service = "quoting"
keepExecutors = 2
maxAway = 1
answerWithinMs = 500
requestsPerSecond = 10

[jobs]
cores = 0
memoryMb = 0
accelerators = 0
urgentStartMs = 1500
`;

tap.t.test('a change based on an outdated version conflicts', async (t) => {
	const {run, write} = await startFixture(t);
	const file = await write('brokers.toml', brokers);
	t.match(await run('contract', 'create', file, '--wait', '5000'), {
		code: exitCodes.done,
		text: 'contract brokers: revision 2\nin force everywhere',
	});
	t.match(await run('contract', 'create', file), {code: exitCodes.conflict});
	t.match(await run('contract', 'apply', file), {
		code: exitCodes.usage,
		text: /no version line/v,
	});
	const shown = await run('contract', 'show', 'brokers');
	t.match(shown.text, /^# version "\d+"$/mv);
	const changed = shown.text.replace('maxAway = 1', 'maxAway = 0');
	const mine = await write('mine.toml', changed);
	t.match(await run('contract', 'diff', mine), {
		code: exitCodes.done,
		text: 'services.quoting.maxAway: 1 -> 0',
	});
	t.match(await run('contract', 'apply', mine), {code: exitCodes.done});
	const late = await write('late.toml', shown.text);
	const lost = await run('contract', 'apply', late);
	t.equal(lost.code, exitCodes.conflict);
	t.match(lost.text, /it is now:\n# version "\d+"\n.*maxAway = 0/sv);
	const history = await run('change', 'list', '--object', 'contract/brokers');
	t.match(history.text.split('\n'), [
		/^3 .* demo: put contract brokers$/v,
		/^2 .* demo: put contract brokers$/v,
	]);
	const one = await run('change', 'show', '3');
	t.match(one.text, /in force everywhere/v);
});

tap.t.test('says why a change is refused', async (t) => {
	const {run, write} = await startFixture(t);
	const many = brokers.replace('keepExecutors = 2', 'keepExecutors = 9');
	const file = await write('many.toml', many);
	const refused = await run('contract', 'create', file);
	t.equal(refused.code, exitCodes.failed);
	t.match(refused.text, /promise-impossible.*outcome: not-run/v);
	t.match(refused.text, /pool-too-small/v);
	const unnamed = await write('unnamed.toml', 'weight = 1');
	await t.rejects(run('contract', 'diff', unnamed), /customer is missing/v);
	const absent = await run('service', 'show', 'nothing');
	t.match(absent, {code: exitCodes.failed, text: /not-found/v});
});

const lists: Array<[string[], RegExp]> = [
	[
		['status'],
		/^ready\nrevision 1, first from table\ntable service: following$/v,
	],
	[['contract', 'list'], /^demo$/v],
	[['service', 'list'], /^claims\nquoting$/v],
	[['instance', 'list'], /claims-1\n/v],
	[['pool', 'list'], /quoting: serving 3, draining 0.*1 may be away/sv],
	[['pool', 'show', 'claims'], /claims-2 127\.0\.0\.1:\d+ zone-2\/rack-2/v],
	[['change', 'list', '--json'], /"revision":1/v],
	[['entry', 'list', '--json'], /"entries":\[/v],
];

tap.t.test('lists objects and the state of the fleet', async (t) => {
	const {run} = await startFixture(t);
	for (const [words, expected] of lists) {
		const {code, text} = await run(...words);
		t.equal(code, exitCodes.done);
		t.match(text, expected, words.join(' '));
	}
});
