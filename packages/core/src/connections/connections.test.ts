import * as tap from 'tap';
import * as reuse from './reuse.js';
import * as silence from './unresponsive.js';

const cfg = reuse.defaultReuseConfig;
const fresh = {openedAt: 0, provedAt: 1000, retired: false};
const needs = {repeatable: true, suspectedAt: undefined};

type Case = {
	readonly name: string;
	readonly facts: Partial<reuse.ConnectionState>;
	readonly needs: Partial<reuse.ReuseRequirements>;
	readonly now: number;
	readonly wanted: boolean;
};

const table: readonly Case[] = [
	{name: 'fresh', facts: {}, needs: {}, now: 1100, wanted: true},
	{
		name: 'retired',
		facts: {retired: true},
		needs: {},
		now: 1100,
		wanted: false,
	},
	{name: 'idle just short', facts: {}, needs: {}, now: 4999, wanted: true},
	{name: 'idle too long', facts: {}, needs: {}, now: 5000, wanted: false},
	{
		name: 'too old',
		facts: {provedAt: 299_999},
		needs: {},
		now: 300_000,
		wanted: false,
	},
	{
		name: 'suspected, not proved since',
		facts: {},
		needs: {suspectedAt: 1001},
		now: 1100,
		wanted: false,
	},
	{
		name: 'suspected, proved since',
		facts: {},
		needs: {suspectedAt: 1000},
		now: 1100,
		wanted: true,
	},
	{
		name: 'not repeatable, just proved',
		facts: {},
		needs: {repeatable: false},
		now: 1250,
		wanted: true,
	},
	{
		name: 'not repeatable, proved a while ago',
		facts: {},
		needs: {repeatable: false},
		now: 1251,
		wanted: false,
	},
];

for (const each of table) {
	tap.t.test(`reuse: ${each.name}`, async (t) => {
		const facts = {...fresh, ...each.facts};
		const all = {...needs, ...each.needs};
		t.equal(reuse.canReuse(facts, cfg, all, each.now), each.wanted);
	});
}

tap.t.test('the connection proved last is taken', async (t) => {
	const idle = [
		{...fresh, id: 1},
		{...fresh, provedAt: 1050, id: 2},
		{...fresh, provedAt: 1090, retired: true, id: 3},
	];
	t.equal(reuse.chooseConnection(idle, cfg, needs, 1100)?.id, 2);
	t.equal(reuse.chooseConnection(idle.slice(2), cfg, needs, 1100), undefined);
});

tap.t.test('the threshold follows the service time', async (t) => {
	const limits = silence.defaultUnresponsiveConfig;
	const time = silence.createServiceTime();
	t.equal(
		silence.getUnresponsiveAfterMs(time, limits),
		limits.maxMs,
		'nothing known',
	);
	const feed = (count: number, getMs: (index: number) => number) => {
		for (let index = 0; index < count; index++) {
			silence.recordServiceTime(time, limits, getMs(index));
		}
	};

	feed(1000, (index) => 20 + (index % 100) / 5);
	const normal = silence.getUnresponsiveAfterMs(time, limits);
	t.ok(normal > 70 && normal < 100, `${normal} ms for 20 to 40 ms`);
	feed(1000, () => 200);
	const slower = silence.getUnresponsiveAfterMs(time, limits);
	t.ok(slower > 350, `${slower} ms when all take 200 ms`);
	feed(50_000, () => 1);
	t.equal(silence.getUnresponsiveAfterMs(time, limits), limits.minMs);
	feed(5000, () => 60_000);
	t.equal(silence.getUnresponsiveAfterMs(time, limits), limits.maxMs);
});

const verdicts = [
	{answered: true, stillSilent: true, kind: 'retire-older'},
	{answered: true, stillSilent: false, kind: 'recovered'},
	{answered: false, stillSilent: true, kind: 'unreachable'},
	{answered: false, stillSilent: false, kind: 'unreachable'},
] as const;

for (const {answered, stillSilent, kind} of verdicts) {
	const name = `probe ${answered ? 'answered' : 'not answered'}, old one ${stillSilent ? 'silent' : 'answered'}: ${kind}`;
	tap.t.test(name, async (t) => {
		const limits = silence.defaultUnresponsiveConfig;
		const state = silence.createUnresponsiveState();
		t.ok(
			silence.recordUnresponsive(state, limits, 1000),
			'first starts a probe',
		);
		t.notOk(silence.recordUnresponsive(state, limits, 1010), 'one at a time');
		t.equal(state.suspectedAt, 1000);
		const verdict = silence.recordProbe(state, answered, stillSilent);
		t.equal(verdict.kind, kind);
		if (verdict.kind === 'retire-older') {
			t.equal(verdict.before, 1000);
		}

		t.equal(state.suspectedAt, undefined);
		t.notOk(silence.startProbeIfDue(state, limits, 9000), 'no doubt left');
		t.notOk(silence.recordUnresponsive(state, limits, 1499), 'gap');
		t.ok(silence.startProbeIfDue(state, limits, 1500), 'made up for later');
	});
}
