/** Guards against a line at the advice service that its own client makes longer. */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const cfg = scheduler.defaultAdviceLineConfig;

const costMs = 500;

/** When calls are sent while none of them is answered. */
const listSilentCalls = (count: number): readonly number[] => {
	let line = scheduler.emptyAdviceLine;
	let now = 0;
	return Array.from({length: count}, () => {
		now = Math.max(now, scheduler.getNextCallAt(line));
		({line} = scheduler.beginAdviceCall(line, costMs, now));
		return now;
	});
};

tap.t.test(
	'a call waits for the one before, and longer each time',
	async (t) => {
		const sentAt = listSilentCalls(cfg.maxCalls);
		const gaps = sentAt.slice(1).map((at, index) => at - sentAt[index]!);
		t.same(gaps, [1300, 2300, 3300]);
		let line = scheduler.emptyAdviceLine;
		for (const at of sentAt) {
			({line} = scheduler.beginAdviceCall(line, costMs, at));
		}

		t.equal(scheduler.getNextCallAt(line), Infinity, 'no more are sent');
	},
);

tap.t.test('an answer lets the next call be sent at once', async (t) => {
	const {line, call} = scheduler.beginAdviceCall(
		scheduler.emptyAdviceLine,
		costMs,
		0,
	);
	const ended = scheduler.endAdviceCall(line, call, 'answered', {
		now: costMs,
		random: 0.5,
	});
	t.equal(scheduler.getNextCallAt(ended), costMs);
	t.equal(ended.slowness, 1);
});

type PauseCase = {
	readonly random: number;
	readonly pauses: readonly number[];
};

const pauseCases: readonly PauseCase[] = [
	{random: 0, pauses: [125, 250, 500, 1000, 2000, 2000]},
	{random: 1, pauses: [250, 500, 1000, 2000, 4000, 4000]},
];

for (const outcome of ['busy', 'no-answer'] as const) {
	for (const {random, pauses} of pauseCases) {
		tap.t.test(`pauses grow after ${outcome}, random ${random}`, async (t) => {
			let line = scheduler.emptyAdviceLine;
			const seen = pauses.map(() => {
				const begun = scheduler.beginAdviceCall(line, costMs, 0);
				line = scheduler.endAdviceCall(begun.line, begun.call, outcome, {
					now: 0,
					random,
				});
				return scheduler.getNextCallAt(line);
			});
			t.same(seen, pauses);
		});
	}
}

type SlowCase = {
	readonly name: string;
	/** How long the answers take, one after another. */
	readonly tookMs: readonly number[];
	readonly slowness: number;
};

const slowCases: readonly SlowCase[] = [
	{name: 'as stated', tookMs: [500, 500], slowness: 1},
	{name: 'with the delay of the network', tookMs: [700, 700], slowness: 1},
	{name: 'four times as slow', tookMs: [2300, 2300, 2300], slowness: 4},
	{name: 'faster again', tookMs: [2300, 2300, 500, 500, 500], slowness: 1},
	{name: 'bounded', tookMs: Array.from({length: 9}, () => 1e6), slowness: 16},
];

for (const {name, tookMs, slowness} of slowCases) {
	tap.t.test(`the time of the service is learnt: ${name}`, async (t) => {
		let line = scheduler.emptyAdviceLine;
		for (const ms of tookMs) {
			const begun = scheduler.beginAdviceCall(line, costMs, 0);
			line = scheduler.endAdviceCall(begun.line, begun.call, 'answered', {
				now: ms,
				random: 0,
			});
		}

		t.equal(line.slowness, slowness);
	});
}

type WishCase = {
	readonly name: string;
	/** Jobs by when they come, and their priority. */
	readonly jobs: ReadonlyArray<
		readonly [id: string, at: number, priority: number]
	>;
	readonly order: readonly string[];
};

const wishCases: readonly WishCase[] = [
	{
		name: 'the oldest first',
		jobs: [
			['a', 0, 0],
			['b', 100, 0],
			['c', 50, 0],
		],
		order: ['a', 'c', 'b'],
	},
	{
		name: 'a higher priority first',
		jobs: [
			['a', 0, 1],
			['b', 2000, 0],
		],
		order: ['b', 'a'],
	},
	{
		name: 'a lower priority does not wait for ever',
		jobs: [
			['a', 0, 1],
			['b', 5000, 0],
		],
		order: ['a', 'b'],
	},
];

