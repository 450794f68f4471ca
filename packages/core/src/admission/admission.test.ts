import * as tap from 'tap';
import * as admission from './admission.js';
import type {AdmissionRequest, CustomerTerms} from './types.js';

const settings = {
	...admission.defaultSettings,
	slots: 2,
	transitMs: 10,
	priorShare: 0.1,
};

const terms = (
	customer: string,
	requestsPerSecond: number,
	weight = 1,
): CustomerTerms => ({
	customer,
	weight,
	answerWithinMs: 1000,
	requestsPerSecond,
});

const createState = (list: readonly CustomerTerms[], slots = 2) => {
	const state = admission.createAdmission({...settings, slots}, 0);
	admission.updateTerms(state, list, 1, 0);
	return state;
};

const createRequest = (
	id: number,
	customer = 'a',
	rest: Partial<AdmissionRequest> = {},
): AdmissionRequest => ({id: `${id}`, customer, class: 'interactive', ...rest});

const offerMany = (
	state: admission.AdmissionState,
	count: number,
	customer = 'a',
) =>
	Array.from({length: count}, (_, id) =>
		admission.offer(state, createRequest(id, customer), 0),
	);

const offerCases: ReadonlyArray<{
	name: string;
	customer?: string;
	timeoutMs?: number;
	busy: number;
	slots?: number;
	rate?: number;
	expected: string;
}> = [
	{name: 'a free slot', busy: 0, expected: 'dispatch'},
	{name: 'no contract', customer: 'x', busy: 0, expected: 'forbidden'},
	{
		name: 'short timeout, free slot',
		timeoutMs: 111,
		busy: 0,
		expected: 'dispatch',
	},
	{
		name: 'timeout within the transit time',
		timeoutMs: 10,
		busy: 0,
		expected: 'overloaded',
	},
	{name: 'no free slot', busy: 2, expected: 'queued'},
	{
		name: 'no free slot, short timeout',
		timeoutMs: 260,
		busy: 2,
		expected: 'overloaded',
	},
	{name: 'a long queue within the contract', busy: 100, expected: 'overloaded'},
	{
		name: 'a long queue above the contract',
		busy: 100,
		rate: 0,
		expected: 'over-contract',
	},
	{name: 'zero slots', slots: 0, busy: 0, expected: 'overloaded'},
];

for (const {
	name,
	customer,
	timeoutMs,
	busy,
	slots,
	rate,
	expected,
} of offerCases) {
	tap.t.test(`offer: ${name}`, async (t) => {
		const state = createState([terms('a', rate ?? 10)], slots);
		offerMany(state, busy);
		const rest = timeoutMs === undefined ? {} : {timeoutMs};
		const decision = admission.offer(
			state,
			createRequest(1000, customer, rest),
			0,
		);
		const found = decision.kind === 'refused' ? decision.error : decision.kind;
		t.equal(found, expected);
	});
}

tap.t.test(
	'the deadline is the shorter one of contract and request',
	async (t) => {
		const table = [
			[undefined, 990],
			[5000, 990],
			[400, 390],
		] as const;
		for (const [timeoutMs, expected] of table) {
			const state = createState([terms('a', 10)]);
			const rest = timeoutMs === undefined ? {} : {timeoutMs};
			const decision = admission.offer(state, createRequest(1, 'a', rest), 0);
			t.equal(decision.kind, 'dispatch');
			if (decision.kind === 'dispatch') {
				t.equal(decision.ticket.deadlineAt, expected);
			}
		}
	},
);

tap.t.test(
	'a request that would be late is refused though a slot is free',
	async (t) => {
		const state = createState([terms('a', 10)]);
		let now = 0;
		let refused = admission.offer(state, createRequest(0), now);
		for (let index = 1; index < 9 && refused.kind === 'dispatch'; index++) {
			now += 2900;
			admission.finish(state, refused.ticket, {measured: true}, now);
			refused = admission.offer(state, createRequest(index), now + 1);
		}

		t.match(refused, {kind: 'refused', error: 'overloaded'});
		const probe = admission.offer(state, createRequest(10), now + 1000);
		t.equal(probe.kind, 'dispatch', 'a probe lets the estimate recover');
		const after = admission.offer(state, createRequest(11), now + 1001);
		t.equal(after.kind, 'refused');
	},
);

tap.t.test('a queued request that would be late is dropped', async (t) => {
	const byExpire = createState([terms('a', 10)]);
	offerMany(byExpire, 3);
	t.same(admission.expire(byExpire, 700), []);
	const [dropped] = admission.expire(byExpire, 895);
	t.match(dropped, {kind: 'dropped', error: 'deadline-in-queue'});
	t.equal(byExpire.queued, 0);
	t.same(admission.expire(byExpire, 5000), [], 'once only');

	const byNext = createState([terms('a', 10)]);
	const [first] = offerMany(byNext, 3);
	if (first?.kind === 'dispatch') {
		admission.finish(byNext, first.ticket, {measured: false}, 900);
	}

	t.match(admission.next(byNext, 900), {
		kind: 'dropped',
		error: 'deadline-in-queue',
	});
	t.equal(admission.next(byNext, 900), undefined);
	t.equal(byNext.inFlight, 1, 'the dropped request takes no slot');
});

