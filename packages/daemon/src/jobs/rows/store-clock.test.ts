/** Guards against ends by the store's clock that come before the local ones. */
import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {getLatestStoreMs, getMaxRemainingMs} from './store-clock.js';

const drift = 1 + scheduler.maxClockDrift;

type Case = {
	readonly name: string;
	/** The local clocks, which were at 0 when the store showed 10,000 ms. */
	readonly now: number;
	readonly epochNow: number;
	/** Local time to express by the store's clock. */
	readonly at: number;
	readonly latestMs: number;
};

const cases: readonly Case[] = [
	{name: 'now', now: 500, epochNow: 500, at: 500, latestMs: 500 * drift},
	{
		name: 'the past',
		now: 500,
		epochNow: 500,
		at: 200,
		latestMs: 500 * drift - 300,
	},
	{
		name: 'the future',
		now: 500,
		epochNow: 500,
		at: 1500,
		latestMs: (500 + 1000) * drift,
	},
	{
		name: 'the future after a suspension',
		now: 500,
		epochNow: 4000,
		at: 1500,
		latestMs: (4000 + 1000) * drift,
	},
	{
		name: 'the future after the wall clock was set back',
		now: 500,
		epochNow: -60_000,
		at: 1500,
		latestMs: (500 + 1000) * drift,
	},
];

for (const {name, now, epochNow, at, latestMs} of cases) {
	tap.t.test(`the store's clock at a local time in ${name}`, async (t) => {
		const clock = {now: () => now, epochNow: () => epochNow};
		const reading = {nowMs: 10_000, sent: {at: 0, epochAt: 0}};
		t.equal(getLatestStoreMs(clock, reading, at), 10_000 + latestMs);
		const remainingMs = getMaxRemainingMs(reading, 10_000 + 5000);
		t.equal(remainingMs, 5000 * drift);
	});
}
