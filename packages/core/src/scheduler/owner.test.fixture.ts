/** Builders for scheduler tests, and helpers that act as executors. */
import * as scheduler from './index.js';

/** Settings with round lease and ownership times. */
export const testConfig: scheduler.SchedulerConfig = {
	...scheduler.defaultSchedulerConfig,
	taskLeaseMs: 4000,
	ownershipTimeoutMs: 10_000,
	avoidsSlowExecutors: true,
};

/** Creates a step of one small task. */
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

/** Creates an accepted job with the given steps. */
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

/** Creates an executor of the service `s` as the registry lists it. */
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

/** Creates an owner whose executors have answered and are in the stored roster. */
export const createTestOwner = (
	executors: readonly scheduler.ListedExecutor[],
	cfg: scheduler.SchedulerConfig = testConfig,
): scheduler.Owner => {
	const owner = scheduler.createOwner('s', 1, cfg, 0);
	for (const listed of executors) {
		scheduler.recordListedExecutor(owner, listed, 0);
		pollExecutor(owner, listed.id, {at: 0});
	}

	flushAll(owner);
	return owner;
};

/** Flushes all changes; returns the executors with new ends to acknowledge. */
export const flushAll = (owner: scheduler.Owner): readonly string[] => {
	const flush = scheduler.beginFlush(owner, 100);
	return scheduler.completeFlush(owner, flush).map(({id}) => id);
};

/**
 * Ends an executor as a crash does, at a time when the registry has dropped it,
 * its leases have expired and another incarnation has answered at its id, which
 * the owner does not keep; returns what is lost with it.
 */
export const loseExecutor = (
	owner: scheduler.Owner,
	id: string,
	now: number,
): scheduler.LostRuns => {
	const executor = owner.executors.get(id);
	if (!executor) {
		return {runs: [], outwaited: [], settledLosses: [], jobEnds: []};
	}

	owner.unresolvedExecutors.delete(id);
	executor.clock ??= {reportedMs: now, receivedAt: now};
	executor.grantedUntil = Number.NEGATIVE_INFINITY;
	executor.strayLeasesUntil = Number.NEGATIVE_INFINITY;
	scheduler.markUnresponsive(owner, id, now);
	scheduler.recordUnlistedExecutor(owner, id, now);
	const lost = scheduler.expireLeases(owner, now);
	const restarted = {clockMs: Number.NEGATIVE_INFINITY};
	const settled = scheduler.settleAnswered(owner, id, restarted, now);
	return {
		runs: lost.runs,
		outwaited: lost.outwaited,
		settledLosses: [...lost.settledLosses, ...settled.losses],
		jobEnds: [...lost.jobEnds, ...settled.jobEnds],
	};
};

/** Runs and run ends that an executor lists. */
export type TestPoll = {
	readonly at: number;
	/** `at` if absent. */
	readonly sentAt?: number;
	/** The present one for the executor if absent. */
	readonly fencingToken?: number;
	readonly startedAtEpochMs?: number | undefined;
	/** The executor's clock; `at` if absent. */
	readonly clockMs?: number;
	readonly running?: ReadonlyArray<Partial<scheduler.ListedRun>>;
	readonly ends?: ReadonlyArray<Partial<scheduler.ListedEnd>>;
};

/** Applies a poll of an executor whose clock shows the same time. */
export const pollExecutor = (
	owner: scheduler.Owner,
	id: string,
	{
		at,
		sentAt = at,
		fencingToken,
		startedAtEpochMs,
		clockMs = at,
		running = [],
		ends = [],
	}: TestPoll,
): scheduler.PollChanges => {
	const executor = owner.executors.get(id);
	if (!executor) {
		throw new Error(`the owner has no executor ${id}`);
	}

	return scheduler.applyPoll(owner, executor, {
		fencingToken: fencingToken ?? scheduler.getFencingToken(owner, executor),
		sentAt,
		receivedAt: at,
		startedAtEpochMs,
		clockMs,
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

/** A command, or a request for advice that is sent after a plan. */
export type TestCommand =
	scheduler.Command | ({readonly kind: 'advise'} & scheduler.AdviceRequest);

/** Takes all requests for advice that the latest plan wants. */
const takeAdviceRequests = (owner: scheduler.Owner): readonly TestCommand[] => {
	const requests: TestCommand[] = [];
	for (
		let wish = scheduler.findAdviceWish(owner);
		wish;
		wish = scheduler.findAdviceWish(owner)
	) {
		const request = scheduler.takeAdviceRequest(owner, wish);
		requests.push({kind: 'advise', ...request});
	}

	return requests;
};

/** Formats commands as short strings. */
export const describeCommands = (
	commands: readonly TestCommand[],
): readonly string[] =>
	commands.map((command) => {
		if (command.kind === 'advise') {
			return `ask for ${command.stepId}: ${command.executorIds.join(', ')}`;
		}

		const {run, executor} = command;
		return command.kind === 'start'
			? `start ${run.task.id} on ${executor.id}`
			: `stop ${run.task.id} on ${executor.id}: ${command.reason}`;
	});

/** Plans, and answers every start with success at once. */
export const planAndStart = (
	owner: scheduler.Owner,
	now: number,
): readonly TestCommand[] => {
	const commands = scheduler.planCommands(owner, now, now);
	for (const command of commands) {
		if (command.kind === 'start') {
			scheduler.applyStartAnswer(
				owner,
				command.run,
				// No clock goes back within an incarnation.
				{
					kind: 'started',
					clockMs: Math.max(now, command.run.incarnation?.clockMs ?? now),
				},
				now,
			);
		}
	}

	return [...commands, ...takeAdviceRequests(owner)];
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

/** Lists the runs of an owner on one executor, as the executor would. */
export const listRuns = (
	owner: scheduler.Owner,
	id: string,
): ReadonlyArray<{readonly taskId: string; readonly run: number}> =>
	[...(owner.executors.get(id)?.runs.values() ?? [])].map(({task, number}) => ({
		taskId: task.id,
		run: number,
	}));

/** Returns the run that a command concerns, if any. */
export const getCommandRun = (
	command: TestCommand | undefined,
): scheduler.Run | undefined =>
	command && command.kind !== 'advise' ? command.run : undefined;
