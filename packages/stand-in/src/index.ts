/** Stand-ins for the platform and for upstreams, with fault injection. */
export * from './platform/app.js';
export * from './platform/server.js';
export * as answers from './upstream/answer.js';
export * as executor from './upstream/executor.js';
export * from './clock/virtual-clock.js';
