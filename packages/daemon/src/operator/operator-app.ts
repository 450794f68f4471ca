/**
 * The operators' HTTP API. Each domain folder has an `app.ts` that registers
 * its handlers here.
 */
import {randomUUID} from 'node:crypto';
import {Hono} from 'hono';
import {createErrorResponse} from '../caller/answer.js';
import {authorizeOperator} from './authorize.js';
import {registerChanges} from './changes/app.js';
import {registerContracts} from './contracts/app.js';
import {registerEntries} from './entries/app.js';
import {registerInstances} from './instances/app.js';
import {registerPools} from './pools/app.js';
import {registerServices} from './services/app.js';
import {registerStatus} from './status/app.js';
import {registerTeams} from './teams/app.js';
import {registerJobs} from './jobs/app.js';
import type {OperatorApp, OperatorDeps, OperatorEnv} from './types.js';
import {registerWaves} from './waves/app.js';

/** Creates the app. */
export const createOperatorApp = (deps: OperatorDeps): OperatorApp => {
	const app: OperatorApp = new Hono<OperatorEnv>();
	app.get('/healthz', (c) => c.text('ok\n'));
	app.get('/readyz', (c) =>
		deps.isReady() ? c.text('ready\n') : c.text('not ready\n', 503),
	);
	app.use('/v1/*', async (c, next) => {
		const found = authorizeOperator(
			deps.settings.tokens,
			c.req.header('authorization'),
			c.req.method,
		);
		if (!found.ok) {
			return createErrorResponse(found.error, randomUUID());
		}

		c.set('operator', found.value);
		await next();
	});
	registerStatus(app, deps);
	registerContracts(app, deps);
	registerServices(app, deps);
	registerPools(app, deps);
	registerInstances(app, deps);
	registerEntries(app, deps);
	registerChanges(app, deps);
	registerWaves(app, deps);
	if (deps.jobs) {
		registerJobs(app, {
			jobs: deps.jobs,
			now: deps.now ?? (() => performance.now()),
		});
		registerTeams(app, {jobs: deps.jobs});
	}

	app.notFound(() => createErrorResponse('not-found', randomUUID()));
	app.onError((err) => {
		deps.logger.error('operator request failed', {error: err.stack});
		return createErrorResponse('internal', randomUUID());
	});
	return app;
};
