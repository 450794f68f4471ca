import fc from 'fast-check';
import * as tap from 'tap';
import type {Job, Resources, Worker} from '../types/job.js';
import * as placement from './index.js';

const capacity: Resources = {cores: 32, memoryMb: 64_000, accelerators: 2};

const createWorker = (index: number, change: Partial<Worker> = {}): Worker => ({
	id: `w${index}`,
	region: 'r',
	availabilityZone: `z${index % 3}`,
	rack: `k${Math.floor(index / 4)}`,
	pool: 'p',
	capacity,
	isOpen: true,
	...change,
});

const createJob = (change: Partial<Job> = {}): Job => ({
	id: 'j',
	customer: 'c',
	urgent: false,
	repeatable: true,
	canCheckpoint: true,
	canThrottle: true,
	declared: {cores: 8, memoryMb: 8000, accelerators: 0},
	submittedAt: 0,
	...change,
});

const certain = (mean: Resources): placement.UsageEstimate => ({
	mean,
	deviation: {cores: 0, memoryMb: 0, accelerators: 0},
});

const createTask = (
	job: string,
	worker: string,
	change: Partial<placement.PlacedTask> = {},
): placement.PlacedTask => ({
	job,
	worker,
	customer: 'c',
	estimate: certain({cores: 8, memoryMb: 8000, accelerators: 0}),
	urgent: false,
	canThrottle: true,
	canCheckpoint: true,
	startedAt: 0,
	...change,
});

const quota: Resources = {cores: 1000, memoryMb: 1e9, accelerators: 100};

const createRequest = (
	job: Job,
	change: Partial<placement.PlacementRequest> = {},
): placement.PlacementRequest => ({
	job,
	estimate: certain(job.declared),
	quota,
	excluded: new Set(),
	...change,
});

const createCluster = (tasks: readonly placement.PlacedTask[], workers = 3) => {
	const cluster = placement.createCluster(
		Array.from({length: workers}, (_, index) => createWorker(index)),
	);
	for (const task of tasks) {
		placement.addTask(cluster, task);
	}

	return cluster;
};

const full = (index: number, change: Partial<placement.PlacedTask> = {}) =>
	createTask(`full-${index}`, `w${index}`, {
		estimate: certain({cores: 32, memoryMb: 32_000, accelerators: 0}),
		...change,
	});

type Row = [
	name: string,
	tasks: placement.PlacedTask[],
	request: placement.PlacementRequest,
	decision: placement.PlacementDecision,
];

const urgent = createJob({urgent: true});

const throttle = {job: 'full-0', kind: 'throttle'} as const;

const checkpoint = {job: 'full-0', kind: 'checkpoint'} as const;

const table: Row[] = [
	[
		'the fuller worker first',
		[createTask('a', 'w1', {customer: 'other'})],
		createRequest(createJob()),
		{kind: 'place', worker: 'w1', preempt: []},
	],
	[
		'not a worker that it failed on',
		[createTask('a', 'w1', {customer: 'other'})],
		createRequest(createJob(), {excluded: new Set(['w1', 'w0'])}),
		{kind: 'place', worker: 'w2', preempt: []},
	],
	[
		'waits for capacity',
		[full(0), full(1), full(2)],
		createRequest(createJob()),
		{kind: 'wait', reason: 'capacity'},
	],
	[
		'waits for its quota',
		[createTask('a', 'w0')],
		createRequest(createJob(), {quota: {...quota, cores: 15}}),
		{kind: 'wait', reason: 'quota'},
	],
	[
		'never fits its quota',
		[],
		createRequest(createJob(), {quota: {...quota, cores: 7}}),
		{kind: 'impossible', reason: 'over-quota'},
	],
	[
		'never fits a worker',
		[],
		createRequest(
			createJob({declared: {cores: 1, memoryMb: 1, accelerators: 3}}),
		),
		{kind: 'impossible', reason: 'too-large'},
	],
	[
		'urgent work throttles what can be throttled',
		[full(0), full(1, {urgent: true}), full(2, {urgent: true})],
		createRequest(urgent),
		{kind: 'place', worker: 'w0', preempt: [throttle]},
	],
	[
		'urgent work checkpoints what cannot be throttled',
		[
			full(0, {canThrottle: false}),
			full(1, {canThrottle: false, canCheckpoint: false}),
			full(2, {urgent: true}),
		],
		createRequest(urgent),
		{kind: 'place', worker: 'w0', preempt: [checkpoint]},
	],
	[
		'urgent work never takes room from urgent work',
		[full(0, {urgent: true}), full(1, {urgent: true}), full(2, {urgent: true})],
		createRequest(urgent),
		{kind: 'wait', reason: 'capacity'},
	],
];

for (const [name, tasks, request, decision] of table) {
	tap.t.test(name, async (t) => {
		t.same(placement.placeJob(createCluster(tasks), request, 1e6), decision);
	});
}

tap.t.test('a customer is spread over racks and zones', async (t) => {
	const cluster = createCluster([], 12);
	const cfg = {...placement.defaultPlacementConfig, packWeight: 0};
	for (let index = 0; index < 6; index += 1) {
		const job = createJob({id: `j${index}`});
		const decision = placement.placeJob(cluster, createRequest(job), 0, cfg);
		if (decision.kind === 'place') {
			placement.addTask(cluster, createTask(job.id, decision.worker));
		}
	}

	const counts = [...cluster.taskCounts.entries()]
		.filter(([key]) => !key.endsWith(' all'))
		.map(([, count]) => count);
	t.equal(cluster.tasks.size, 6);
	t.same(counts, [2, 2, 2, 2, 2, 2], 'three racks and three zones');
});

