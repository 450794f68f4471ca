/**
 * Steps of the entries' processes, at which a process can be killed or paused.
 * Calls to the store can also fail.
 */
import * as core from '@gullstand/core';
import type {ObjectStore, TableService} from '@gullstand/ports';
import type * as standIn from '@gullstand/stand-in';

/** One incarnation of an entry's process. */
export type EntryProcess = {
	readonly entry: number;
	readonly incarnation: string;
	isAlive: boolean;
};

export type CallKind = 'read' | 'commit' | 'put' | 'get';

/** Faults of a call to the store. */
export const callFaults = [
	'none',
	'unavailable',
	/** No reply and no effect. */
	'request-lost',
	/** No reply after the effect. */
	'reply-lost',
	/** No reply; the effect follows after the caller has given up. */
	'late-effect',
	/** A reply just within the client's timeout. */
	'slow',
] as const;

export type CallFault = (typeof callFaults)[number];

/** Faults of a run; calls and steps are numbered from 0. */
export type Plan = {
	readonly getFault: (call: number, kind: CallKind, now: number) => CallFault;
	readonly isKilledAt: (step: number) => boolean;
	/** How long the process pauses at a step. */
	readonly getPauseMs: (step: number) => number;
};

/** A plan without faults. */
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

export type StepCounts = {steps: number; calls: number};

/** Context of the ports of one process. */
export type StepContext = {
	readonly clock: standIn.VirtualClock;
	readonly plan: Plan;
	readonly counts: StepCounts;
	readonly onKill: (entryProcess: EntryProcess) => void;
};

/** Returns a promise that never resolves, for a killed process. */
export const waitForever = async <Value>(): Promise<Value> =>
	new Promise<Value>(() => {
		// Never settles.
	});

/** Passes one step; a killed process waits forever there. */
export const passStep = async (
	context: StepContext,
	entryProcess: EntryProcess,
): Promise<void> => {
	if (entryProcess.isAlive) {
		const step = context.counts.steps++;
		if (context.plan.isKilledAt(step)) {
			entryProcess.isAlive = false;
			context.onKill(entryProcess);
		}

		const pauseMs = context.plan.getPauseMs(step);
		if (pauseMs > 0) {
			await context.clock.wait(pauseMs);
		}
	}

	if (!entryProcess.isAlive) {
		await waitForever();
	}
};

type Failure = {readonly kind: 'unavailable'} | {readonly kind: 'timeout'};

const applyFault = async <Value, Err>(
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
	entryProcess: EntryProcess,
	kind: CallKind,
	run: () => Promise<core.Result<Value, Err>>,
): Promise<core.Result<Value, Err | Failure>> => {
	await passStep(context, entryProcess);
	const {clock, plan, counts} = context;
	const fault = plan.getFault(counts.calls++, kind, clock.getNow());
	const result = await applyFault(context, fault, run);
	await passStep(context, entryProcess);
	return result;
};

/** Wraps the table service for one process with the faults of the plan. */
export const createFaultyTables = (
	context: StepContext,
	entryProcess: EntryProcess,
	inner: TableService,
): TableService => ({
	get: async (table, key) =>
		callStore(context, entryProcess, 'read', async () => inner.get(table, key)),
	range: async (query) =>
		callStore(context, entryProcess, 'read', async () => inner.range(query)),
	commit: async (writes, operationId) =>
		callStore(context, entryProcess, 'commit', async () =>
			inner.commit(writes, operationId),
		),
});

/** Wraps the object store for one process with the faults of the plan. */
export const createFaultyObjects = (
	context: StepContext,
	entryProcess: EntryProcess,
	inner: ObjectStore,
): ObjectStore => ({
	get: async (name) =>
		callStore(context, entryProcess, 'get', async () => inner.get(name)),
	put: async (name, body) =>
		callStore(context, entryProcess, 'put', async () => inner.put(name, body)),
	delete: async (name) =>
		callStore(context, entryProcess, 'put', async () => inner.delete(name)),
});
