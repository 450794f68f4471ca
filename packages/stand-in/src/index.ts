/** Small fakes of the platform and of upstreams, with faults. */
export * from './platform/app.js';
export * from './platform/server.js';
