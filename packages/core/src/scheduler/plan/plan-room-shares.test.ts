/**
 * Guards against a plan that changes although room is not shared or not short,
 * and against a wide task that waits while small ones take each free part.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	listRuns,
	planAndStart,
	pollExecutor,
	testConfig,
	type TestCommand,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {rankJobs} from '../ranking/rank.js';
import {orderJobs} from '../team-shares/order-jobs.js';
import {isRoomShort} from '../team-shares/shortage.js';
import {listWaitingJobs} from '../team-shares/waiting-jobs.js';

const toResources = (cores: number) => ({
	cpuMillis: 1000 * cores,
	memoryMb: 10,
	accelerators: 0,
});

const createOwner = (executors: number, sharesRoomBetweenTeams = true) =>
	createTestOwner(
		Array.from({length: executors}, (_, index) => createListed(`x${index}`)),
		{...testConfig, sharesRoomBetweenTeams},
	);

type TestJob = Partial<scheduler.StepSpec> & {
	readonly id: string;
	readonly team?: string | undefined;
	readonly cores?: number;
	readonly priority?: number;
	readonly at?: number;
	readonly isInherited?: boolean;
};

const add = (owner: scheduler.Owner, job: TestJob) => {
	const {id, team, cores = 1, priority = 0, at = 0} = job;
	const {isInherited = false, ...step} = job;
	const resources = toResources(cores);
	const accepted = createAccepted(
		id,
		[{estimateMs: 1000, ...step, resources}],
		{
			policy: {priority},
			acceptedAtEpochMs: at,
		},
	);
	const added = scheduler.addJob(owner, {...accepted, team}, isInherited, at);
	scheduler.advanceSchedules(owner, at);
	return added;
};

const listStarts = (commands: readonly TestCommand[]) =>
	commands.flatMap((each) => (each.kind === 'start' ? [each.run.task.id] : []));

/** Reports the runs whose time is over as done, and the others as running. */
const endRuns = (owner: scheduler.Owner, now: number) => {
	for (const {id, runs, lastEndNumber} of owner.executors.values()) {
		const isOver = ({task, askedAt}: scheduler.Run) =>
			now - askedAt >= task.step.spec.estimateMs;
		const all = [...runs.values()];
		const ends = all.filter((run) => isOver(run));
		pollExecutor(owner, id, {
			at: now,
			running: all
				.filter((run) => !isOver(run))
				.map(({task, number}) => ({taskId: task.id, run: number})),
			ends: ends.map(({task, number}, index) => ({
				number: lastEndNumber + index + 1,
				taskId: task.id,
				run: number,
			})),
		});
	}
};

const withTeams: readonly TestJob[] = [
	{id: 'a1', team: 'a', count: 3},
	{id: 'a2', team: 'a', count: 3},
	{id: 'b1', team: 'b', count: 3, at: 1},
];

const withoutTeams = withTeams.map((each) => ({...each, team: undefined}));

const unchanged: ReadonlyArray<{
	readonly name: string;
	readonly isOn: boolean;
	readonly jobs: readonly TestJob[];
	readonly executors: number;
	readonly isChanged?: boolean;
}> = [
	{name: 'the setting is off', isOn: false, jobs: withTeams, executors: 1},
	{name: 'no job has a team', isOn: true, jobs: withoutTeams, executors: 1},
	{name: 'room is not short', isOn: true, jobs: withTeams, executors: 3},
	{
		name: 'else it is not',
		isOn: true,
		jobs: withTeams,
		executors: 1,
		isChanged: true,
	},
];

for (const {name, isOn, jobs, executors, isChanged = false} of unchanged) {
	tap.t.test(`the plan is the same as before: ${name}`, async (t) => {
		const plans = [false, isOn].map((isShared) => {
			const owner = createOwner(executors, isShared);
			for (const job of jobs) {
				add(owner, job);
			}

			return [0, 100, 1000, 1100].map((now) => {
				endRuns(owner, now);
				return describeCommands(planAndStart(owner, now));
			});
		});
		t[isChanged ? 'notSame' : 'same'](plans[1], plans[0]);
	});
}

const capped = {cap: toResources(1), share: toResources(1), isOverCap: false};

// Two executors of four cores; four cores are used, two on each.
const shortages: ReadonlyArray<{
	readonly name: string;
	readonly job: Omit<TestJob, 'id'>;
	readonly isShort: boolean;
	readonly now?: number;
}> = [
	{name: 'work that fits', job: {count: 4}, isShort: false},
	{name: 'work that does not', job: {count: 5}, isShort: true},
	{name: 'a task that fits nowhere', job: {cores: 3}, isShort: true},
	{name: 'a task that is too large', job: {cores: 5}, isShort: false},
	{name: 'a cap that is used up', job: {team: 'c', count: 5}, isShort: false},
	{name: 'late work', job: {count: 5}, isShort: false, now: 3000},
	{
		name: 'long-running work',
		job: {count: 5, isLongRunning: true},
		isShort: false,
	},
];

