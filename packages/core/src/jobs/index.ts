/** Jobs: their rows, transitions and task leases. */
export * from './job-row.js';
export * from './step-job.js';
export * from './task-lease.js';
