/** Handlers of contracts. */
import type {Contract} from '@gullstand/core';
import {contractSchema} from '../objects/contract-schema.js';
import {registerObjects} from '../objects/object-domain.js';
import type {ObjectDomain} from '../objects/types.js';
import type {OperatorApp, OperatorDeps} from '../types.js';

const domain: ObjectDomain<Contract> = {
	name: 'contract',
	schema: contractSchema,
	getKey: ({customer}) => customer,
	getAll: ({contracts}) => contracts,
	createPut: (contract) => ({kind: 'put-contract', contract}),
	createDelete: (customer) => ({kind: 'delete-contract', customer}),
};

/** Registers the handlers of this domain. */
export const registerContracts = (app: OperatorApp, deps: OperatorDeps) => {
	registerObjects(app, deps, domain);
};
