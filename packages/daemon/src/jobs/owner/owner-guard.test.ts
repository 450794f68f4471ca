import * as tap from 'tap';
import {now, waitUntil} from '../job-daemon.test.fixture.js';
import {periods} from '../periods.js';
import {createOwnerGuard, type OwnerLoop} from './owner-guard.js';

const createGuard = (t: Pick<typeof tap.t, 'teardown'>) => {
	const failed: OwnerLoop[] = [];
	const state = {isStopped: false};
	let lines = 0;
	const guard = createOwnerGuard({
		logger: {
			error() {
				lines += 1;
				return undefined as never;
			},
		},
		metrics: {count: () => undefined},
		isStopped: () => state.isStopped,
		onFailed(loop) {
			failed.push(loop);
		},
	});
	t.teardown(guard.stop);
	return {guard, failed, state, countLines: () => lines};
};

const throwFault = () => {
	throw new Error('fault');
};

tap.t.test('an owner ends once, whatever fails after that', async (t) => {
	const {guard, failed, countLines} = createGuard(t);
	guard.run('rows', throwFault);
	guard.start('removal', async () => throwFault());
	guard.createReporter('job-feed')(new Error('fault'));
	await waitUntil('the lines', () => countLines() === 3);
	t.same(failed, ['rows']);
});

tap.t.test('a failure after the end of an owner is only logged', async (t) => {
	const {guard, failed, state, countLines} = createGuard(t);
	state.isStopped = true;
	guard.run('plan', throwFault);
	t.same([failed.length, countLines()], [0, 1]);
});

tap.t.test('an owner ends that plans no more', async (t) => {
	const {guard, failed} = createGuard(t);
	guard.watchPlans();
	const until = now() + 2 * periods.leaseMs;
	while (now() < until) {
		guard.notePlan();
		await new Promise((resolve) => {
			setTimeout(resolve, periods.planIntervalMs);
		});
	}

	t.same(failed, []);
	await waitUntil('the failure', () => failed.length > 0);
	t.same(failed, ['plan']);
});