tap.t.test('reservations add up whatever happens', async (t) => {
	const event = fc.record({
		job: fc.constantFrom('a', 'b', 'c', 'd'),
		worker: fc.constantFrom('w0', 'w1', 'w2'),
		kind: fc.constantFrom('add', 'remove', 'update'),
		cores: fc.integer({min: 0, max: 64}),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 50}), (events) => {
			const cluster = createCluster([]);
			for (const {job, worker, kind, cores} of events) {
				const estimate = certain({cores, memoryMb: 1, accelerators: 0});
				if (kind === 'add') {
					placement.addTask(cluster, createTask(job, worker, {estimate}));
				} else if (kind === 'remove') {
					placement.removeTask(cluster, job);
				} else {
					placement.updateEstimate(cluster, job, estimate);
				}
			}

			const sum = [...cluster.tasks.values()].reduce(
				(total, each) => total + each.estimate.mean.cores,
				0,
			);
			const loads = [...cluster.loads.values()];
			return (
				placement.getCustomerUsage(cluster, 'c').cores === sum &&
				loads.reduce((total, each) => total + each.reserved.cores, 0) === sum &&
				loads.reduce((total, each) => total + each.tasks.size, 0) ===
					cluster.tasks.size
			);
		}),
		{seed: 5},
	);
	t.pass();
});

tap.t.test('estimates follow use; an old report changes nothing', async (t) => {
	const declared = {cores: 8, memoryMb: 8000, accelerators: 1};
	const young = placement.estimateUsage({declared}, undefined);
	t.ok(young.deviation.cores > 0, 'a declaration alone is uncertain');
	let history: placement.UsageHistory | undefined;
	for (let at = 1; at <= 20; at += 1) {
		const sample = {cores: 2, memoryMb: 32_000, measuredAt: at};
		history = placement.addSample(history, sample);
	}

	const old = {cores: 99, memoryMb: 1, measuredAt: 3};
	t.equal(placement.addSample(history, old), history);
	t.same(
		placement.estimateUsage({declared}, history),
		certain({cores: 2, memoryMb: 32_000, accelerators: 1}),
	);
});

tap.t.test('a habit of declaring is learned in both ways', async (t) => {
	let model = placement.emptyDeclarationModel;
	for (let index = 0; index < 200; index += 1) {
		const used = 2 ** (index % 4);
		// Off by half or double in turns, around three times too much.
		const error = index % 8 < 4 ? 0.5 : 2;
		model = placement.addDeclaration(model, 3 * error * used, used);
	}

	const fit = placement.fitDeclarations(model);
	const {mean} = placement.predictUsage(fit, 12);
	t.ok(mean > 2.5 && mean < 6, `12 declared, ${mean} expected`);
	const far = placement.predictUsage(fit, 48).mean;
	t.ok(far > 4 && far < 16, `48 declared, ${far} expected`);
	t.same(placement.predictUsage(fit, 0), {mean: 0, deviation: 0});
});

tap.t.test('the margin is for the sum, not for each task', async (t) => {
	const estimate = {
		mean: {cores: 4, memoryMb: 1, accelerators: 0},
		deviation: {cores: 2, memoryMb: 0, accelerators: 0},
	};
	const cluster = createCluster(
		['a', 'b', 'c'].map((job) => createTask(job, 'w0', {estimate})),
	);
	const need = placement.getRequiredResources(
		cluster.loads.get('w0')!,
		estimate,
		{
			cores: 1,
			memoryMb: 1,
		},
	);
	t.equal(need.cores, 16 + 4, 'four deviations of 2 add up to 4, not 8');
});

tap.t.test('the customer with the least of its quota goes first', async (t) => {
	const cluster = createCluster([createTask('x', 'w0', {customer: 'a'})]);
	const pending = [
		createJob({id: '1', customer: 'a', submittedAt: 1}),
		createJob({id: '2', customer: 'b', submittedAt: 2}),
		createJob({id: '3', customer: 'a', submittedAt: 3, urgent: true}),
		createJob({id: '4', customer: 'none', submittedAt: 0}),
	];
	const quotas = new Map([
		['a', quota],
		['b', quota],
	]);
	const ordered = placement.sortPending(cluster, pending, quotas);
	t.same(
		ordered.map((each) => each.id),
		['3', '2', '1', '4'],
	);
});

const {settleMs, stayMs} = placement.defaultRelocationConfig;

const over = [
	createTask('a', 'w0', {estimate: certain({...capacity, cores: 30})}),
	createTask('b', 'w0', {
		estimate: certain({cores: 10, memoryMb: 1, accelerators: 0}),
	}),
];

const relocations: Array<
	[string, placement.PlacedTask[], number, number, string[]]
> = [
	[
		'an over-full worker sheds its smallest enough',
		over,
		0,
		settleMs + stayMs,
		['b'],
	],
	['not before it has settled', over, stayMs, settleMs + stayMs - 1, []],
	['not soon after the last move', over, 0, stayMs - 1, []],
	[
		'a nearly empty worker is emptied',
		[
			createTask('a', 'w0', {
				estimate: certain({cores: 1, memoryMb: 1, accelerators: 0}),
			}),
			createTask('b', 'w1', {
				estimate: certain({cores: 16, memoryMb: 1, accelerators: 0}),
			}),
		],
		0,
		settleMs + stayMs,
		['a'],
	],
];

for (const [name, tasks, seenAt, now, moved] of relocations) {
	tap.t.test(name, async (t) => {
		const cluster = createCluster(tasks);
		const seen = placement.observeLoads(cluster, new Map(), seenAt);
		const observed = placement.observeLoads(cluster, seen, now);
		const chosen = placement.chooseRelocations(cluster, observed, now);
		t.same(
			chosen.map((each) => each.job),
			moved,
		);
	});
}
