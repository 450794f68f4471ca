import * as tap from 'tap';
import {createShardFailures} from './shard-failures.js';

/** Time of a failure and the length of the pause after it, in milliseconds. */
const failures = [
	[0, 2500],
	[2500, 5000],
	[8000, 10_000],
	[20_000, 20_000],
	[41_000, 30_000],
	[80_000, 30_000],
	[150_000, 2500],
] as const;

tap.t.test('a daemon leaves a shard longer after each failure', async (t) => {
	const clock = {at: 0};
	const record = createShardFailures(() => clock.at);
	t.notOk(record.isPausing('s', true));
	for (const [at, pauseMs] of failures) {
		clock.at = at;
		record.add('s');
		clock.at = at + pauseMs - 1;
		t.ok(record.isPausing('s', true), `after ${at} ms`);
		t.notOk(record.isPausing('other', true));
		clock.at += 1;
		t.notOk(record.isPausing('s', true));
	}
});

tap.t.test('a daemon that is alone leaves no shard for long', async (t) => {
	const clock = {at: 0};
	const record = createShardFailures(() => clock.at);
	t.notOk(record.isPausing('s', false));
	for (const [at] of failures) {
		clock.at = at;
		record.add('s');
		clock.at = at + 2499;
		t.ok(record.isPausing('s', false), `after ${at} ms`);
		clock.at += 1;
		t.notOk(record.isPausing('s', false));
	}
});
