import * as tap from 'tap';
import {createMemoryTableService} from '../memory/table-service.js';
import {createRateSharer, type RateShare} from './index.js';

const fleetRate = {readsPerSecond: 200, writesPerSecond: 100};

const createFleet = (demands: readonly number[]) => {
	let at = 0;
	const tables = createMemoryTableService();
	const shares = new Map<number, RateShare>();
	const sharers = demands.map((demand, index) =>
		createRateSharer({
			tables,
			id: `d${index}`,
			fleetRate,
			expireAfterMs: 1000,
			env: {now: () => at, wait: async () => undefined, random: () => 0.5},
			guard: {
				getDemand: () => ({readsPerSecond: 0, writesPerSecond: demand}),
				setShare: (share) => shares.set(index, share),
			},
		}),
	);
	const exchange = async (count = sharers.length) => {
		for (let round = 0; round < 2; round += 1) {
			for (const sharer of sharers.slice(0, count)) {
				await sharer.exchange();
			}
		}
	};

	const getWrites = () =>
		[...shares.values()].map(({writesPerSecond}) => writesPerSecond);
	const passTime = (ms: number) => {
		at += ms;
	};

	return {sharers, exchange, getWrites, passTime};
};

tap.t.test('a busy daemon gets the unused share of idle ones', async (t) => {
	const {exchange, getWrites} = createFleet([100, 0, 0, 0]);
	await exchange();
	t.same(getWrites(), [62.5, 12.5, 12.5, 12.5]);
});

tap.t.test(
	'busy daemons get equal shares that add up to the rate',
	async (t) => {
		const {exchange, getWrites} = createFleet([100, 100, 100, 100]);
		await exchange();
		t.same(getWrites(), [25, 25, 25, 25]);
	},
);

tap.t.test('a terminated daemon counts until its row expires', async (t) => {
	const {exchange, getWrites, passTime} = createFleet([100, 100]);
	await exchange();
	for (const writes of [50, 50, 100]) {
		passTime(900);
		await exchange(1);
		t.equal(getWrites()[0], writes);
	}
});

tap.t.test('after an outage every daemon counts again', async (t) => {
	const {exchange, getWrites, passTime} = createFleet([100, 100]);
	await exchange();
	passTime(600_000);
	await exchange(1);
	t.same(getWrites(), [50, 50]);
});

tap.t.test('listed daemons without a row keep their share', async (t) => {
	const {sharers, exchange, getWrites} = createFleet([100, 100]);
	for (const sharer of sharers) {
		sharer.setListedEntryCount(4);
	}

	await exchange();
	t.same(getWrites(), [25, 25]);
	await sharers[1]!.leave();
	sharers[0]!.setListedEntryCount(1);
	await sharers[0]!.exchange();
	t.equal(getWrites()[0], 100);
});
