/** The daemon as a library, for the command line, benches and tests. */
export * from './daemon.js';
export * from './caller/call.js';
export * from './caller/cancellation.js';
export * from './caller/plain-dispatch.js';
export {headerNames} from './caller/headers.js';
export {hashToken} from './caller/parse-call.js';
export * from './embedded/embedded-platform.js';
export * from './embedded/embedded-settings.js';
export {createLogger, type Logger} from './log/logger.js';
export * from './metrics/metrics.js';
export * from './settings/load-settings.js';
export {settingsSchema, type Settings} from './settings/schema.js';
export * from './view/tables.js';
export type {Wave} from './waves/wave-runner.js';
export * from './peers/peer-channel.js';
export type * from './peers/peer-methods.js';
