/** Public API of the core: pure decisions, no I/O, no clock, no randomness. */
export type * from './types/contract.js';
export type * from './types/service.js';
export type * from './types/instance.js';
export type * from './types/view.js';
export type * from './types/outcome.js';
export type * from './types/result.js';
export {requestClasses} from './types/contract.js';
export {instanceStates} from './types/instance.js';
export {emptyView} from './types/view.js';
export {outcomes} from './types/outcome.js';
export {fail, succeed} from './types/result.js';
export * as errors from './errors/error-table.js';
