/** Guards against jobs that are shown to, or cancelled by, another team. */
import type {Configuration} from '@gullstand/ports';
import * as tap from 'tap';
import {hashKey, type Caller} from './entry/caller-access.js';
import type {JobDaemon} from './job-daemon.js';
import {
	createId,
	createJobSpec,
	createTestPlatform,
	now,
	readState,
	route,
	startDaemon,
	testConfiguration,
	waitUntil,
} from './job-daemon.test.fixture.js';

const cap = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const configuration: Configuration = {
	...testConfiguration,
	teams: ['one', 'two'].map((name) => ({
		name,
		keyHashes: [hashKey(`key-of-${name}`)],
		weight: 1,
		cap,
	})),
};

const getCaller = (daemon: JobDaemon, team: string): Caller => {
	const caller = daemon.access.authenticate(route, `Bearer key-of-${team}`);
	if (!caller.ok) {
		throw new Error(caller.error);
	}

	return caller.value;
};

const startEntries = async (t: Pick<typeof tap.t, 'fail' | 'teardown'>) => {
	const platform = createTestPlatform(['x']);
	platform.operator.put('configuration', {
		kind: 'configuration',
		value: configuration,
	});
	const daemons = await Promise.all(
		['a', 'b'].map(async (name) =>
			startDaemon(platform, name, (err) => {
				t.fail(err.message);
			}),
		),
	);
	t.teardown(async () => {
		await Promise.all(daemons.map(async (daemon) => daemon.stop()));
	});
	await waitUntil('an owner', () =>
		platform.store.list('lease').some(({part}) => part === 'service/s'),
	);
	return {platform, daemons};
};

tap.t.test('a job belongs to the team that submitted it', async (t) => {
	const {platform, daemons} = await startEntries(t);
	const id = createId(1);
	const job = {id, spec: createJobSpec()};
	for (const [index, daemon] of daemons.entries()) {
		const one = getCaller(daemon, 'one');
		const two = getCaller(daemon, 'two');
		const deadline = now() + 2000;
		t.same(await daemon.service.submit(route, job, deadline, one), {
			ok: true,
			value: {isRepeat: index > 0},
		});
		t.same(await daemon.service.submit(route, job, deadline, two), {
			ok: false,
			error: 'job-conflict',
		});
		t.same(await daemon.service.readState(route, id, two), {
			ok: false,
			error: 'unknown-job',
		});
		t.same(await daemon.service.cancel(route, id, deadline, two), {
			ok: false,
			error: 'unknown-job',
		});
		const own = await daemon.service.readState(route, id, one);
		t.ok(own.ok);
		t.not(await readState(daemon, id), 'unknown-job', 'by an operator');
	}

	const [row] = platform.store.list('job');
	t.match(JSON.parse(row?.value ?? '{}'), {team: 'one'});
	const [daemon] = daemons;
	const cancelled = await daemon!.service.cancel(
		route,
		id,
		now() + 2000,
		getCaller(daemon!, 'one'),
	);
	t.ok(cancelled.ok);
});

tap.t.test('a team that is gone keeps its jobs', async (t) => {
	const {platform, daemons} = await startEntries(t);
	const [daemon] = daemons;
	const id = createId(2);
	const caller = getCaller(daemon!, 'one');
	await daemon!.service.submit(
		route,
		{id, spec: createJobSpec()},
		now() + 2000,
		caller,
	);
	platform.operator.put('configuration', {
		kind: 'configuration',
		value: {...configuration, version: 2, teams: []},
	});
	await waitUntil(
		'the configuration',
		() => daemon!.routes.get()?.version === 2,
	);
	t.same(await daemon!.service.readState(route, id, caller), {
		ok: false,
		error: 'unauthenticated',
	});
	await waitUntil('the start', () =>
		platform.executors
			.listRunning('x')
			.some(({taskId}) => taskId.startsWith(id)),
	);
	t.equal(await readState(daemon!, id), 'running');
});

tap.t.test('an unreadable configuration stops calls with keys', async (t) => {
	const {platform, daemons} = await startEntries(t);
	const [daemon] = daemons;
	t.ok(daemon!.access.authenticate(route, 'Bearer key-of-one').ok);
	platform.operator.put('configuration', {
		kind: 'unreadable',
		problem: 'not JSON',
		isConfiguration: true,
	});
	await waitUntil('the refusal', () => {
		const result = daemon!.access.authenticate(route, 'Bearer key-of-one');
		return !result.ok && result.error === 'configuration-unconfirmed';
	});
	platform.operator.put('configuration', {
		kind: 'configuration',
		value: {...configuration, version: 3},
	});
	await waitUntil(
		'the next version',
		() => daemon!.access.authenticate(route, 'Bearer key-of-one').ok,
	);
});
