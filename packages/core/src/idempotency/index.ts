/** At-most-once requests; docs/design/at-most-once.md. */
export * from './key.js';
export * from './settings.js';
export * from './row.js';
export * from './lookup.js';
export type * from './attempt.js';
export {getWakeAt, isBeforeDispatch} from './attempt.js';
export {formatObjectName} from './completion.js';
export {createAttempt, isEnded, updateAttempt} from './update-attempt.js';
export * from './group-commit.js';
export * from './expiry.js';
