import * as tap from 'tap';
import * as slots from './borrower-slots.js';
import * as ledger from './coordinator-ledger.js';
import * as coordinators from './coordinator.js';
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
const [coordinatorName = '', second = '', third = ''] = ranked;

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
	readonly disconnected: Set<string>;
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
	disconnected: new Set(),
});

const deliver = (
	fleet: Fleet,
	from: string,
	envelopes: readonly CreditEnvelope[],
) => {
	for (const {to, message} of envelopes) {
		const entry = fleet.entries.get(to);
		if (entry && !fleet.disconnected.has(to) && !fleet.disconnected.has(from)) {
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

/** Steps the fleet by 50 ms until a time. */
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
	let acquired = 0;
	while (
		acquired < times &&
		slots.acquireSlot(borrower, fleet.nowMs, fleet.nowMs + 1000, () => 1)
	) {
		acquired++;
	}

	return acquired;
};

const startFleet = () => {
	const fleet = createFleet(ranked);
	update(fleet, getMembers());
	run(fleet, 300);
	return fleet;
};

/** Queues requests, steps until grants arrive, acquires the granted slots. */
const requestSlots = (fleet: Fleet, name: string, count: number): number => {
	const deadlines = Array.from({length: count}, () => fleet.nowMs + 1000);
	fleet.waiting.set(name, deadlines);
	getEntry(fleet, name).borrower.dirty = true;
	for (let each = 0; each < 3; each++) {
		step(fleet);
	}

	fleet.waiting.delete(name);
	return acquire(fleet, name, count);
};

tap.t.test('a single entry gets every slot at once', async (t) => {
	const fleet = createFleet(['a']);
	update(fleet, getMembers({listed: ['a']}));
	step(fleet);
	step(fleet);
	t.equal(requestSlots(fleet, 'a', 20), 8);
});

tap.t.test(
	'entries that start together grant every slot without a wait',
	async (t) => {
		const fleet = startFleet();
		t.equal(requestSlots(fleet, third, 20), 8);
		t.equal(requestSlots(fleet, second, 20), 0);
	},
);

tap.t.test('a released slot goes to the earliest deadline', async (t) => {
	const fleet = startFleet();
	t.equal(requestSlots(fleet, coordinatorName, 8), 8);
	fleet.waiting.set(second, [fleet.nowMs + 900]);
	fleet.waiting.set(third, [fleet.nowMs + 200]);
	run(fleet, fleet.nowMs + 200);
	const {borrower} = getEntry(fleet, coordinatorName);
	slots.finishSlot(borrower, 'x');
	slots.releaseSpares(borrower, 0, fleet.nowMs);
	run(fleet, fleet.nowMs + 100);
	t.equal(borrowers.getHeld(getEntry(fleet, third).borrower, 'x'), 1);
	t.equal(borrowers.getHeld(getEntry(fleet, second).borrower, 'x'), 0);
});

tap.t.test(
	'credits of a disconnected borrower are granted again after the hold time',
	async (t) => {
		const fleet = startFleet();
		t.equal(requestSlots(fleet, third, 8), 8);
		const {borrower} = getEntry(fleet, third);
		fleet.disconnected.add(third);
		const disconnectedAtMs = fleet.nowMs;
		run(fleet, disconnectedAtMs + settings.leaseMs);
		for (let each = 0; each < 8; each++) {
			slots.finishSlot(borrower, 'x');
		}

		const share = borrower.shares.get('x') ?? 0;
		t.equal(acquire(fleet, third, 8), share, 'no more than its static share');
		t.equal(requestSlots(fleet, second, 8), 0, 'its requests may still run');
		run(fleet, disconnectedAtMs + messages.getHoldMs(settings) + 100);
		t.equal(requestSlots(fleet, second, 8), 8 - share);
	},
);

tap.t.test(
	'a new coordinator grants only credits that it accounts for',
	async (t) => {
		const fleet = startFleet();
		t.equal(requestSlots(fleet, second, 2), 2);
		t.equal(requestSlots(fleet, third, 1), 1);
		const accounted =
			borrowers.getHeld(getEntry(fleet, second).borrower, 'x') +
			borrowers.getHeld(getEntry(fleet, third).borrower, 'x');
		const share =
			getEntry(fleet, coordinatorName).borrower.shares.get('x') ?? 0;
		fleet.entries.delete(coordinatorName);
		update(fleet, getMembers({unresponsive: new Set([coordinatorName])}));
		const lostAtMs = fleet.nowMs;
		run(fleet, lostAtMs + 150);
		const acquiredEarly = requestSlots(fleet, third, 8);
		t.equal(acquiredEarly, accounted - 3, 'other grants may still be in use');
		run(fleet, lostAtMs + settleMs + 100);
		t.equal(requestSlots(fleet, third, 8), 8 - share - 3 - acquiredEarly);
	},
);

tap.t.test('a terminated coordinator is replaced at once', async (t) => {
	const fleet = startFleet();
	t.equal(requestSlots(fleet, second, 2), 2);
	fleet.entries.delete(coordinatorName);
	const ended = new Set([coordinatorName]);
	update(fleet, getMembers({listed: [second, third], ended}));
	run(fleet, fleet.nowMs + 100);
	t.equal(requestSlots(fleet, third, 8), 6);
});

tap.t.test('a leaving coordinator hands over all credits', async (t) => {
	const fleet = startFleet();
	t.equal(requestSlots(fleet, coordinatorName, 2), 2);
	update(fleet, getMembers({leaving: new Set([coordinatorName])}));
	run(fleet, fleet.nowMs + 100);
	const {borrower} = getEntry(fleet, coordinatorName);
	slots.releaseSpares(borrower, 0, fleet.nowMs);
	run(fleet, fleet.nowMs + 100);
	t.equal(borrowers.getHeld(borrower, 'x'), 2);
	t.equal(requestSlots(fleet, third, 8), 6);
});

tap.t.test(
	'entries disconnected from one another keep their static share',
	async (t) => {
		const fleet = startFleet();
		for (const name of ranked) {
			fleet.disconnected.add(name);
		}

		for (const [name, entry] of fleet.entries) {
			const unresponsive = new Set(ranked.filter((each) => each !== name));
			poolLimits.updatePool(entry, getMembers({unresponsive}), fleet.nowMs);
		}

		run(fleet, fleet.nowMs + 2 * settleMs);
		let sum = 0;
		for (const name of ranked) {
			const acquired = requestSlots(fleet, name, 8);
			t.ok(acquired >= 1, `${name} has ${acquired}`);
			sum += acquired;
		}

		t.ok(sum <= 8);
	},
);

tap.t.test('credits of a removed executor are released', async (t) => {
	const fleet = startFleet();
	t.equal(requestSlots(fleet, third, 3), 3);
	update(fleet, getMembers({slots: new Map()}));
	const {borrower} = getEntry(fleet, third);
	t.equal(acquire(fleet, third, 1), 0);
	for (let each = 0; each < 3; each++) {
		slots.finishSlot(borrower, 'x');
	}

	slots.releaseSpares(borrower, 0, fleet.nowMs);
	t.equal(borrowers.getHeld(borrower, 'x'), 0);
});

tap.t.test(
	'late copies of a report from a removed session free no slots',
	async (t) => {
		const self = {self: 'a', term: 'a:1'};
		const coordinator = coordinators.createCoordinator(
			'pool',
			self,
			settings,
			0,
		);
		coordinators.updateCoordinator(coordinator, getMembers({listed: ['a']}), 0);
		const own = borrowers.createBorrower('pool', 'a', settings, 0);
		borrowers.updateMembers(own, getMembers({listed: ['a']}), 0);
		coordinators.receiveReport(
			coordinator,
			borrowers.createReport(own, [], 0),
			0,
		);
		const removed = borrowers.createBorrower('pool', 'gone', settings, 0);
		const first = borrowers.createReport(removed, [], 0);
		coordinators.receiveReport(coordinator, first, 0);
		const last = {...first, term: 'a:1', released: {x: 3}, sentAtMs: 1};
		coordinators.receiveReport(coordinator, last, 1);
		t.equal(coordinator.complete, true);
		const heldInAdvance = 1;
		t.ok((ledger.getFree(coordinator).get('x') ?? 0) <= 8 - heldInAdvance);
	},
);
