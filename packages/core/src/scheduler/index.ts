/** Running the jobs of a service: state, order, placement and orders. */
export type * from './types.js';
export {jobStates} from './types.js';
export * from './config.js';
export * from './check-job.js';
export * from './remote-clock.js';
export * from './task.js';
export * from './progress.js';
export * from './executor.js';
export * from './owner.js';
export * from './look.js';
export * from './load.js';
export * from './acknowledge.js';
export * from './rank.js';
export * from './place.js';
export * from './evacuation.js';
export * from './plan.js';
export * from './answers.js';
export * from './pace.js';
