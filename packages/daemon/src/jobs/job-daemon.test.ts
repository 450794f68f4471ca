import * as tap from 'tap';
import type {JobDaemon} from './job-daemon.js';
import {
	createId,
	createListedExecutor,
	createJobSpec,
	createTestPlatform,
	finishTasksAfter,
	now,
	readState,
	route,
	startDaemon,
	submit,
	testConfiguration,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';

type Test = Pick<typeof tap.t, 'fail' | 'teardown'>;

const startDaemons = async (
	t: Test,
	platform: TestPlatform,
	names: readonly string[],
): Promise<readonly JobDaemon[]> => {
	const daemons = await Promise.all(
		names.map(async (name) =>
			startDaemon(platform, name, (err) => {
				t.fail(err.message);
			}),
		),
	);
	t.teardown(async () => {
		await Promise.all(daemons.map(async (daemon) => daemon.stop()));
	});
	return daemons;
};

const isServiceOwned = (platform: TestPlatform) =>
	platform.store
		.list('lease')
		.some(
			({part, value}) =>
				part === 'service/s' && !value.includes('"holder":null'),
		);

tap.t.test('a job runs once, through any entry', async (t) => {
	const platform = createTestPlatform(['x', 'yy']);
	finishTasksAfter(platform, 20);
	const daemons = await startDaemons(t, platform, ['a', 'b', 'c']);
	await waitUntil('an owner', () => isServiceOwned(platform));
	const ids = Array.from({length: 12}, (_, index) => createId(index));
	const answers = await Promise.all(
		ids.map(async (id, index) => submit(daemons[index % 3]!, id)),
	);
	t.ok(answers.every((each) => each.ok));
	const again = await submit(daemons[2]!, ids[0]!);
	t.same(again, {ok: true, value: {isRepeat: true}});
	const other = await submit(daemons[1]!, ids[0]!, createJobSpec({count: 2}));
	t.same(other, {ok: false, error: 'job-conflict'});
	for (const [index, id] of ids.entries()) {
		const daemon = daemons[(index + 1) % 3]!;
		await waitUntil(
			`the end of ${id}`,
			async () => (await readState(daemon, id)) === 'completed',
		);
	}

	t.equal(platform.executors.listStarts().length, ids.length);
	t.equal(await readState(daemons[0]!, createId(99)), 'unknown-job');
});

tap.t.test('concurrent requests for one job store it once', async (t) => {
	const platform = createTestPlatform(['x']);
	const daemons = await startDaemons(t, platform, ['a', 'b']);
	await waitUntil('an owner', () => isServiceOwned(platform));
	const answers = await Promise.all(
		[0, 1, 0, 1].map(async (each) => submit(daemons[each]!, createId(1))),
	);
	t.ok(answers.every((each) => each.ok));
	t.equal(platform.store.list('job').length, 1);
	await waitUntil(
		'the start',
		() => platform.executors.listStarts().length > 0,
	);
	t.equal(platform.executors.listStarts().length, 1);
});

tap.t.test('a job is refused only if it is not stored', async (t) => {
	const platform = createTestPlatform(['x']);
	const [daemon] = await startDaemons(t, platform, ['a']);
	await waitUntil('an owner', () => isServiceOwned(platform));
	platform.store.setFault(() => 'unavailable');
	t.same(await submit(daemon!, createId(1)), {
		ok: false,
		error: 'store-unavailable',
	});
	platform.store.setFault((call) =>
		call === 'transact' ? 'lost-after' : undefined,
	);
	t.same(
		await submit(daemon!, createId(2)),
		{ok: true, value: {isRepeat: true}},
		'read back',
	);
	platform.store.setFault((call) =>
		call === 'transact' ? 'lost-before' : undefined,
	);
	t.same(await submit(daemon!, createId(3)), {
		ok: false,
		error: 'submission-unknown',
	});
	platform.store.setFault(() => undefined);
	await waitUntil(
		'the start of what was stored',
		() => platform.executors.listStarts().length > 0,
	);
	t.same(
		platform.executors.listStarts().map(({taskId}) => taskId),
		[`${createId(2)}.0.0.0`],
	);
});

tap.t.test(
	'a cancelled job is stopped and reported as cancelled by all entries',
	async (t) => {
		const platform = createTestPlatform(['x']);
		const daemons = await startDaemons(t, platform, ['a', 'b']);
		await waitUntil('an owner', () => isServiceOwned(platform));
		const id = createId(1);
		await submit(daemons[0]!, id);
		await waitUntil(
			'the start',
			() => platform.executors.listRunning('x').length > 0,
		);
		const cancelled = await daemons[1]!.service.cancel(route, id, now() + 2000);
		t.ok(cancelled.ok);
		await waitUntil(
			'the stop',
			() => platform.executors.listRunning('x').length === 0,
		);
		for (const daemon of daemons) {
			await waitUntil(
				'the state',
				async () => (await readState(daemon, id)) === 'cancelled',
			);
		}

		const unknown = await daemons[0]!.service.cancel(
			route,
			createId(9),
			now() + 2000,
		);
		t.same(unknown, {ok: false, error: 'unknown-job'});
	},
);

tap.t.test('runs continue when an owner stops and hands over', async (t) => {
	const platform = createTestPlatform(['x']);
	const daemons = await startDaemons(t, platform, ['a', 'b']);
	await waitUntil('an owner', () => isServiceOwned(platform));
	const id = createId(1);
	await submit(daemons[0]!, id, createJobSpec({count: 3}));
	await waitUntil(
		'the starts',
		() => platform.executors.listRunning('x').length === 3,
	);
	const lease = platform.store
		.list('lease')
		.find(({part}) => part === 'service/s');
	const isFirst = lease!.value.includes('"entry":"a"');
	const [owner, other] = isFirst ? daemons : daemons.toReversed();
	await owner!.stop();
	await waitUntil(
		'the next owner',
		() =>
			isServiceOwned(platform) &&
			platform.store
				.list('lease')
				.some(
					({part, version}) => part === 'service/s' && version > lease!.version,
				),
	);
	for (const index of [0, 1, 2]) {
		platform.executors.finish('x', `${id}.0.0.${index}`, 'done');
	}

	await waitUntil(
		'the end',
		async () => (await readState(other!, id)) === 'completed',
	);
	t.equal(platform.executors.listStarts().length, 3, 'none started twice');
});

tap.t.test(
	'an executor with an unreadable entry keeps its runs and gets no new ones',
	async (t) => {
		const platform = createTestPlatform(['x']);
		const [daemon] = await startDaemons(t, platform, ['a']);
		await waitUntil('an owner', () => isServiceOwned(platform));
		const first = createId(1);
		const second = createId(2);
		await submit(daemon!, first, createJobSpec({estimateMs: 60_000}));
		await waitUntil(
			'the start',
			() => platform.executors.listRunning('x').length > 0,
		);
		platform.executorFeed.setUnreadable('x', 'no address');
		await waitUntil('the count', () =>
			daemon!.metrics
				.formatText()
				.includes('gullstand_rows_unreadable{label="executors"} 1'),
		);
		await submit(daemon!, second);
		const polls = platform.executors.countPolls();
		await waitUntil('polls', () => platform.executors.countPolls() > polls + 2);
		platform.executors.finish('x', `${first}.0.0.0`, 'done');
		await waitUntil(
			'the end',
			async () => (await readState(daemon!, first)) === 'completed',
		);
		t.equal(platform.executors.listStarts().length, 1, 'nothing new');
		platform.executorFeed.put('x', createListedExecutor('x'));
		await waitUntil(
			'the second start',
			() => platform.executors.listStarts().length > 1,
		);
		t.equal(await readState(daemon!, second), 'running');
	},
);

tap.t.test(
	'a new incarnation of an executor gets the tasks of the old one',
	async (t) => {
		const platform = createTestPlatform(['x']);
		const [daemon] = await startDaemons(t, platform, ['a']);
		await waitUntil('an owner', () => isServiceOwned(platform));
		await submit(daemon!, createId(1));
		await waitUntil(
			'the start',
			() => platform.executors.listRunning('x').length > 0,
		);
		platform.executors.remove('x');
		const next = {
			...createListedExecutor('x2'),
			address: createListedExecutor('x').address,
		};
		platform.executors.add(next);
		platform.executorFeed.put('x', undefined);
		platform.executorFeed.put('x2', next);
		await waitUntil(
			'the second start',
			() => platform.executors.listRunning('x2').length > 0,
		);
		const runs = platform.executors.listStarts().map(({run}) => run);
		t.equal(runs.length, 2);
		t.ok(runs[1]! > runs[0]!);
	},
);

tap.t.test(
	'a wave maintains each machine once and is reported as completed',
	async (t) => {
		const ids = ['x', 'y', 'z'];
		const platform = createTestPlatform(ids);
		for (const id of ids) {
			platform.machines.put({
				id: `m-${id}`,
				pool: 's',
				state: 'up',
				availabilityZone: 'a',
				labels: [],
				capacity: createListedExecutor(id).capacity,
				executorId: id,
			});
		}

		let away = 0;
		let maxAwayAtOnce = 0;
		platform.machines.onCommand = ({machine}) => {
			away += 1;
			maxAwayAtOnce = Math.max(maxAwayAtOnce, away);
			setTimeout(() => {
				away -= 1;
				platform.machines.put({
					id: machine,
					pool: 's',
					state: 'up',
					availabilityZone: 'a',
					labels: [],
					capacity: createListedExecutor('x').capacity,
					executorId: `${machine}-again`,
				});
			}, 100);
		};

		await startDaemons(t, platform, ['a', 'b']);
		platform.operator.put('wave/1', {
			kind: 'wave',
			value: {
				id: '1',
				machines: ids.map((id) => `m-${id}`),
				durationMs: 20_000,
				maxAway: 1,
			},
		});
		await waitUntil(
			'the end of the wave',
			() => platform.waveStates.get('1') === 'completed',
		);
		t.same(
			platform.machines
				.listCommands()
				.map(({machine}) => machine)
				.toSorted(),
			['m-x', 'm-y', 'm-z'],
		);
		t.equal(maxAwayAtOnce, 1);
	},
);

tap.t.test(
	'an entry with a configuration matches the requests of its queues',
	async (t) => {
		const platform = createTestPlatform([]);
		const [daemon] = await startDaemons(t, platform, ['a']);
		await waitUntil('the configuration', () => daemon!.isReady());
		const {routes} = daemon!;
		t.match(routes.match('H:8080', '/q/0123'), {kind: 'queue', rest: '0123'});
		t.same(routes.match('h', '/r/0123'), {kind: 'unknown-queue'});
		t.same(routes.match('other', '/q/0123'), {kind: 'unknown-queue'});
	},
);

tap.t.test(
	'tasks of an unresponsive executor are started on another one',
	async (t) => {
		const platform = createTestPlatform(['x', 'yy']);
		const [daemon] = await startDaemons(t, platform, ['a']);
		await waitUntil('an owner', () => isServiceOwned(platform));
		await submit(daemon!, createId(1), createJobSpec({isLongRunning: true}));
		await waitUntil(
			'the start',
			() => platform.executors.listStarts().length > 0,
		);
		const [first] = platform.executors.listStarts();
		platform.executors.setFault(first!.executorId, 'silent');
		await waitUntil(
			'the start on the other executor',
			() => platform.executors.listStarts().length > 1,
		);
		const [, second] = platform.executors.listStarts();
		t.not(second!.executorId, first!.executorId);
	},
);

tap.t.test(
	'an entry that the store refuses works through other entries',
	async (t) => {
		const platform = createTestPlatform(['x']);
		const [other] = await startDaemons(t, platform, ['a']);
		await waitUntil('an owner', () => isServiceOwned(platform));
		let isRefused = false;
		const refuse = async () =>
			({ok: false, error: {kind: 'unavailable'}}) as const;
		const {store} = platform;
		const refusingPlatform: typeof platform = {
			...platform,
			store: {
				...store,
				transact: async (...args) =>
					isRefused ? refuse() : store.transact(...args),
				read: async (...args) => (isRefused ? refuse() : store.read(...args)),
			},
		};
		const [entry] = await startDaemons(t, refusingPlatform, ['b']);
		await waitUntil('readiness', () => entry!.isReady());
		isRefused = true;
		const id = createId(1);
		t.same(await submit(entry!, id), {ok: true, value: {isRepeat: false}});
		const cancelled = await entry!.service.cancel(route, id, now() + 2000);
		t.ok(cancelled.ok);
		await waitUntil(
			'the state',
			async () => (await readState(other!, id)) === 'cancelled',
		);
	},
);

tap.t.test('a queue that moves keeps its jobs', async (t) => {
	const platform = createTestPlatform(['x']);
	const [daemon] = await startDaemons(t, platform, ['a']);
	await waitUntil('an owner', () => isServiceOwned(platform));
	const id = createId(1);
	await submit(daemon!, id);
	await waitUntil(
		'the start',
		() => platform.executors.listRunning('x').length > 0,
	);
	const moved = {...route, service: 'other'};
	platform.operator.put('configuration', {
		kind: 'configuration',
		value: {
			...testConfiguration,
			version: 2,
			routes: [moved],
			services: ['s', 'other'].map((name) => ({
				name,
				rejectsOverload: false,
				isStandby: false,
			})),
		},
	});
	await waitUntil(
		'the configuration',
		() => daemon!.routes.get()?.version === 2,
	);
	await waitUntil('the owner of the other service', () =>
		platform.store.list('lease').some(({part}) => part === 'service/other'),
	);
	const state = await daemon!.service.readState(moved, id);
	t.same(state, {ok: true, value: 'running'});
	const again = await daemon!.service.submit(
		moved,
		{id, spec: createJobSpec()},
		now() + 2000,
	);
	t.same(again, {ok: true, value: {isRepeat: true}});
	const [later] = await startDaemons(t, platform, ['b']);
	await waitUntil('readiness', () => later!.isReady());
	const laterState = await later!.service.readState(moved, id);
	t.same(
		laterState,
		{ok: true, value: 'running'},
		'a daemon that started later finds it too',
	);
	platform.executors.finish('x', `${id}.0.0.0`, 'done');
	await waitUntil('the end', async () => {
		const end = await daemon!.service.readState(moved, id);
		return end.ok && end.value === 'completed';
	});
});
