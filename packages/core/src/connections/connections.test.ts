import * as tap from 'tap';
import * as reuse from './reuse.js';
import * as unresponsive from './unresponsive.js';

const cfg = reuse.defaultReuseConfig;
const fresh = {openedAt: 0, provedAt: 1000, retired: false};
const requirements = {repeatable: true, suspectedAt: undefined};

type Case = {
	readonly name: string;
	readonly connection: Partial<reuse.ConnectionState>;
	readonly requirements: Partial<reuse.ReuseRequirements>;
	readonly now: number;
	readonly wanted: boolean;
};

const table: readonly Case[] = [
	{name: 'fresh', connection: {}, requirements: {}, now: 1100, wanted: true},
	{
		name: 'retired',
		connection: {retired: true},
		requirements: {},
		now: 1100,
		wanted: false,
	},
	{
		name: 'idle just below the limit',
		connection: {},
		requirements: {},
		now: 4999,
		wanted: true,
	},
	{
		name: 'idle too long',
		connection: {},
		requirements: {},
		now: 5000,
		wanted: false,
	},
	{
		name: 'too old',
		connection: {provedAt: 299_999},
		requirements: {},
		now: 300_000,
		wanted: false,
	},
	{
		name: 'suspected, no bytes received since',
		connection: {},
		requirements: {suspectedAt: 1001},
		now: 1100,
		wanted: false,
	},
	{
		name: 'suspected, bytes received since',
		connection: {},
		requirements: {suspectedAt: 1000},
		now: 1100,
		wanted: true,
	},
	{
		name: 'not repeatable, bytes received just now',
		connection: {},
		requirements: {repeatable: false},
		now: 1250,
		wanted: true,
	},
	{
		name: 'not repeatable, no bytes received recently',
		connection: {},
		requirements: {repeatable: false},
		now: 1251,
		wanted: false,
	},
];

for (const each of table) {
	tap.t.test(`reuse: ${each.name}`, async (t) => {
		const connection = {...fresh, ...each.connection};
		const all = {...requirements, ...each.requirements};
		t.equal(reuse.canReuse(connection, cfg, all, each.now), each.wanted);
	});
}

tap.t.test('the connection that received bytes last is chosen', async (t) => {
	const idle = [
		{...fresh, id: 1},
		{...fresh, provedAt: 1050, id: 2},
		{...fresh, provedAt: 1090, retired: true, id: 3},
	];
	t.equal(reuse.chooseConnection(idle, cfg, requirements, 1100)?.id, 2);
	t.equal(
		reuse.chooseConnection(idle.slice(2), cfg, requirements, 1100),
		undefined,
	);
});

tap.t.test('the timeout follows the service time', async (t) => {
	const config = unresponsive.defaultUnresponsiveConfig;
	const time = unresponsive.createServiceTime();
	t.equal(
		unresponsive.getUnresponsiveAfterMs(time, config),
		config.maxMs,
		'no samples',
	);
	const recordTimes = (count: number, getMs: (index: number) => number) => {
		for (let index = 0; index < count; index++) {
			unresponsive.recordServiceTime(time, config, getMs(index));
		}
	};

	recordTimes(1000, (index) => 20 + (index % 100) / 5);
	const normal = unresponsive.getUnresponsiveAfterMs(time, config);
	t.ok(normal > 70 && normal < 100, `${normal} ms for 20 to 40 ms`);
	recordTimes(1000, () => 200);
	const slower = unresponsive.getUnresponsiveAfterMs(time, config);
	t.ok(slower > 350, `${slower} ms when all take 200 ms`);
	recordTimes(50_000, () => 1);
	t.equal(unresponsive.getUnresponsiveAfterMs(time, config), config.minMs);
	recordTimes(5000, () => 60_000);
	t.equal(unresponsive.getUnresponsiveAfterMs(time, config), config.maxMs);
});

const verdicts = [
	{answered: true, isStillUnresponsive: true, kind: 'retire-older'},
	{answered: true, isStillUnresponsive: false, kind: 'recovered'},
	{answered: false, isStillUnresponsive: true, kind: 'unreachable'},
	{answered: false, isStillUnresponsive: false, kind: 'unreachable'},
] as const;

for (const {answered, isStillUnresponsive, kind} of verdicts) {
	const name = `probe ${answered ? 'answered' : 'not answered'}, old one ${isStillUnresponsive ? 'unresponsive' : 'answered'}: ${kind}`;
	tap.t.test(name, async (t) => {
		const config = unresponsive.defaultUnresponsiveConfig;
		const state = unresponsive.createUnresponsiveState();
		t.ok(
			unresponsive.recordUnresponsive(state, config, 1000),
			'the first one starts a probe',
		);
		t.notOk(
			unresponsive.recordUnresponsive(state, config, 1010),
			'one probe at a time',
		);
		t.equal(state.suspectedAt, 1000);
		const verdict = unresponsive.recordProbe(
			state,
			answered,
			isStillUnresponsive,
		);
		t.equal(verdict.kind, kind);
		if (verdict.kind === 'retire-older') {
			t.equal(verdict.before, 1000);
		}

		t.equal(state.suspectedAt, undefined);
		t.notOk(
			unresponsive.startProbeIfDue(state, config, 9000),
			'nothing suspected',
		);
		t.notOk(
			unresponsive.recordUnresponsive(state, config, 1499),
			'within probeGapMs',
		);
		t.ok(
			unresponsive.startProbeIfDue(state, config, 1500),
			'due after probeGapMs',
		);
	});
}