for (const {name, jobs, order} of wishCases) {
	tap.t.test(`the order of requests: ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		for (const [id, at, priority] of jobs.toSorted(
			([, one], [, two]) => one - two,
		)) {
			submit(
				owner,
				createAccepted(id, [{}], {policy: {needsAdvice: true, priority}}),
			);
			scheduler.planCommands(owner, at, at);
		}

		const taken: string[] = [];
		for (
			let wish = scheduler.findAdviceWish(owner);
			wish;
			wish = scheduler.findAdviceWish(owner)
		) {
			taken.push(scheduler.takeAdviceRequest(owner, wish).stepId.charAt(0));
		}

		t.same(taken, order);
	});
}

const createAdvised = (
	step: Partial<scheduler.StepSpec>,
	adviceCost: scheduler.AdviceCost,
) => createAccepted('a', [step], {policy: {needsAdvice: true, adviceCost}});

type SizeCase = {
	readonly name: string;
	readonly step: Partial<scheduler.StepSpec>;
	readonly cost: scheduler.AdviceCost;
	readonly asked: number;
};

const sizeCases: readonly SizeCase[] = [
	{
		name: 'all that cost little',
		step: {},
		cost: {decisionMs: 400, eachMs: 10},
		asked: 30,
	},
	{
		name: 'few for few tasks where each costs much',
		step: {count: 2},
		cost: {decisionMs: 100, eachMs: 100},
		asked: 4,
	},
	{
		name: 'all for a gang',
		step: {count: 2, isGang: true},
		cost: {decisionMs: 100, eachMs: 100},
		asked: 30,
	},
	{
		name: 'only those with the label',
		step: {requiredLabel: 'l1'},
		cost: {decisionMs: 400, eachMs: 10},
		asked: 1,
	},
];

for (const {name, step, cost, asked} of sizeCases) {
	tap.t.test(`executors that are asked for: ${name}`, async (t) => {
		const owner = createTestOwner(
			Array.from({length: 40}, (_, index) =>
				createListed(`x${index}`, {labels: [`l${index}`]}),
			),
		);
		submit(owner, createAdvised(step, cost));
		const [request] = planAndStart(owner, 0);
		t.match(request, {
			kind: 'advise',
			costMs: cost.decisionMs + asked * cost.eachMs,
		});
	});
}

tap.t.test('a step that no longer waits leaves the line', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	const job = submit(owner, createAdvised({}, {decisionMs: 400, eachMs: 10}));
	scheduler.planCommands(owner, 0, 0);
	t.ok(scheduler.findAdviceWish(owner));
	scheduler.cancelJob(owner, job, 10);
	t.equal(scheduler.findAdviceWish(owner), undefined);
});

tap.t.test(
	'an overdue request may be repeated, and either answer counts',
	async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(owner, createAdvised({}, {decisionMs: 400, eachMs: 10}));
		scheduler.planCommands(owner, 0, 0);
		const first = scheduler.takeAdviceRequest(
			owner,
			scheduler.findAdviceWish(owner)!,
		);
		scheduler.planCommands(owner, 100, 100);
		t.equal(scheduler.findAdviceWish(owner), undefined, 'it is pending');
		scheduler.noteAdviceOverdue(owner, first);
		scheduler.planCommands(owner, 200, 200);
		scheduler.takeAdviceRequest(owner, scheduler.findAdviceWish(owner)!);
		scheduler.applyAdvice(
			owner,
			first,
			{tickets: [['x', 'ticket']], validMs: 3000},
			300,
		);
		t.match(scheduler.planCommands(owner, 310, 310), [
			{kind: 'start', ticket: 'ticket'},
		]);
	},
);

tap.t.test('an operator is told that advice is the bound', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	const job = submit(owner, createAdvised({}, {decisionMs: 400, eachMs: 10}));
	const explain = () => scheduler.explainJob(owner, job, 250)[0]?.because;
	scheduler.planCommands(owner, 50, 50);
	t.equal(
		explain(),
		'it needs placement advice, wanted for 200 ms: 1 steps of the service wait for their turn',
	);
	scheduler.takeAdviceRequest(owner, scheduler.findAdviceWish(owner)!);
	t.match(explain(), 'a request is under way');
});

tap.t.test('tickets are not renewed while there is no room', async (t) => {
	const owner = createTestOwner([createListed('x')]);
	const whole = {cpuMillis: 4000, memoryMb: 100, accelerators: 0};
	submit(
		owner,
		createAdvised(
			{count: 2, resources: whole, estimateMs: 60_000},
			{decisionMs: 400, eachMs: 10},
		),
	);
	const [request] = planAndStart(owner, 0);
	if (request?.kind !== 'advise') {
		throw new Error('no advice is wanted');
	}

	const given = {tickets: [['x', 'ticket']], validMs: 3000} as const;
	scheduler.applyAdvice(owner, request, given, 10);
	t.match(planAndStart(owner, 20), [{kind: 'start'}]);
	t.same(planAndStart(owner, 5000), [], 'the other task has no room');
});

tap.t.test('a call is not given up before its answer is due', async (t) => {
	const {call} = scheduler.beginAdviceCall(
		scheduler.emptyAdviceLine,
		20_000,
		0,
	);
	t.ok(call.timeoutMs > call.overdueAt, `${call.timeoutMs} ms`);
});
