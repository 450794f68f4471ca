/**
 * Guards against calls that are served with a key which was removed, whatever
 * the entry went through meanwhile.
 */
import type {teams} from '@gullstand/core';
import type {Configuration} from '@gullstand/ports';
import * as tap from 'tap';
import type {Moment} from '../clock.js';
import {testConfiguration, route} from '../job-daemon.test.fixture.js';
import {
	createCallerAccess,
	hashKey,
	maySeeJob,
	type Caller,
} from './caller-access.js';
import {createRoutes} from './routes.js';

const cap = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const createTeam = (name: string, keys: readonly string[]): teams.Team => ({
	name,
	keyHashes: keys.map((key) => hashKey(key)),
	weight: 1,
	cap,
});

const configuration: Configuration = {
	...testConfiguration,
	teams: [createTeam('one', ['k1', 'k2']), createTeam('two', ['k3'])],
};

/** An entry with clocks that the test sets; confirmed at 0. */
const createEntry = () => {
	const time = {steady: 0, wall: 1_000_000};
	const state: {confirmed: Moment | undefined} = {
		confirmed: {at: 0, epochAt: 1_000_000},
	};
	const routes = createRoutes();
	routes.apply(configuration);
	const access = createCallerAccess({
		routes,
		getConfirmedAt: () => state.confirmed,
		clock: {now: () => time.steady, epochNow: () => time.wall},
		policy: {revocationMs: 5000, configurationApplyMs: 3000},
	});
	const authenticate = (key: string | undefined, target = route) => {
		const result = access.authenticate(
			target,
			key === undefined ? undefined : `Bearer ${key}`,
		);
		return result.ok ? describe(result.value) : result.error;
	};

	return {time, state, routes, access, authenticate};
};

const describe = (caller: Caller): string =>
	caller.kind === 'team' ? caller.team : caller.kind;

type Entry = ReturnType<typeof createEntry>;

const elapse = ({time}: Entry, ms: number) => {
	time.steady += ms;
	time.wall += ms;
};

const confirm = ({time, state}: Entry) => {
	state.confirmed = {at: time.steady, epochAt: time.wall};
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly meanwhile?: (entry: Entry) => void;
	readonly key: string | undefined;
	readonly outcome: string;
}> = [
	{name: 'a key of a team', key: 'k2', outcome: 'one'},
	{name: 'a key of another team', key: 'k3', outcome: 'two'},
	{name: 'no key', key: undefined, outcome: 'unauthenticated'},
	{name: 'a key that no team has', key: 'k9', outcome: 'unauthenticated'},
	{
		name: 'a key that a new version has removed',
		meanwhile({routes}) {
			routes.apply({
				...configuration,
				version: 2,
				teams: [createTeam('one', ['k2']), createTeam('two', ['k3'])],
			});
		},
		key: 'k1',
		outcome: 'unauthenticated',
	},
	{
		name: 'a key that a later version has added again',
		meanwhile({routes}) {
			routes.apply({...configuration, version: 2, teams: []});
			routes.apply({...configuration, version: 5});
		},
		key: 'k1',
		outcome: 'one',
	},
	{
		name: 'a team without a key left',
		meanwhile({routes}) {
			routes.apply({
				...configuration,
				version: 2,
				teams: [createTeam('one', []), createTeam('two', ['k3'])],
			});
		},
		key: 'k1',
		outcome: 'unauthenticated',
	},
	{
		name: 'a team that is gone',
		meanwhile({routes}) {
			routes.apply({
				...configuration,
				version: 2,
				teams: [createTeam('two', ['k3'])],
			});
		},
		key: 'k1',
		outcome: 'unauthenticated',
	},
	{
		name: 'an entry that is cut off from the store for a while',
		meanwhile(entry) {
			elapse(entry, 4800);
		},
		key: 'k1',
		outcome: 'one',
	},
	{
		name: 'an entry that is cut off from the store for longer',
		meanwhile(entry) {
			elapse(entry, 5000);
		},
		key: 'k1',
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'an entry that is cut off cannot tell that a key is wrong',
		meanwhile(entry) {
			elapse(entry, 3000);
		},
		key: 'k9',
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'an entry that reaches the store again',
		meanwhile(entry) {
			elapse(entry, 9000);
			confirm(entry);
		},
		key: 'k1',
		outcome: 'one',
	},
	{
		name: 'an entry that was suspended, so that its steady clock stood still',
		meanwhile({time}) {
			time.wall += 6000;
		},
		key: 'k1',
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'an entry whose wall clock was set back',
		meanwhile({time}) {
			time.steady += 6000;
			time.wall -= 2000;
		},
		key: 'k1',
		outcome: 'configuration-unconfirmed',
	},
	{
		name: 'an entry that has just started and confirmed nothing',
		meanwhile({state}) {
			state.confirmed = undefined;
		},
		key: 'k1',
		outcome: 'configuration-unconfirmed',
	},
];

for (const {name, meanwhile, key, outcome} of cases) {
	tap.t.test(name, async (t) => {
		const entry = createEntry();
		meanwhile?.(entry);
		t.equal(entry.authenticate(key), outcome);
	});
}

tap.t.test('public queues need no key, whatever is confirmed', async (t) => {
	const entry = createEntry();
	entry.state.confirmed = undefined;
	const open = {...route, isPublic: true};
	for (const key of [undefined, 'k1', 'k9']) {
		t.equal(entry.authenticate(key, open), 'any');
	}
});

tap.t.test('deployments without teams need no key', async (t) => {
	const entry = createEntry();
	entry.routes.apply({...testConfiguration, version: 2});
	t.equal(entry.authenticate(undefined), 'any');
	t.ok(entry.access.canJudge());
});

tap.t.test('a caller is verified again after a pause', async (t) => {
	const entry = createEntry();
	const caller = entry.access.authenticate(route, 'Bearer k1');
	t.ok(caller.ok);
	if (!caller.ok) {
		return;
	}

	entry.time.wall += 6000;
	t.same(entry.access.verify(caller.value), {
		ok: false,
		error: 'configuration-unconfirmed',
	});
	t.notOk(entry.access.canJudge());
	confirm(entry);
	t.ok(entry.access.verify(caller.value).ok);
	entry.routes.apply({
		...configuration,
		version: 2,
		teams: [createTeam('two', ['k1'])],
	});
	t.same(
		entry.access.verify(caller.value),
		{ok: false, error: 'unauthenticated'},
		'the key is of another team now',
	);
});

tap.t.test('jobs are seen by their own team', async (t) => {
	const caller: Caller = {kind: 'team', team: 'one', keyHash: ''};
	t.ok(maySeeJob(caller, {team: 'one'}));
	t.notOk(maySeeJob(caller, {team: 'two'}));
	t.ok(maySeeJob(caller, {}), 'one that was accepted without a team');
	t.ok(maySeeJob({kind: 'any'}, {team: 'two'}));
});
