/** Handlers of the entry's status and metrics. */
import type {OperatorApp, OperatorDeps} from '../types.js';

/** Registers the handlers of this domain. */
export const registerStatus = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/status', (c) =>
		c.json({
			revision: deps.getView().revision,
			ready: deps.isReady(),
			view: deps.getFollowState(),
			instances: deps.getView().instances.size,
			contracts: deps.getView().contracts.size,
		}),
	);
	app.get('/v1/metrics', (c) => c.json(deps.metrics.getSummaries()));
	app.get('/metrics', (c) => c.text(deps.metrics.formatText()));
};
