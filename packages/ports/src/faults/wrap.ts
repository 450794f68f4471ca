/** Wraps each port so that its calls meet the faults of a control. */
import * as core from '@gullstand/core';
import type {InstanceList, ListedInstance} from '../ports/instance-list.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableService} from '../ports/table-service.js';
import type {Fault, FaultControl} from './fault-control.js';

type CallError = {readonly kind: 'unavailable'} | {readonly kind: 'timeout'};

const runSlowly = async <Value, Failure>(
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

/** Runs one call with the control's next fault. */
export const callWithFault = async <Value, Failure>(
	control: FaultControl,
	action: () => Promise<core.Result<Value, Failure>>,
): Promise<core.Result<Value, Failure | CallError>> => {
	const fault = control.next();
	switch (fault.kind) {
		case 'none': {
			return runSlowly(control, fault, action);
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

/** A table service that meets the control's faults. */
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

/** An object store that meets the control's faults. */
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

/** Reads a list that stays as it was while the control says so. */
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

/** An instance list that meets the control's faults and can go stale. */
export const wrapInstanceList = (
	inner: InstanceList,
	control: FaultControl,
): InstanceList => {
	const read = wrapStaleList(inner, control);
	return {list: async () => callWithFault(control, read)};
};
