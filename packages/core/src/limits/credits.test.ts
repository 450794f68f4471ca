import * as tap from 'tap';
import * as slots from './borrower-slots.js';
import * as books from './coordinator-ledger.js';
import * as homes from './coordinator.js';
import type {PoolMembers} from './borrower.js';
import * as borrowers from './borrower.js';
import type {CreditSettings} from './messages.js';
import * as messages from './messages.js';
import type {CreditEnvelope, PoolLimits} from './pool-limits.js';
import * as poolLimits from './pool-limits.js';
import * as rendezvous from './rendezvous.js';

const settings: CreditSettings = {
	leaseMs: 300,
	longestAttemptMs: 500,
	heartbeatMs: 100,
	fallbackFraction: 0.5,
};
const settleMs = messages.getSettleMs(settings);
const slotsByExecutor = new Map([['x', 8]]);
const ranked = rendezvous.rankMembers('pool', ['a', 'b', 'c']);
const [homeName = '', deputy = '', third = ''] = ranked;

const getMembers = (change: Partial<PoolMembers> = {}): PoolMembers => ({
	listed: ranked,
	unresponsive: new Set(),
	leaving: new Set(),
	ended: new Set(),
	slots: slotsByExecutor,
	...change,
});

type Fleet = {
	nowMs: number;
	readonly entries: Map<string, PoolLimits>;
	readonly waiting: Map<string, number[]>;
	readonly cutOff: Set<string>;
};

const createFleet = (names: readonly string[]): Fleet => ({
	nowMs: 0,
	entries: new Map(
		names.map((name) => [
			name,
			poolLimits.createPoolLimits('pool', name, settings, 0),
		]),
	),
	waiting: new Map(),
	cutOff: new Set(),
});

const deliver = (
	fleet: Fleet,
	from: string,
	envelopes: readonly CreditEnvelope[],
) => {
	for (const {to, message} of envelopes) {
		const entry = fleet.entries.get(to);
		if (entry && !fleet.cutOff.has(to) && !fleet.cutOff.has(from)) {
			deliver(
				fleet,
				to,
				poolLimits.receiveMessage(entry, message, fleet.nowMs),
			);
		}
	}
};

const step = (fleet: Fleet) => {
	const {nowMs} = fleet;
	for (const [name, entry] of fleet.entries) {
		deliver(fleet, name, poolLimits.tickPool(entry, nowMs));
		const waiting = fleet.waiting.get(name) ?? [];
		slots.releaseSpares(entry.borrower, waiting.length, nowMs);
		deliver(fleet, name, poolLimits.flushReport(entry, waiting, nowMs));
	}
};

/** Steps of 50 ms until a time. */
const run = (fleet: Fleet, untilMs: number) => {
	while (fleet.nowMs < untilMs) {
		fleet.nowMs += 50;
		step(fleet);
	}
};

const update = (fleet: Fleet, members: PoolMembers) => {
	for (const entry of fleet.entries.values()) {
		poolLimits.updatePool(entry, members, fleet.nowMs);
	}
};

const getEntry = (fleet: Fleet, name: string): PoolLimits => {
	const entry = fleet.entries.get(name);
	if (!entry) {
		throw new Error(`no entry ${name}`);
	}

	return entry;
};

const acquire = (fleet: Fleet, name: string, times: number): number => {
	const {borrower} = getEntry(fleet, name);
	let taken = 0;
	while (
		taken < times &&
		slots.acquireSlot(borrower, fleet.nowMs, fleet.nowMs + 1000, () => 1)
	) {
		taken++;
	}

	return taken;
};

const startFleet = () => {
	const fleet = createFleet(ranked);
	update(fleet, getMembers());
	run(fleet, 300);
	return fleet;
};

/** Queues requests, lets the home decide, takes what was granted. */
const ask = (fleet: Fleet, name: string, count: number): number => {
	const deadlines = Array.from({length: count}, () => fleet.nowMs + 1000);
	fleet.waiting.set(name, deadlines);
	getEntry(fleet, name).borrower.dirty = true;
	for (let each = 0; each < 3; each++) {
		step(fleet);
	}

	fleet.waiting.delete(name);
	return acquire(fleet, name, count);
};

tap.t.test('a lone entry has every slot at once', async (t) => {
	const fleet = createFleet(['a']);
	update(fleet, getMembers({listed: ['a']}));
	step(fleet);
	step(fleet);
	t.equal(ask(fleet, 'a', 20), 8);
});

tap.t.test('a fleet that starts together waits for nobody', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, third, 20), 8);
	t.equal(ask(fleet, deputy, 20), 0);
});

tap.t.test('a freed slot goes to the request due first', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, homeName, 8), 8);
	fleet.waiting.set(deputy, [fleet.nowMs + 900]);
	fleet.waiting.set(third, [fleet.nowMs + 200]);
	run(fleet, fleet.nowMs + 200);
	const {borrower} = getEntry(fleet, homeName);
	slots.finishSlot(borrower, 'x');
	slots.releaseSpares(borrower, 0, fleet.nowMs);
	run(fleet, fleet.nowMs + 100);
	t.equal(borrowers.getHeld(getEntry(fleet, third).borrower, 'x'), 1);
	t.equal(borrowers.getHeld(getEntry(fleet, deputy).borrower, 'x'), 0);
});

