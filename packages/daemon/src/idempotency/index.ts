/** At-most-once requests of an entry; docs/design/at-most-once.md. */
export type * from './ports.js';
export * from './system-clock.js';
export type {Dispatch} from './attempt-runner.js';
export * from './group-writer.js';
export * from './keeper.js';
export * from './keyed-calls.js';
export * from './keyed-settings.js';
export * from './sweeper.js';
