/** What is granted on a dark executor ends, whoever owns the service by then. */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	pollExecutor,
	flushAll,
	submit,
	testConfig,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const {suspectAfterMs} = scheduler;
const grantedMs = scheduler.getMaxLeaseDurationMs(testConfig);

/** The mark of an executor in the roster that is stored next. */
const flushMark = (owner: scheduler.Owner, id: string): number | undefined => {
	const flush = scheduler.beginFlush(owner, 100);
	scheduler.completeFlush(owner, flush);
	return flush.roster?.find(({listed}) => listed.id === id)?.suspectedSince;
};

type Case = {
	readonly name: string;
	readonly prepare: (owner: scheduler.Owner) => void;
	readonly now: number;
	readonly darkSince: number | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'one that answers has no mark',
		prepare: () => undefined,
		now: 10_000,
		darkSince: undefined,
	},
	{
		name: 'a look that was lost is no reason',
		prepare(owner) {
			scheduler.markUnresponsive(owner, 'x', 100);
		},
		now: 100 + suspectAfterMs - 1,
		darkSince: undefined,
	},
	{
		name: 'one that stays silent is dark since the first call in vain',
		prepare(owner) {
			scheduler.markUnresponsive(owner, 'x', 100);
			scheduler.markUnresponsive(owner, 'x', 900);
		},
		now: 100 + suspectAfterMs,
		darkSince: 100,
	},
	{
		name: 'one that never answered is dark since the owner before let go',
		prepare(owner) {
			scheduler.inheritExecutor(owner, createListed('x'), 500 + grantedMs);
			scheduler.markUnresponsive(owner, 'x', 1100);
		},
		now: 1100 + suspectAfterMs,
		darkSince: 500,
	},
	{
		name: 'the mark of an earlier owner stays',
		prepare(owner) {
			scheduler.inheritExecutor(
				owner,
				createListed('x'),
				grantedMs - 2000,
				-2000,
			);
			scheduler.markUnresponsive(owner, 'x', 600);
			scheduler.recordListedExecutor(owner, createListed('new'));
		},
		now: 600 + suspectAfterMs,
		darkSince: -2000,
	},
	{
		name: 'it stays when its leases are over, too',
		prepare(owner) {
			scheduler.inheritExecutor(owner, createListed('x'), 10, -grantedMs);
			scheduler.recordListedExecutor(owner, createListed('x'));
			scheduler.markUnresponsive(owner, 'x', 600);
			scheduler.expireLeases(owner, 700);
			scheduler.recordListedExecutor(owner, createListed('new'));
		},
		now: 9000,
		darkSince: -grantedMs,
	},
];

for (const {name, prepare, now, darkSince} of cases) {
	tap.t.test(name, async (t) => {
		const owner = createTestOwner([createListed('x'), createListed('yy')]);
		prepare(owner);
		scheduler.markSuspected(owner, suspectAfterMs, now);
		t.equal(flushMark(owner, 'x'), darkSince);
		t.equal(owner.isRosterDirty, false);
	});
}

/** An owner with one marked executor and a job that waits. */
const createMarked = () => {
	const owner = createTestOwner([createListed('x')]);
	submit(owner, createAccepted('a'));
	scheduler.markUnresponsive(owner, 'x', 100);
	scheduler.markSuspected(owner, suspectAfterMs, 100 + suspectAfterMs);
	const plan = (now: number) =>
		describeCommands(scheduler.planCommands(owner, now, now));
	return {owner, executor: owner.executors.get('x')!, plan};
};

tap.t.test(
	'one that answers gets nothing while its mark is stored',
	async (t) => {
		const {owner, executor, plan} = createMarked();
		flushAll(owner);
		pollExecutor(owner, 'x', {at: 2000});
		t.notOk(scheduler.mayGrantLease(executor));
		t.same(plan(2001), []);
		t.equal(flushMark(owner, 'x'), undefined);
		t.ok(scheduler.mayGrantLease(executor));
		t.same(plan(2002), ['start a.0.0.0 on x']);
	},
);

tap.t.test(
	'a roster with the mark that is on its way proves nothing',
	async (t) => {
		const {owner, executor, plan} = createMarked();
		const marked = scheduler.beginFlush(owner, 100);
		pollExecutor(owner, 'x', {at: 2000});
		scheduler.completeFlush(owner, marked);
		t.notOk(scheduler.mayGrantLease(executor));
		t.same(plan(2001), []);
		t.ok(scheduler.needsFlush(owner), 'a roster without it is to be stored');
	},
);

tap.t.test('a mark that was never sent costs nothing', async (t) => {
	const {owner, executor, plan} = createMarked();
	pollExecutor(owner, 'x', {at: 2000});
	t.ok(scheduler.mayGrantLease(executor));
	t.same(plan(2001), ['start a.0.0.0 on x']);
});

tap.t.test('a mark tells the fleet for how long it is silent', async (t) => {
	const owner = createTestOwner([createListed('yy')]);
	scheduler.inheritExecutor(owner, createListed('x'), 10, -4000);
	t.same(
		scheduler.describeLoad(owner, 600, 600).silent,
		{},
		'it may answer yet',
	);
	scheduler.markUnresponsive(owner, 'x', 600);
	t.same(scheduler.describeLoad(owner, 700, 700).silent, {x: 4700});
});