for (const {name, job, isShort, now = 0} of shortages) {
	tap.t.test(`room is ${isShort ? '' : 'not '}short: ${name}`, async (t) => {
		const owner = createOwner(2, false);
		const base = {id: 'r', isLongRunning: true, maxPerExecutor: 1};
		add(owner, {...base, cores: 2, count: 2});
		planAndStart(owner, 0);
		owner.capLimits.set('c', capped);
		add(owner, {id: 'j', ...job});
		const usable = scheduler.listUsable(owner, now);
		const teamUse = scheduler.computeTeamUse(owner);
		const jobs = listWaitingJobs(owner, rankJobs(owner, {now, epochNow: now}));
		t.equal(isRoomShort(owner, {usable, teamUse}, jobs), isShort);
	});
}

tap.t.test('a wide task beside small ones starts within 2 s', async (t) => {
	const owner = createOwner(10);
	let startedAt: number | undefined;
	for (let now = 0; now < 4000; now += 100) {
		endRuns(owner, now);
		for (let index = 0; index < 10; index++) {
			const id = `small-${now}-${index}`;
			// Of different lengths, so that no executor becomes free at once.
			const estimateMs = 300 + 100 * ((index * 7 + now / 100) % 10);
			add(owner, {id, team: `t${index % 5}`, estimateMs, at: now});
		}

		if (now === 1000) {
			add(owner, {id: 'wide', team: 'w', cores: 4, at: 1000});
		}

		const starts = listStarts(planAndStart(owner, now));
		startedAt ??= starts.includes('wide.0.0.0') ? now : undefined;
		t.ok(owner.roomShares.reservations.length <= 1);
	}

	t.ok((startedAt ?? Number.NaN) - 1000 <= 2000, `started at ${startedAt}`);
	t.equal(owner.roomShares.counts.expired, 0);
});

tap.t.test('an executor is kept for two seconds at most', async (t) => {
	const owner = createOwner(2);
	const long = {id: 'long', team: 'l', count: 2, estimateMs: 60_000};
	add(owner, {...long, cores: 3});
	planAndStart(owner, 0);
	const wide = add(owner, {id: 'wide', team: 'w', cores: 4, estimateMs: 9000});
	const kept: number[] = [];
	for (let now = 0; now < 4300; now += 100) {
		add(owner, {id: `${now}`, team: 's', estimateMs: 100, at: now});
		endRuns(owner, now);
		t.same(listStarts(planAndStart(owner, now)), [`${now}.0.0.0`]);
		if (now === 200) {
			const [task] = scheduler.explainJob(owner, wide, now);
			t.match(task?.because, /are full; x\d takes no other starts/v);
		}

		if (owner.roomShares.reservations.length > 0) {
			kept.push(now);
		}
	}

	t.same([kept[0], kept.find((now) => now > 2000)], [0, 4000]);
	t.equal(kept.filter((now) => now < 4000).length, 20);
	t.equal(owner.roomShares.counts.expired, 1);
});

tap.t.test('after a takeover runs count and recent use is empty', async (t) => {
	const owner = createOwner(1);
	owner.executors.get('x0')!.isAdopted = false;
	add(owner, {id: 'a1', team: 'a', count: 4, isInherited: true});
	const running = [0, 1].map((index) => ({taskId: `a1.0.0.${index}`, run: 1}));
	pollExecutor(owner, 'x0', {at: 0, running});
	const b1 = add(owner, {id: 'b1', team: 'b', count: 3, at: 1});
	t.same(listStarts(planAndStart(owner, 1)), ['b1.0.0.0', 'b1.0.0.1']);
	t.equal(listRuns(owner, 'x0').length, 4);
	t.match(owner.roomShares.teams, [
		{team: 'a', weight: 1, running: 0.5, recent: 0, waiting: 0.5},
		{team: 'b', weight: 1, running: 0, recent: 0, waiting: 0.75},
	]);
	const waiting = scheduler.explainJob(owner, b1, 1)[2];
	t.match(waiting?.because, /are full; x0 takes no other starts/v);
	owner.roomShares.reservations = [];
	const later = scheduler.explainJob(owner, b1, 1)[2];
	t.match(later?.because, /are full, and room goes to teams with a smaller/v);
});

const jobArbitrary = fc.record({
	team: fc.constantFrom(undefined, 'a', 'b', 'c'),
	cores: fc.integer({min: 1, max: 4}),
	count: fc.integer({min: 1, max: 3}),
	priority: fc.integer({min: 0, max: 1}),
	estimateMs: fc.integer({min: 1, max: 2000}),
	isLongRunning: fc.boolean(),
});

tap.t.test('groups of timeliness and priority keep their order', async (t) => {
	const property = fc.property(fc.array(jobArbitrary), (jobs) => {
		const owner = createOwner(2);
		for (const [index, job] of jobs.entries()) {
			add(owner, {id: `j${index}`, ...job});
		}

		const ranked = rankJobs(owner, {now: 1500, epochNow: 1500});
		const ordered = orderJobs(listWaitingJobs(owner, ranked), {
			capacity: toResources(8),
			held: new Map(),
			getWeight: () => 1,
		}).map((each) => each.ranked);
		const getGroup = ({timeliness, job}: scheduler.RankedJob) =>
			`${timeliness} ${job.accepted.policy.priority}`;
		const groups = ordered.map((each) => getGroup(each));
		return (
			new Set(ordered).size === ranked.length &&
			ranked.every(
				(each, index) =>
					getGroup(each) === groups[index] &&
					(each.timeliness !== 'lasting' || each === ordered[index]),
			)
		);
	});
	fc.assert(property, {seed: 5, numRuns: 200});
	t.pass();
});
