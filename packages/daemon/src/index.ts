/** Exports of the daemon for the command line, benches and tests. */
export * from './daemon.js';
export * from './admission/admission-layer.js';
export * from './caller/call.js';
export {createCallerApp, type CallerDeps} from './caller/caller-app.js';
export * from './caller/cancellation.js';
export {headerNames} from './caller/headers.js';
export {hashToken} from './caller/parse-call.js';
export * from './embedded/embedded-platform.js';
export * from './embedded/embedded-jobs.js';
export * from './embedded/embedded-settings.js';
export {createLogger, type Logger} from './log/logger.js';
export * from './metrics/metrics.js';
export * from './settings/load-settings.js';
export {settingsSchema, type Settings} from './settings/schema.js';
export * from './platform/open-platform.js';
export * from './view/tables.js';
export * from './view/commit-change.js';
export * from './view/environment.js';
export * from './view/view-image.js';
export * from './view/snapshot-store.js';
export * from './view/view-follower.js';
export type * from './waves/wave-runner.js';
export type * from './waves/wave-facts.js';
export {getJitteredMs} from './view/ticker.js';
export * from './peers/peer-channel.js';
export type * from './peers/peer-methods.js';
export * from './upstream/upstream-dispatch.js';
export * as upstream from './upstream/upstream.js';
export type * as upstreamTypes from './upstream/types.js';
export {defaultUpstreamConfig} from './upstream/types.js';
export * as idempotency from './idempotency/index.js';
export * from './agreement/agreement.js';
export * from './jobs/job-daemon.js';
export * from './jobs/periods.js';
export * from './jobs/clock.js';
export * from './jobs/run-entry.js';
export {createTableFeed} from './jobs/rows/table-feed.js';
export {createRoutes, type Routes} from './jobs/entry/routes.js';
export type {JobResult} from './jobs/entry/job-result.js';
export type {JobService} from './jobs/entry/job-service.js';
export {
	anyCaller,
	createCallerAccess,
	hashKey,
	type Caller,
	type CallerAccess,
} from './jobs/entry/caller-access.js';
export {decodeRow} from './jobs/rows/tables.js';
export type {WaveStatusPort} from './jobs/fleet/machine-wave-runner.js';
export {createErrorResponse} from './caller/answer.js';
export {createByteBudget} from './http/byte-budget.js';
export {readBody} from './http/read-body.js';
export {createListener, type Listener} from './http/listener.js';
export * from './log/bounded-output.js';
export {exitCodes} from './run-process.js';
