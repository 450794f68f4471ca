/**
 * Steps of the entries' processes: each is a place where a process can be
 * killed. Calls to the store also meet faults.
 */
import * as core from '@gullstand/core';
import type {ObjectStore, TableService} from '@gullstand/ports';
import type * as standIn from '@gullstand/stand-in';

/** One life of an entry's process. */
export type EntryProcess = {
	readonly entry: number;
	readonly incarnation: string;
	isAlive: boolean;
};

/** Kinds of calls to the store. */
export type CallKind = 'read' | 'commit' | 'put' | 'get';

/** What a call to the store meets. */
export const callFaults = [
	'none',
	'unavailable',
	/** No reply, and never an effect. */
	'request-lost',
	/** No reply after the effect. */
	'reply-lost',
	/** No reply, and the effect comes after the caller has given up. */
	'late-effect',
	/** A reply just within the client's timeout. */
	'slow',
] as const;

/** Fault of one call. */
export type CallFault = (typeof callFaults)[number];

/** What goes wrong in a run; calls and steps are numbered from 0. */
export type Plan = {
	readonly getFault: (call: number, kind: CallKind, now: number) => CallFault;
	readonly isKilledAt: (step: number) => boolean;
	/** How long the process stands still at a step. */
	readonly getPauseMs: (step: number) => number;
};

/** A plan in which nothing goes wrong. */
export const noFaultPlan: Plan = {
	getFault: () => 'none',
	isKilledAt: () => false,
	getPauseMs: () => 0,
};

/** Latency and timeout of the store's client, in milliseconds. */
export const storeLatencyMs = 3;
export const storeTimeoutMs = 300;
const slowMs = 250;
const lateMs = 700;

/** Counts of a run. */
export type StepCounts = {steps: number; calls: number};

/** What the ports of one life need. */
export type StepContext = {
	readonly clock: standIn.VirtualClock;
	readonly plan: Plan;
	readonly counts: StepCounts;
	readonly onKill: (life: EntryProcess) => void;
};

/** What a killed process waits for. */
export const waitForever = async <Value>(): Promise<Value> =>
	new Promise<Value>(() => {
		// Never settles.
	});

/** Passes one step; a process that is killed there goes no further. */
export const passStep = async (
	context: StepContext,
	life: EntryProcess,
): Promise<void> => {
	if (life.isAlive) {
		const step = context.counts.steps++;
		if (context.plan.isKilledAt(step)) {
			life.isAlive = false;
			context.onKill(life);
		}

		const pauseMs = context.plan.getPauseMs(step);
		if (pauseMs > 0) {
			await context.clock.wait(pauseMs);
		}
	}

	if (!life.isAlive) {
		await waitForever();
	}
};

type Failure = {readonly kind: 'unavailable'} | {readonly kind: 'timeout'};

const meetFault = async <Value, Err>(
	context: StepContext,
	fault: CallFault,
	run: () => Promise<core.Result<Value, Err>>,
): Promise<core.Result<Value, Err | Failure>> => {
	const {clock} = context;
	switch (fault) {
		case 'none': {
			await clock.wait(storeLatencyMs);
			return run();
		}

		case 'slow': {
			await clock.wait(slowMs);
			return run();
		}

		case 'unavailable': {
			return core.fail({kind: 'unavailable'});
		}

		case 'request-lost': {
			await clock.wait(storeTimeoutMs);
			return core.fail({kind: 'timeout'});
		}

		case 'reply-lost': {
			await clock.wait(storeLatencyMs);
			await run();
			await clock.wait(storeTimeoutMs);
			return core.fail({kind: 'timeout'});
		}

		case 'late-effect': {
			clock.callAt(clock.getNow() + lateMs, () => {
				void run();
			});
			await clock.wait(storeTimeoutMs);
			return core.fail({kind: 'timeout'});
		}
	}
};

const callStore = async <Value, Err>(
	context: StepContext,
	life: EntryProcess,
	kind: CallKind,
	run: () => Promise<core.Result<Value, Err>>,
): Promise<core.Result<Value, Err | Failure>> => {
	await passStep(context, life);
	const {clock, plan, counts} = context;
	const fault = plan.getFault(counts.calls++, kind, clock.getNow());
	const result = await meetFault(context, fault, run);
	await passStep(context, life);
	return result;
};

/** The table service as one life reaches it. */
export const createFaultyTables = (
	context: StepContext,
	life: EntryProcess,
	inner: TableService,
): TableService => ({
	get: async (table, key) =>
		callStore(context, life, 'read', async () => inner.get(table, key)),
	range: async (query) =>
		callStore(context, life, 'read', async () => inner.range(query)),
	commit: async (writes, operationId) =>
		callStore(context, life, 'commit', async () =>
			inner.commit(writes, operationId),
		),
});

/** The object store as one life reaches it. */
export const createFaultyObjects = (
	context: StepContext,
	life: EntryProcess,
	inner: ObjectStore,
): ObjectStore => ({
	get: async (name) =>
		callStore(context, life, 'get', async () => inner.get(name)),
	put: async (name, body) =>
		callStore(context, life, 'put', async () => inner.put(name, body)),
	delete: async (name) =>
		callStore(context, life, 'put', async () => inner.delete(name)),
});
