/**
 * Analysis of where the time of jobs went, from the log lines of all entries.
 */
export * from './read-jobs.js';
export * from './job-phases.js';
export * from './pool-capacity.js';
