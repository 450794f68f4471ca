/** Placement of jobs on workers: pure decisions over a cluster's state. */
export * from './resources.js';
export * from './declaration-model.js';
export * from './usage-estimate.js';
export * from './cluster.js';
export * from './place-job.js';
export * from './sort-pending.js';
export * from './relocation.js';
