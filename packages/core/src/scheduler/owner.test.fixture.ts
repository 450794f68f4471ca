/** Builders for tests of the scheduler, and an executor that answers them. */
import * as scheduler from './index.js';

/** Settings with round numbers. */
export const testConfig: scheduler.SchedulerConfig = {
	...scheduler.defaultSchedulerConfig,
	taskLeaseMs: 4000,
	ownershipTimeoutMs: 10_000,
};

/** A step of one small task. */
export const createStepSpec = (
	changes: Partial<scheduler.StepSpec> = {},
): scheduler.StepSpec => ({
	count: 1,
	resources: {cpuMillis: 1000, memoryMb: 100, accelerators: 0},
	estimateMs: 500,
	after: [],
	canCheckpoint: false,
	isGang: false,
	needsSameRack: false,
	requiredLabel: undefined,
	preferredRack: undefined,
	maxPerExecutor: undefined,
	allowsCopies: false,
	isLongRunning: false,
	image: undefined,
	targetTailMs: undefined,
	fillsIdleCapacity: false,
	mayMiss: undefined,
	...changes,
});

/** An accepted job with these steps. */
export const createAccepted = (
	id: string,
	steps: ReadonlyArray<Partial<scheduler.StepSpec>> = [{}],
	changes: {
		readonly policy?: Partial<scheduler.QueuePolicy>;
		readonly schedule?: scheduler.Schedule;
		readonly acceptedAtEpochMs?: number;
	} = {},
): scheduler.AcceptedJob => ({
	id,
	policy: {
		queue: 'q',
		priority: 0,
		maxAttempts: 2,
		stretch: 2,
		targetLatencyMs: 600,
		needsAdvice: false,
		...changes.policy,
	},
	spec: {
		payload: `payload of ${id}`,
		steps: steps.map((step) => createStepSpec(step)),
		schedule: changes.schedule,
	},
	acceptedAtEpochMs: changes.acceptedAtEpochMs ?? 0,
});

/** An executor of the service `s` as the registry lists it. */
export const createListed = (
	id: string,
	changes: Partial<scheduler.ListedExecutor> = {},
): scheduler.ListedExecutor => ({
	id,
	service: 's',
	address: `10.0.0.1:${id.length}`,
	availabilityZone: 'a',
	capacity: {cpuMillis: 4000, memoryMb: 1000, accelerators: 0},
	labels: ['r1-1'],
	isDraining: false,
	remainingMs: undefined,
	...changes,
});

/** An owner whose executors have answered and lie in the store's roster. */
export const createTestOwner = (
	executors: readonly scheduler.ListedExecutor[],
	cfg: scheduler.SchedulerConfig = testConfig,
): scheduler.Owner => {
	const owner = scheduler.createOwner('s', 1, cfg, 0);
	for (const listed of executors) {
		scheduler.recordListedExecutor(owner, listed);
		pollExecutor(owner, listed.id, {at: 0});
	}

	flushAll(owner);
	return owner;
};

/** Stores all that is to be stored; answers the executors to acknowledge to. */
export const flushAll = (owner: scheduler.Owner): readonly string[] => {
	const flush = scheduler.beginFlush(owner, 100);
	return scheduler.completeFlush(owner, flush).map(({id}) => id);
};

/** What an executor lists. */
export type TestPoll = {
	readonly at: number;
	readonly running?: ReadonlyArray<Partial<scheduler.ListedRun>>;
	readonly ends?: ReadonlyArray<Partial<scheduler.ListedEnd>>;
};

/** Takes in a look at an executor whose clock shows the same time. */
export const pollExecutor = (
	owner: scheduler.Owner,
	id: string,
	{at, running = [], ends = []}: TestPoll,
): scheduler.PollChanges => {
	const executor = owner.executors.get(id);
	if (!executor) {
		throw new Error(`no executor ${id}`);
	}

	return scheduler.applyPoll(owner, executor, {
		sentAt: at,
		receivedAt: at,
		clockMs: at,
		running: running.map((run) => ({
			taskId: '',
			run: 1,
			checkpoint: '',
			percent: 0,
			load: 0,
			...run,
		})),
		ends: ends.map((end) => ({
			number: 1,
			taskId: '',
			run: 1,
			how: 'done',
			checkpoint: '',
			...end,
		})),
	});
};

/** Orders as short texts. */
export const describeCommands = (
	orders: readonly scheduler.Command[],
): readonly string[] =>
	orders.map((order) => {
		if (order.kind === 'advise') {
			return `ask for ${order.stepId}: ${order.executorIds.join(', ')}`;
		}

		const {run, executor} = order;
		return order.kind === 'start'
			? `start ${run.task.id} on ${executor.id}`
			: `stop ${run.task.id} on ${executor.id}: ${order.reason}`;
	});

/** Plans and lets every start be answered with success at once. */
export const planAndStart = (
	owner: scheduler.Owner,
	now: number,
): readonly scheduler.Command[] => {
	const orders = scheduler.planCommands(owner, now, now);
	for (const order of orders) {
		if (order.kind === 'start') {
			scheduler.applyStartAnswer(
				owner,
				order.run,
				{kind: 'started', clockMs: now},
				now,
			);
		}
	}

	return orders;
};

/** Adds a job and the occurrences that are due. */
export const submit = (
	owner: scheduler.Owner,
	accepted: scheduler.AcceptedJob,
	isInherited = false,
): scheduler.Job => {
	const job = scheduler.addJob(owner, accepted, isInherited);
	scheduler.advanceSchedules(owner, accepted.acceptedAtEpochMs);
	return job;
};

/** Runs of an owner on one executor, as that would list them. */
export const listRuns = (
	owner: scheduler.Owner,
	id: string,
): ReadonlyArray<{readonly taskId: string; readonly run: number}> =>
	[...(owner.executors.get(id)?.runs.values() ?? [])].map(({task, number}) => ({
		taskId: task.id,
		run: number,
	}));

/** The run of an order, if it is about one. */
export const getCommandRun = (
	order: scheduler.Command | undefined,
): scheduler.Run | undefined =>
	order && order.kind !== 'advise' ? order.run : undefined;
