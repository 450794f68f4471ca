import * as tap from 'tap';
import type {TaskSpec} from '../ports/workers.js';
import {createMemoryWorkers} from './workers.js';

const task: TaskSpec = {
	taskId: 't1',
	jobId: 'j1',
	fencingToken: 2,
	leaseMs: 100,
	cores: 4,
	memoryMb: 512,
	accelerators: 0,
};

const createFixture = () => {
	let at = 0;
	const rebooted: string[] = [];
	const workers = createMemoryWorkers({
		workers: ['w1'],
		now: () => at,
		reportAgeMs: 5,
		getBehaviour: () => ({
			runMs: 150,
			coresUsed: 2,
			memoryMbUsed: 300,
			failure: 'bad input',
		}),
		getIncarnation: () => 'life-2',
		onReboot: (worker) => rebooted.push(worker),
	});
	const setTime = (now: number) => {
		at = now;
	};

	return {workers, rebooted, setTime};
};

tap.t.test('a task stops when its lease is not renewed', async (t) => {
	const {workers, setTime} = createFixture();
	t.match(await workers.start('w1', task), {ok: true});
	setTime(100);
	t.match(await workers.report('w1'), {
		value: {measuredAt: 95, tasks: [{state: 'stopped', coresUsed: 0}]},
	});
});

tap.t.test('a renewed task reports its usage and then fails', async (t) => {
	const {workers, setTime} = createFixture();
	await workers.start('w1', task);
	setTime(90);
	await workers.renew('w1', ['t1', 'gone'], 100);
	await workers.throttle('w1', 't1', 0.5);
	t.match(await workers.report('w1'), {
		value: {tasks: [{state: 'throttled', coresUsed: 1}]},
	});
	setTime(150);
	await workers.renew('w1', ['t1'], 100);
	t.match(await workers.report('w1'), {value: {tasks: [{state: 'throttled'}]}});
	setTime(210);
	t.match(await workers.report('w1'), {
		value: {tasks: [{state: 'failed', reason: 'bad input'}]},
	});
});

tap.t.test('a task is started once for each fencing token', async (t) => {
	const {workers} = createFixture();
	await workers.start('w1', task);
	const refused = {ok: false, error: {kind: 'refused'}};
	for (const fencingToken of [1, 2, 3]) {
		t.match(await workers.start('w1', {...task, fencingToken}), refused);
	}

	await workers.stop('w1', ['t1']);
	t.match(await workers.start('w1', task), refused);
	t.match(await workers.start('w1', {...task, fencingToken: 3}), {ok: true});
	t.match(await workers.start('w2', task), {error: {kind: 'unreachable'}});
});

tap.t.test('a reboot stops all tasks and is reported', async (t) => {
	const {workers, rebooted} = createFixture();
	await workers.start('w1', task);
	t.match(await workers.checkpoint('w1', 't1'), {ok: true});
	await workers.reboot('w1', 'life-2');
	t.match(await workers.report('w1'), {
		value: {tasks: [{state: 'stopped', reason: 'reboot'}]},
	});
	t.match(await workers.checkpoint('w1', 't1'), {error: {kind: 'refused'}});
	t.same(rebooted, ['w1']);
	t.match(await workers.reboot('w1', 'life-1'), {error: {kind: 'refused'}});
	t.same(rebooted, ['w1'], 'a call for an earlier incarnation has no effect');
});
