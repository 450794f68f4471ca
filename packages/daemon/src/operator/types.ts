/** What all domains of the operators' interface share. */
import type {HttpBindings} from '@hono/node-server';
import type {Hono} from 'hono';
import type {
	followedView,
	pendingAcknowledgements,
	View,
	viewChange,
} from '@gullstand/core';
import type {client, InstanceList, TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/schema.js';
import type {FollowCondition, ViewOrigin} from '../view/view-follower.js';
import type {JobDaemon} from '../jobs/job-daemon.js';
import type {Operator} from './authorize.js';

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
	readonly getHeard: () => pendingAcknowledgements.ReceivedAcknowledgements;
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
