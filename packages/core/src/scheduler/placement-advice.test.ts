import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	planAndStart,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const request = {stepId: 'a.0.0', executorIds: ['x', 'yy']};

const answer: scheduler.Advice = {tickets: [['yy', 't1']], validMs: 3000};

const createWorld = () => {
	const owner = createTestOwner([createListed('x'), createListed('yy')]);
	submit(
		owner,
		createAccepted('a', [{count: 2}], {policy: {needsAdvice: true}}),
	);
	const first = describeCommands(planAndStart(owner, 0));
	return {owner, first};
};

tap.t.test(
	'a queue with advice: asked once, then started with a ticket',
	async (t) => {
		const {owner, first} = createWorld();
		t.same(first, ['ask for a.0.0: x, yy']);
		t.same(planAndStart(owner, 10), [], 'not asked twice');
		scheduler.applyAdvice(owner, request, answer, 20);
		const orders = planAndStart(owner, 30);
		t.same(describeCommands(orders), [
			'start a.0.0.0 on yy',
			'start a.0.0.1 on yy',
		]);
		t.match(orders, [{ticket: 't1'}, {ticket: 't1'}]);
	},
);

tap.t.test('no answer is asked for again after a while', async (t) => {
	const {owner} = createWorld();
	scheduler.applyAdvice(owner, request, undefined, 20);
	t.same(planAndStart(owner, 30), []);
	t.same(describeCommands(planAndStart(owner, 400)), ['ask for a.0.0: x, yy']);
});

tap.t.test(
	'tickets expire; who is not named is not asked about again',
	async (t) => {
		const {owner} = createWorld();
		scheduler.applyAdvice(owner, request, answer, 20);
		t.same(describeCommands(planAndStart(owner, 2900)), ['ask for a.0.0: yy']);
	},
);

tap.t.test('an executor that comes later is asked about', async (t) => {
	const {owner} = createWorld();
	scheduler.applyAdvice(owner, request, {...answer, tickets: []}, 20);
	t.same(planAndStart(owner, 30), []);
	scheduler.recordListedExecutor(owner, createListed('new'));
	const executor = owner.executors.get('new')!;
	executor.isAdopted = true;
	executor.isRostered = true;
	t.same(describeCommands(planAndStart(owner, 40)), ['ask for a.0.0: new']);
});

tap.t.test('a ticket that is refused is asked for anew', async (t) => {
	const {owner} = createWorld();
	scheduler.applyAdvice(owner, request, answer, 20);
	const [order] = scheduler.planCommands(owner, 30, 30);
	if (order?.kind !== 'start') {
		throw new Error('no start');
	}

	const refused = {kind: 'refused', reason: 'ticket', clockMs: 31} as const;
	scheduler.applyStartAnswer(owner, order.run, refused, 31);
	t.match(describeCommands(planAndStart(owner, 40)), ['ask for a.0.0: yy']);
});
