/** Types shared by the handlers of the operators' API. */
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

/** Dependencies of the operators' API. */
export type OperatorDeps = {
	readonly settings: Settings['operator'];
	readonly table: TableService;
	/** Instance list of the platform, used for waves and moves. */
	readonly list?: InstanceList;
	readonly getView: () => View;
	readonly getFollowed: () => followedView.FollowedView;
	/** Origin of the first view and the state of following the store. */
	readonly getFollowState: () => {
		readonly origin: ViewOrigin;
		readonly condition: FollowCondition;
	};
	/** Called with each change committed here, before the response. */
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Acknowledgements received from peers. */
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	readonly env: client.Environment;
	/** Reads the newest view from the store. */
	readonly poll: () => Promise<void>;
	/** The job daemon, if jobs are enabled. */
	readonly jobs?: JobDaemon;
	/** Monotonic time in milliseconds. */
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

/** The app that handlers are registered on. */
export type OperatorApp = Hono<OperatorEnv>;
