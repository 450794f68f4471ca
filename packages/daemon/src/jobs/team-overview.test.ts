/** Guards against figures of teams that operators see of another team. */
import * as tap from 'tap';
import {testConfiguration} from './job-daemon.test.fixture.js';
import {createJobMetrics} from './job-metrics.js';
import {listTeams, registerTeamGauges} from './team-overview.js';

const toResources = (cpuMillis: number) => ({
	cpuMillis,
	memoryMb: 0,
	accelerators: 0,
});

const teams = ['one', 'two'].map((name) => ({
	name,
	keyHashes: [`hash of ${name}`],
	weight: 3,
	cap: toResources(100),
}));

const createShare = (team: string, shard: string, cpuMillis: number) => ({
	team,
	shard,
	cap: toResources(100),
	share: toResources(cpuMillis),
	used: toResources(cpuMillis - 1),
	waiting: toResources(7),
	isOverCap: false,
});

const owned = {
	listTeamShares: () => [
		createShare('one', 'service/a', 20),
		createShare('one', 'service/b', 30),
	],
	listTeamRoom: () =>
		[0.2, 0.1].map((running, index) => ({
			team: 'one',
			shard: `service/${index}`,
			weight: 3,
			running,
			recent: 0.1,
			waiting: 0.4,
		})),
};

tap.t.test('each team has its own shares', async (t) => {
	const list = listTeams({...testConfiguration, teams}, owned);
	t.match(list, [
		{team: 'one', weight: 3, keys: 1, shares: {length: 2}, room: {length: 2}},
		{team: 'two', shares: {length: 0}, room: {length: 0}},
	]);
	t.notMatch(JSON.stringify(list), 'hash of one', 'no hashes');
	t.same(listTeams(testConfiguration, owned), []);
});

tap.t.test('gauges sum the services of a team', async (t) => {
	const metrics = createJobMetrics();
	registerTeamGauges(teams, owned, metrics);
	const text = metrics.formatText();
	t.match(text, 'gullstand_team_share_cpu_millis{label="one"} 50\n');
	t.match(text, 'gullstand_team_used_cpu_millis{label="one"} 48\n');
	t.match(text, 'gullstand_team_waiting_cpu_millis{label="one"} 14\n');
	t.match(text, 'gullstand_team_room_running{label="one"} 0.2\n');
	t.match(text, 'gullstand_team_room_waiting{label="one"} 0.4\n');
	t.notMatch(text, 'label="two"', 'none for a team without a share here');
});
