/** Where the time of jobs went, from the log lines of all entries. */
export * from './read-jobs.js';
export * from './job-legs.js';
export * from './pool-room.js';
