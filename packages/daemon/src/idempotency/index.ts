/** At-most-once execution of requests. Source: docs/design/at-most-once.md. */
export type * from './ports.js';
export * from './system-clock.js';
export type {Dispatch} from './attempt-runner.js';
export * from './group-writer.js';
export * from './request-deduplicator.js';
export * from './at-most-once-calls.js';
export * from './idempotency-settings.js';
export * from './sweeper.js';