tap.t.test('a borrower that is cut off stops, and is replaced', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, third, 8), 8);
	const {borrower} = getEntry(fleet, third);
	fleet.cutOff.add(third);
	const cutAtMs = fleet.nowMs;
	run(fleet, cutAtMs + settings.leaseMs);
	for (let each = 0; each < 8; each++) {
		slots.finishSlot(borrower, 'x');
	}

	const share = borrower.shares.get('x') ?? 0;
	t.equal(acquire(fleet, third, 8), share, 'no more than its static share');
	t.equal(ask(fleet, deputy, 8), 0, 'its requests may still run');
	run(fleet, cutAtMs + messages.getHoldMs(settings) + 100);
	t.equal(ask(fleet, deputy, 8), 8 - share);
});

tap.t.test('a new home grants only what it accounts for', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, deputy, 2), 2);
	t.equal(ask(fleet, third, 1), 1);
	const accounted =
		borrowers.getHeld(getEntry(fleet, deputy).borrower, 'x') +
		borrowers.getHeld(getEntry(fleet, third).borrower, 'x');
	const share = getEntry(fleet, homeName).borrower.shares.get('x') ?? 0;
	fleet.entries.delete(homeName);
	update(fleet, getMembers({unresponsive: new Set([homeName])}));
	const lostAtMs = fleet.nowMs;
	run(fleet, lostAtMs + 150);
	const early = ask(fleet, third, 8);
	t.equal(early, accounted - 3, 'other grants may still be in use');
	run(fleet, lostAtMs + settleMs + 100);
	t.equal(ask(fleet, third, 8), 8 - share - 3 - early);
});

tap.t.test('a home whose process has ended is replaced at once', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, deputy, 2), 2);
	fleet.entries.delete(homeName);
	const ended = new Set([homeName]);
	update(fleet, getMembers({listed: [deputy, third], ended}));
	run(fleet, fleet.nowMs + 100);
	t.equal(ask(fleet, third, 8), 6);
});

tap.t.test('a home that leaves hands over all credits', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, homeName, 2), 2);
	update(fleet, getMembers({leaving: new Set([homeName])}));
	run(fleet, fleet.nowMs + 100);
	const {borrower} = getEntry(fleet, homeName);
	slots.releaseSpares(borrower, 0, fleet.nowMs);
	run(fleet, fleet.nowMs + 100);
	t.equal(borrowers.getHeld(borrower, 'x'), 2);
	t.equal(ask(fleet, third, 8), 6);
});

tap.t.test('entries cut off from one another keep their share', async (t) => {
	const fleet = startFleet();
	for (const name of ranked) {
		fleet.cutOff.add(name);
	}

	for (const [name, entry] of fleet.entries) {
		const silent = new Set(ranked.filter((each) => each !== name));
		poolLimits.updatePool(
			entry,
			getMembers({unresponsive: silent}),
			fleet.nowMs,
		);
	}

	run(fleet, fleet.nowMs + 2 * settleMs);
	let sum = 0;
	for (const name of ranked) {
		const taken = ask(fleet, name, 8);
		t.ok(taken >= 1, `${name} has ${taken}`);
		sum += taken;
	}

	t.ok(sum <= 8);
});

tap.t.test('an executor taken out of use gets its credits back', async (t) => {
	const fleet = startFleet();
	t.equal(ask(fleet, third, 3), 3);
	update(fleet, getMembers({slots: new Map()}));
	const {borrower} = getEntry(fleet, third);
	t.equal(acquire(fleet, third, 1), 0);
	for (let each = 0; each < 3; each++) {
		slots.finishSlot(borrower, 'x');
	}

	slots.releaseSpares(borrower, 0, fleet.nowMs);
	t.equal(borrowers.getHeld(borrower, 'x'), 0);
});

tap.t.test('late copies of a forgotten session free nothing', async (t) => {
	const self = {self: 'a', term: 'a:1'};
	const home = homes.createCoordinator('pool', self, settings, 0);
	homes.updateCoordinator(home, getMembers({listed: ['a']}), 0);
	const own = borrowers.createBorrower('pool', 'a', settings, 0);
	borrowers.updateMembers(own, getMembers({listed: ['a']}), 0);
	homes.receiveReport(home, borrowers.createReport(own, [], 0), 0);
	const gone = borrowers.createBorrower('pool', 'gone', settings, 0);
	const first = borrowers.createReport(gone, [], 0);
	homes.receiveReport(home, first, 0);
	const last = {...first, term: 'a:1', released: {x: 3}, sentAtMs: 1};
	homes.receiveReport(home, last, 1);
	t.equal(home.complete, true);
	const parked = 1;
	t.ok((books.getFree(home).get('x') ?? 0) <= 8 - parked);
});
