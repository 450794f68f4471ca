import * as tap from 'tap';
import {startPauseTolerantTimer} from './pause-tolerant-timer.js';

const blockFor = (ms: number) => {
	const until = performance.now() + ms;
	while (performance.now() < until) {
		// Blocks the event loop.
	}
};

tap.t.test('pauses of the process are not counted', async (t) => {
	const startedAt = performance.now();
	const expired = new Promise<void>((resolve) => {
		startPauseTolerantTimer(200, resolve);
	});
	blockFor(400);
	await expired;
	// Three of four slices remained after the pause.
	t.ok(performance.now() - startedAt >= 400 + 140);
});

tap.t.test('input received in a pause is read before expiry', async (t) => {
	const order: string[] = [];
	await new Promise<void>((resolve) => {
		// Started in the check phase, so that the timer is due before the next.
		setImmediate(() => {
			startPauseTolerantTimer(10, () => {
				order.push('expired');
				resolve();
			});
			blockFor(30);
			setImmediate(() => {
				order.push('input');
			});
		});
	});
	t.same(order, ['input', 'expired']);
});

tap.t.test('a cancelled timer never expires', async (t) => {
	for (const delayMs of [0, 60]) {
		const timer = startPauseTolerantTimer(delayMs, () => {
			t.fail('expired');
		});
		timer.cancel();
	}

	await new Promise((resolve) => {
		setTimeout(resolve, 100);
	});
	t.pass('nothing happened');
});
