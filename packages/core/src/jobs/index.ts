/** Jobs: their rows, what follows from events, and the leases of tasks. */
export * from './job-row.js';
export * from './step-job.js';
export * from './task-lease.js';
