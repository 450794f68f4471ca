/** Store client: circuit breaker, rate limit, read-back and group commit. */
export * from './guarded-call.js';
export * from './guarded-tables.js';
export * from './rate-sharer.js';
export * from './commit-with-read-back.js';
export * from './commit-batcher.js';
