/** Decisions of a table service client. */
export * from './token-bucket.js';
export * from './rate-share.js';
export * from './demand.js';
export * from './breaker.js';
export * from './read-back.js';
