/** Wraps ports so that a fault control injects faults into their calls. */
import * as core from '@gullstand/core';
import type {InstanceList, ListedInstance} from '../ports/instance-list.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableService} from '../ports/table-service.js';
import type {Fault, FaultControl} from './fault-control.js';

type CallError = {readonly kind: 'unavailable'} | {readonly kind: 'timeout'};

const runDelayed = async <Value, Failure>(
	control: FaultControl,
	fault: Fault,
	action: () => Promise<core.Result<Value, Failure>>,
): Promise<core.Result<Value, Failure | CallError>> => {
	const halfMs = Math.min(fault.delayMs, control.timeoutMs) / 2;
	await control.wait(halfMs);
	const result = await action();
	await control.wait(halfMs);
	return fault.delayMs >= control.timeoutMs
		? core.fail({kind: 'timeout'})
		: result;
};

/** Runs one call and injects the control's next fault. */
export const callWithFault = async <Value, Failure>(
	control: FaultControl,
	action: () => Promise<core.Result<Value, Failure>>,
): Promise<core.Result<Value, Failure | CallError>> => {
	const fault = control.next();
	switch (fault.kind) {
		case 'none': {
			return runDelayed(control, fault, action);
		}

		case 'unavailable': {
			return core.fail({kind: 'unavailable'});
		}

		case 'request-lost': {
			await control.wait(control.timeoutMs);
			return core.fail({kind: 'timeout'});
		}

		case 'reply-lost': {
			await action();
			await control.wait(control.timeoutMs);
			return core.fail({kind: 'timeout'});
		}
	}
};

/** Injects the control's faults into a table service. */
export const wrapTableService = (
	inner: TableService,
	control: FaultControl,
): TableService => ({
	get: async (table, key) =>
		callWithFault(control, async () => inner.get(table, key)),
	range: async (query) =>
		callWithFault(control, async () => inner.range(query)),
	commit: async (writes, operationId) =>
		callWithFault(control, async () => inner.commit(writes, operationId)),
});

/** Injects the control's faults into an object store. */
export const wrapObjectStore = (
	inner: ObjectStore,
	control: FaultControl,
): ObjectStore => ({
	get: async (name) => callWithFault(control, async () => inner.get(name)),
	put: async (name, body) =>
		callWithFault(control, async () => inner.put(name, body)),
	delete: async (name) =>
		callWithFault(control, async () => inner.delete(name)),
});

/** Returns the last list read while the control makes the list stale. */
export const wrapStaleList = (
	inner: InstanceList,
	control: FaultControl,
): InstanceList['list'] => {
	let last: readonly ListedInstance[] | undefined;
	return async () => {
		if (control.getSettings().isListStale && last) {
			return core.succeed(last);
		}

		const result = await inner.list();
		last = result.ok ? result.value : last;
		return result;
	};
};

/** Injects the control's faults and staleness into an instance list. */
export const wrapInstanceList = (
	inner: InstanceList,
	control: FaultControl,
): InstanceList => {
	const read = wrapStaleList(inner, control);
	return {list: async () => callWithFault(control, read)};
};
