/** Decisions of a client of the table service. */
export * from './token-bucket.js';
export * from './rate-share.js';
export * from './demand.js';
export * from './breaker.js';
export * from './read-back.js';