tap.t.test('a request close to its deadline goes first', async (t) => {
	const state = createState([terms('a', 0), terms('b', 100)]);
	const [first] = offerMany(state, 3, 'a');
	admission.expire(state, 650);
	admission.offer(state, createRequest(7, 'b'), 660);
	if (first?.kind === 'dispatch') {
		admission.finish(state, first.ticket, {measured: false}, 661);
	}

	const next = admission.next(state, 661);
	t.match(next, {kind: 'dispatch', ticket: {request: {customer: 'a'}}});
});

tap.t.test(
	'contracted requests go before those above a contract',
	async (t) => {
		const state = createState([terms('a', 0, 9), terms('b', 100)]);
		const [first] = offerMany(state, 3, 'a');
		admission.offer(state, createRequest(7, 'b'), 1);
		if (first?.kind === 'dispatch') {
			admission.finish(state, first.ticket, {measured: false}, 2);
		}

		const next = admission.next(state, 2);
		t.match(next, {kind: 'dispatch', ticket: {request: {customer: 'b'}}});
	},
);

tap.t.test('5,000 cancellations leave no slot or ticket behind', async (t) => {
	const state = admission.createAdmission(
		{...settings, maxQueued: 6000, priorShare: 1e-4},
		0,
	);
	const contract = {...terms('a', 100), answerWithinMs: 900_000};
	admission.updateTerms(state, [contract], 1, 0);
	const decisions = offerMany(state, 5000);
	for (const decision of decisions) {
		if (decision.kind === 'refused') {
			t.fail('all are admitted');
		} else if (admission.cancel(state, decision.ticket) === 'in-flight') {
			admission.finish(state, decision.ticket, {measured: false}, 1);
			t.equal(admission.cancel(state, decision.ticket), 'done');
		}
	}

	t.same([state.inFlight, state.queued, state.wheel.size], [0, 0, 0]);
	t.equal(state.active.length, 0);
	t.equal(admission.next(state, 1), undefined);
	t.equal(admission.offer(state, createRequest(1), 2).kind, 'dispatch');
});

tap.t.test('finishing twice frees one slot', async (t) => {
	const state = createState([terms('a', 10)]);
	const [first] = offerMany(state, 2);
	if (first?.kind === 'dispatch') {
		admission.finish(state, first.ticket, {measured: true}, 5);
		admission.finish(state, first.ticket, {measured: true}, 6);
	}

	t.equal(state.inFlight, 1);
});

tap.t.test(
	'the queue is bounded in total and per customer by weight',
	async (t) => {
		const state = admission.createAdmission(
			{...settings, maxQueued: 8, priorShare: 1e-4},
			0,
		);
		admission.updateTerms(state, [terms('a', 0, 3), terms('b', 0)], 1, 0);
		offerMany(state, 100, 'a');
		t.equal(state.queued, 6);
		offerMany(state, 100, 'b');
		t.equal(state.queued, 8);
	},
);

tap.t.test('refused callers are given successive retry times', async (t) => {
	const state = createState([terms('a', 10)]);
	const times: number[] = [];
	for (const decision of offerMany(state, 400)) {
		if (decision.kind === 'refused') {
			times.push(decision.retryAfterMs);
		}
	}

	const {minRetryAfterMs, maxRetryAfterMs} = settings;
	t.ok(times.every((each) => Number.isInteger(each)));
	t.ok(times.every((each) => each >= minRetryAfterMs));
	t.ok(times.every((each) => each <= maxRetryAfterMs));
	const seconds = new Map<number, number>();
	for (const each of times) {
		const second = Math.floor(each / 1000);
		seconds.set(second, (seconds.get(second) ?? 0) + 1);
	}

	const most = Math.max(...seconds.values());
	t.ok(most <= times.length / 4, 'no second gets more than a quarter');
	t.ok(new Set(times).size > times.length / 2, 'few times are given twice');
});

tap.t.test('a contract change applies to the next request', async (t) => {
	const state = createState([terms('a', 10), terms('b', 10)]);
	admission.updateTerms(
		state,
		[{...terms('b', 10), answerWithinMs: 300}],
		1,
		1,
	);
	t.match(admission.offer(state, createRequest(1, 'a'), 1), {
		error: 'forbidden',
	});
	const decision = admission.offer(state, createRequest(2, 'b'), 1);
	t.match(decision, {kind: 'dispatch', ticket: {deadlineAt: 291}});
});

tap.t.test('terms of a service are read from the contracts', async (t) => {
	const jobs = {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1000};
	const quote = {
		service: 'quote',
		keepExecutors: 1,
		maxAway: 1,
		answerWithinMs: 500,
		requestsPerSecond: 20,
	};
	const contracts = [
		{customer: 'a', weight: 2, tokenHashes: [], services: [quote], jobs},
		{customer: 'b', weight: 1, tokenHashes: [], services: [], jobs},
	];
	t.same(admission.getTerms(contracts, 'quote'), [
		{customer: 'a', weight: 2, answerWithinMs: 500, requestsPerSecond: 20},
	]);
});
