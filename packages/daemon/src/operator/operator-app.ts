/**
 * The operators' HTTP interface. Each domain folder has an `app.ts` that
 * registers its handlers; this list is the whole surface.
 */
import {randomUUID} from 'node:crypto';
import type {HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import type {followedView, lagging, View, viewChange} from '@gullstand/core';
import type {client, InstanceList, TableService} from '@gullstand/ports';
import {createErrorResponse} from '../caller/answer.js';
import type {Logger} from '../log/logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/schema.js';
import type {FollowCondition, ViewOrigin} from '../view/view-follower.js';
import type {JobDaemon} from '../jobs/job-daemon.js';
import {authorizeOperator, type Operator} from './authorize.js';
import {registerChanges} from './changes/app.js';
import {registerContracts} from './contracts/app.js';
import {registerEntries} from './entries/app.js';
import {registerInstances} from './instances/app.js';
import {registerPools} from './pools/app.js';
import {registerServices} from './services/app.js';
import {registerStatus} from './status/app.js';
import {registerJobs} from './jobs/app.js';
import {registerWaves} from './waves/app.js';

/** What the operators' interface needs. */
export type OperatorDeps = {
	readonly settings: Settings['operator'];
	readonly table: TableService;
	/** The platform's instance list, to show what a wave waits for. */
	readonly list?: InstanceList;
	readonly getView: () => View;
	readonly getFollowed: () => followedView.FollowedView;
	/** Where the first view came from, and how it stands to the store. */
	readonly getFollowState: () => {
		readonly origin: ViewOrigin;
		readonly condition: FollowCondition;
	};
	/** Told of a change that this entry committed, before it is answered. */
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Acknowledgements that peers have sent to this entry. */
	readonly getHeard: () => lagging.HeardAcknowledgements;
	readonly env: client.Environment;
	/** Reads the view anew after a change. */
	readonly poll: () => Promise<void>;
	/** The jobs side, where there is one. */
	readonly jobs?: JobDaemon;
	/** Steady clock, in milliseconds. */
	readonly now?: () => number;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly isReady: () => boolean;
};

/** Environment of the operators' handlers. */
export type OperatorEnv = {
	Bindings: HttpBindings;
	Variables: {operator: Operator};
};

/** The operators' app, to register handlers on. */
export type OperatorApp = Hono<OperatorEnv>;

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
	}

	app.notFound(() => createErrorResponse('not-found', randomUUID()));
	app.onError((err) => {
		deps.logger.error('operator request failed', {error: err.stack});
		return createErrorResponse('internal', randomUUID());
	});
	return app;
};
