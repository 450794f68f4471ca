/**
 * What passes the schemas may be absurd: the largest capacities, clocks that
 * jump, jobs without an end. Plans, loads and rows stay finite.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	pollExecutor,
	listRuns,
	submit,
} from '../owner.test.fixture.js';

const largest = Number.MAX_SAFE_INTEGER;

const seed = 65;

const amount = fc.constantFrom(0, 1, 100, 4000, 1e9, largest);

const signed = fc.constantFrom(-largest, -1, 0, 0.5, 1000, 1e12, largest);

const resources = fc.record({
	cpuMillis: amount,
	memoryMb: amount,
	accelerators: fc.constantFrom(0, 1, largest),
});

const executor = fc.record({
	id: fc.constantFrom('a', 'b', '__proto__', 'constructor', 'toString'),
	capacity: resources,
	remainingMs: fc.option(signed, {nil: undefined}),
	startedAtEpochMs: fc.option(fc.constantFrom(-largest, 0, 1e12, largest), {
		nil: undefined,
	}),
	isDraining: fc.boolean(),
	labels: fc.constantFrom(
		[],
		['__proto__'],
		Array.from({length: 1000}, (_, index) => `r${index}`),
	),
});

const job = fc.record({
	resources,
	count: fc.constantFrom(1, 7, 40),
	estimateMs: fc.constantFrom(0, 500, 1e12, largest),
	targetTailMs: fc.option(fc.constantFrom(0, largest), {nil: undefined}),
	isLongRunning: fc.boolean(),
	isGang: fc.boolean(),
	canCheckpoint: fc.boolean(),
	allowsCopies: fc.boolean(),
	fillsIdleCapacity: fc.boolean(),
	maxPerExecutor: fc.option(fc.constantFrom(1, largest), {nil: undefined}),
	mayMiss: fc.option(fc.constantFrom(1, largest), {nil: undefined}),
	stretch: fc.constantFrom(-1, 0, 2, largest),
	targetLatencyMs: fc.constantFrom(0, 600, largest),
	priority: fc.constantFrom(-largest, 0, largest),
	schedule: fc.option(
		fc.record({
			times: fc.constantFrom(1, 100_000),
			startAtEpochMs: fc.constantFrom(0, 500, largest),
			intervalMs: fc.constantFrom(0, 1, largest),
		}),
		{nil: undefined},
	),
});

/** What an executor answers in a poll, and what ends there. */
const poll = fc.record({
	executor: fc.nat({max: 4}),
	clockMs: signed,
	startedAtEpochMs: fc.option(fc.constantFrom(-largest, 0, 1e12, largest), {
		nil: undefined,
	}),
	percent: fc.constantFrom(0, 50, 100),
	load: signed,
	number: fc.constantFrom(1, 2, largest),
	how: fc.constantFrom('done', 'failed', 'stopped', 'lapsed', undefined),
	taskId: fc.constantFrom(
		undefined,
		'__proto__.0.0.0',
		'0.99999.0.0',
		'0.0.0.9007199254740991',
		'0.-1.-1.-1',
	),
	stepMs: fc.constantFrom(0, 1, 100, 10_000, 1e12),
});

const isFiniteData = (value: unknown): boolean => {
	if (typeof value === 'number') {
		return Number.isFinite(value);
	}

	return (
		typeof value !== 'object' ||
		value === null ||
		Object.values(value).every((each) => isFiniteData(each))
	);
};

const decideAll = (
	owner: scheduler.Owner,
	outlook: scheduler.QueueOutlook,
	now: number,
) =>
	[...owner.jobs.values()].map(({accepted}) =>
		scheduler.decideAdmission(outlook, {job: accepted, placesDue: 0}, now),
	);

tap.t.test('absurd values stay finite in plans, loads and rows', async (t) => {
	const property = fc.property(
		fc.uniqueArray(executor, {
			minLength: 1,
			maxLength: 4,
			selector: ({id}) => id,
		}),
		fc.array(job, {minLength: 1, maxLength: 4}),
		fc.array(poll, {minLength: 1, maxLength: 12}),
		(executors, jobs, polls) => {
			const owner = createTestOwner(
				executors.map(({id, ...changes}) => createListed(id, changes)),
			);
			for (const [index, each] of jobs.entries()) {
				const {stretch, targetLatencyMs, priority, schedule, ...step} = each;
				submit(
					owner,
					createAccepted(`${index}`, [step], {
						policy: {stretch, targetLatencyMs, priority},
						...(schedule ? {schedule} : {}),
					}),
				);
			}

			let now = 1;
			for (const {executor: index, stepMs, ...each} of polls) {
				now += stepMs;
				scheduler.advanceSchedules(owner, now);
				const commands = planAndStart(owner, now);
				const ids = [...owner.executors.keys()];
				const id = ids[index % Math.max(1, ids.length)];
				const leases = commands.flatMap((command) =>
					command.kind === 'start' ? [command.leaseEndMs] : [],
				);
				if (!isFiniteData(leases) || id === undefined) {
					return id === undefined;
				}

				const runs = listRuns(owner, id);
				const [first, ...others] = runs;
				const ends =
					first && each.how !== undefined
						? [{...first, number: each.number, how: each.how}]
						: [];
				const listed = ends.length > 0 ? others : runs;
				const running = listed.map((run) => ({
					...run,
					taskId: each.taskId ?? run.taskId,
					percent: each.percent,
					load: each.load,
				}));
				pollExecutor(owner, id, {...each, at: now, running, ends});
				scheduler.expireLeases(owner, now);
				const load = scheduler.describeLoad(owner, now, now);
				const flush = scheduler.beginFlush(owner, 100);
				const outlook = scheduler.makeQueueOutlook(owner, largest, now, now);
				const verdicts = decideAll(owner, outlook, now);
				const rows = [
					...flush.jobs.flatMap(({rows}) => rows),
					scheduler.encodeRunTimes(owner.runTimes),
				];
				const isSound =
					isFiniteData([load, verdicts, flush.roster]) &&
					!/null|NaN|Infinity/v.test(JSON.stringify(rows));
				if (!isSound) {
					return false;
				}

				scheduler.completeFlush(owner, flush);
			}

			return owner.executors.size <= executors.length;
		},
	);
	fc.assert(property, {seed, numRuns: 200});
	t.pass('every value stays finite');
});
