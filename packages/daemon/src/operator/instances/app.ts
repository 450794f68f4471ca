/** Instances: list and show. */
import {randomUUID} from 'node:crypto';
import {createErrorResponse} from '../../caller/answer.js';
import type {OperatorApp, OperatorDeps} from '../operator-app.js';

/** Registers the handlers of this domain. */
export const registerInstances = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/instances', (c) =>
		c.json({instances: [...deps.getView().instances.values()]}),
	);
	app.get('/v1/instances/:id', (c) => {
		const instance = deps.getView().instances.get(c.req.param('id'));
		return instance
			? c.json({instance})
			: createErrorResponse('not-found', randomUUID());
	});
};
