/**
 * Handlers of instances. Operators register instances, correct their location
 * or address and delete those that are away. Pool and state change only by
 * moves and waves, which wait for acknowledgements of all entries.
 */
import * as core from '@gullstand/core';
import type {Instance, Result} from '@gullstand/core';
import {registerObjects} from '../objects/object-domain.js';
import type {FieldFault, ObjectDomain} from '../objects/types.js';
import {instanceSchema} from '../objects/schemas.js';
import type {OperatorApp, OperatorDeps} from '../types.js';
import {registerMoves} from './moves.js';

const findFaults = (sent: Instance, current: Instance): FieldFault[] => {
	const faults: FieldFault[] = [];
	if (sent.pool !== current.pool) {
		faults.push({field: 'pool', message: 'changes only by a move'});
	}

	if (sent.kind !== current.kind) {
		faults.push({field: 'kind', message: 'does not change'});
	}

	// Requests by an older view may be in flight to the old address.
	if (sent.address !== current.address && current.state !== 'away') {
		faults.push({field: 'address', message: 'changes only while away'});
	}

	return faults;
};

const prepare = (
	sent: Instance,
	current: Instance | undefined,
): Result<Instance, readonly FieldFault[]> => {
	if (!current) {
		return core.succeed({...sent, state: 'serving', epoch: 1});
	}

	const faults = findFaults(sent, current);
	const {state, epoch} = current;
	return faults.length > 0
		? core.fail(faults)
		: core.succeed({...sent, state, epoch: epoch + 1});
};

const domain: ObjectDomain<Instance> = {
	name: 'instance',
	schema: instanceSchema,
	getKey: ({id}) => id,
	getAll: ({instances}) => instances,
	createPut: (instance) => ({kind: 'put-instance', instance}),
	createDelete: (id) => ({kind: 'delete-instance', id}),
	prepare,
	checkDelete: ({state}) =>
		state === 'away' ? [] : [{field: 'state', message: 'is not away'}],
};

/** Registers the handlers of this domain. */
export const registerInstances = (app: OperatorApp, deps: OperatorDeps) => {
	registerMoves(app, deps);
	registerObjects(app, deps, domain);
};
