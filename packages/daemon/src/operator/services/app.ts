/** Handlers of services. A service that a contract names cannot be deleted. */
import type {Service} from '@gullstand/core';
import {registerObjects} from '../objects/object-domain.js';
import type {ObjectDomain} from '../objects/types.js';
import {serviceSchema} from '../objects/schemas.js';
import type {OperatorApp, OperatorDeps} from '../types.js';

const domain: ObjectDomain<Service> = {
	name: 'service',
	schema: serviceSchema,
	getKey: ({name}) => name,
	getAll: ({services}) => services,
	createPut: (service) => ({kind: 'put-service', service}),
	createDelete: (name) => ({kind: 'delete-service', name}),
};

/** Registers the handlers of this domain. */
export const registerServices = (app: OperatorApp, deps: OperatorDeps) => {
	registerObjects(app, deps, domain);
};
